#ifndef COMFREYDECK_JOBS_WORKERRELEASE_H
#define COMFREYDECK_JOBS_WORKERRELEASE_H

#include "core/Types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace comfreydeck::jobs {

/// Whether an owner has let a worker's machine be taken away. The order for the
/// machine may be carried out after the owner, or whoever gave it, has ended.
struct WorkerRelease {
  /// When that was last asked for; nothing if it may not be taken away.
  std::optional<core::TimePoint> AskedAt;
  /// The stored roster tells later owners.
  bool Stored = false;
  /// Token of the fleet's owner that asked for it; zero if that isn't known, or
  /// several did.
  std::uint64_t FleetToken = 0;
  /// Number of the latest request of that owner.
  std::uint64_t Request = 0;
  /// The part of the time since then that the roster tells later owners, or is
  /// about to.
  core::Duration Noted{0};
};

/// A request of the fleet's owner. Later ones have higher numbers.
struct ReleaseRequest {
  std::uint64_t FleetToken = 0;
  std::uint64_t Number = 0;
};

/// What became of a request for a worker's release.
enum class ReleaseState : std::uint8_t {
  /// The worker is not known to be empty.
  Refused,
  /// It gets no tasks; its machine may be taken away once that is stored.
  Pending,
  /// Its machine may be taken away.
  Released,
};

/// A release or its end, for logs.
struct ReleaseChange {
  enum class Kind : std::uint8_t { Released, Inherited, TakenBack, Expired };
  Kind What = Kind::Released;
  std::string Worker;
  std::uint64_t FleetToken = 0;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_WORKERRELEASE_H
