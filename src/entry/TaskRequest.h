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

/// A caller's request to run one task, as its headers give it.
struct TaskRequest {
  std::string Queue;
  /// Empty where none came.
  std::string KeySecret;
  std::string IdempotencyKey;
  /// Set where the caller uses an id issued ahead.
  std::optional<core::RequestId> IssuedId;
  /// Whether another entry passed the request on to this one.
  bool Forwarded = false;
  /// Nothing: the queue's default.
  std::optional<bool> Idempotent;
  bool Urgent = false;
  core::Duration Deadline{0};
  core::Resources Size;
  /// Zero where the caller said nothing.
  core::Duration Run{0};
  std::string ContentType;
  std::string Body;
};

/// A request that is refused before anything is done for it.
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

/// The key of `Authorization: Bearer KEY`; empty where there is none. Throws
/// RequestError. Thread-safe.
std::string bearerKey(const net::HttpRequest &Request);

/// Reads a `POST /v1/queues/QUEUE/tasks`. Throws RequestError. Thread-safe.
TaskRequest parseTaskRequest(net::HttpRequest Request, std::string Queue,
                             const settings::TrafficSettings &Limits);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKREQUEST_H
