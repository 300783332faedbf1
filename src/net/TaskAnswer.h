#ifndef COMFREYDECK_NET_TASKANSWER_H
#define COMFREYDECK_NET_TASKANSWER_H

#include "net/HttpClient.h"

namespace comfreydeck::net {

/// How the start of the task \p TaskId ended, the worker's answer looked at as
/// well: one that names another task counts for nothing, and a refusal counts
/// only if it names this one. Thread-safe.
core::ExchangeEnd endOfStart(const HttpResult &Result, std::string_view TaskId);

/// Whether the worker says that it stopped the task before its end.
/// Thread-safe.
bool wasStopped(const HttpResponse &Response);

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_TASKANSWER_H
