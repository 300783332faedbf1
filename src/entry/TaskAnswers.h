#ifndef COMFREYDECK_ENTRY_TASKANSWERS_H
#define COMFREYDECK_ENTRY_TASKANSWERS_H

#include "entry/Task.h"

namespace comfreydeck::entry {

/// Returns the HTTP status of a refusal. Thread-safe.
int statusOf(core::Reason Why, core::Verdict V);

/// Builds a refusal in the format that all interfaces share. Thread-safe.
net::HttpResponse refusalResponse(int Status, core::Reason Why, core::Verdict V,
                                  std::string_view Message);

/// Builds the refusal of a request that has no id yet. Thread-safe.
net::HttpResponse refusalResponse(const RequestError &Error);

/// Builds the caller's answer for \p Result. Thread-safe.
net::HttpResponse answerOf(const core::RequestId &Id, TaskResult Result);

/// Builds the answer to a repeated request from the recorded outcome; \p Body
/// is nullopt if it is no longer available. Thread-safe.
net::HttpResponse repeatedAnswer(const core::RequestId &Id,
                                 const core::RequestOutcome &Outcome,
                                 std::optional<std::string> Body);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKANSWERS_H
