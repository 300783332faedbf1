#ifndef COMFREYDECK_DISPATCH_POOLHOST_H
#define COMFREYDECK_DISPATCH_POOLHOST_H

#include <chrono>
#include <memory>

namespace comfreydeck::dispatch {

/// Pause before a part repeats a call to the store that failed.
inline constexpr std::chrono::milliseconds StoreRetry(120);

/// What the parts of a pool's owner need of the whole. Used on the loop's
/// thread only.
class PoolHost {
public:
  virtual ~PoolHost() = default;
  /// Keeps the owner and with it all its parts. Held by each callback that may
  /// come after the owner was given up, so that a part may refer to the others.
  /// The owner must be held by a shared pointer.
  virtual std::shared_ptr<const void> keep() = 0;
  /// Whether the pool was given up; stays true. No part gives orders, stores
  /// anything or repeats a call then.
  virtual bool isDropped() const = 0;
  /// Schedules a planning pass, unless the pool is not loaded or was given up.
  virtual void schedulePlan() = 0;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_POOLHOST_H
