#ifndef COMFREYDECK_ENTRY_TASKANSWERS_H
#define COMFREYDECK_ENTRY_TASKANSWERS_H

#include "entry/Task.h"

namespace comfreydeck::entry {

/// The HTTP status of a refusal for that reason. Thread-safe.
int statusOf(core::Reason Why, core::Verdict V);

/// A refusal as every interface gives it. Thread-safe.
net::HttpResponse refusalResponse(int Status, core::Reason Why, core::Verdict V,
                                  std::string_view Message);

/// A refusal of a request that has no id yet. Thread-safe.
net::HttpResponse refusalResponse(const RequestError &Error);

/// What the caller gets for \p Result. Thread-safe.
net::HttpResponse answerOf(const core::RequestId &Id, TaskResult Result);

/// A recorded answer, given again; \p Body is nothing where it is not to be
/// had any more. Thread-safe.
net::HttpResponse repeatOf(const core::RequestId &Id,
                           const core::RequestOutcome &Outcome,
                           std::optional<std::string> Body);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKANSWERS_H
