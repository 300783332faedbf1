#ifndef COMFREYDECK_NET_TASKANSWER_H
#define COMFREYDECK_NET_TASKANSWER_H

#include "net/HttpClient.h"

namespace comfreydeck::net {

/// Returns how the start of the task \p TaskId ended, checking the worker's
/// answer as well: an answer or refusal without this id in Task-Id is a
/// WrongRequest. Thread-safe.
core::ExchangeEnd endOfStart(const HttpResult &Result, std::string_view TaskId);

/// Whether the worker reports that it stopped the task before it finished.
/// Thread-safe.
bool wasStopped(const HttpResponse &Response);

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_TASKANSWER_H
