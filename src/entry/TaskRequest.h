#ifndef COMFREYDECK_ENTRY_TASKREQUEST_H
#define COMFREYDECK_ENTRY_TASKREQUEST_H

#include "core/RequestId.h"
#include "core/Types.h"
#include "core/Verdict.h"
#include "net/Http.h"
#include "settings/Settings.h"

#include <optional>
#include <stdexcept>

namespace comfreydeck::entry {

/// A caller's request to run one task, parsed from headers and body.
struct TaskRequest {
  std::string Queue;
  /// Empty if the request has no key.
  std::string KeySecret;
  std::string IdempotencyKey;
  /// Set if the caller uses an id issued in advance.
  std::optional<core::RequestId> IssuedId;
  /// Whether another entry forwarded the request.
  bool Forwarded = false;
  /// If unset, the queue's default applies.
  std::optional<bool> Idempotent;
  bool Urgent = false;
  core::Duration Deadline{0};
  core::Resources Size;
  /// Declared run time; zero if the caller declared none.
  core::Duration Run{0};
  std::string ContentType;
  std::string Body;
};

/// Thrown to refuse a request before any work is done for it.
class RequestError : public std::runtime_error {
public:
  RequestError(int Status, core::Reason Why, const std::string &Message,
               core::Verdict V = core::Verdict::NotRun)
      : std::runtime_error(Message), Status_(Status), Why_(Why), Verdict_(V) {}

  /// The HTTP status. Thread-safe.
  int status() const { return Status_; }
  /// Thread-safe.
  core::Reason reason() const { return Why_; }
  /// Thread-safe.
  core::Verdict verdict() const { return Verdict_; }

private:
  int Status_;
  core::Reason Why_;
  core::Verdict Verdict_;
};

/// Returns the key of `Authorization: Bearer KEY`, an empty string if there is
/// no such header. Throws RequestError if it is malformed. Thread-safe.
std::string bearerKey(const net::HttpRequest &Request);

/// Parses a `POST /v1/queues/QUEUE/tasks`. Throws RequestError. Thread-safe.
TaskRequest parseTaskRequest(net::HttpRequest Request, std::string Queue,
                             const settings::TrafficSettings &Limits);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKREQUEST_H
