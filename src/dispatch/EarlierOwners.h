#ifndef COMFREYDECK_DISPATCH_EARLIEROWNERS_H
#define COMFREYDECK_DISPATCH_EARLIEROWNERS_H

#include "jobs/OwnerChoice.h"
#include "net/Loop.h"

#include <functional>
#include <memory>
#include <optional>

namespace comfreydeck::dispatch {

/// Asks an entry to give no more orders for a pool as an owner before the
/// token. The callback runs on the loop's thread and gets the time since the
/// entry's last such order; nothing if that is not known.
using StopQuery = std::function<void(
    const std::string &Entry, const std::string &Pool, std::uint64_t Token,
    std::function<void(std::optional<core::Duration>)> Done)>;

/// Asks a pool's earlier owners to stop until all have answered. Runs on the
/// loop's thread; must be owned by a shared pointer.
class EarlierOwners : public std::enable_shared_from_this<EarlierOwners> {
public:
  /// \p Token is the new owner's.
  EarlierOwners(net::Loop &Loop, std::string Pool, std::uint64_t Token,
                StopQuery Query);

  /// Call once. \p TakenAt is when the pool was taken over. \p Stopped is
  /// called once, with the time after which none of the owners has given an
  /// order.
  void stop(const std::vector<jobs::EarlierOwner> &Owners,
            core::TimePoint TakenAt,
            std::function<void(core::TimePoint)> Stopped);
  /// Asks no more.
  void cancel() { Cancelled_ = true; }

private:
  void ask();
  void finishIfAllStopped();

  struct Owner {
    std::string Name;
    std::optional<core::TimePoint> StoppedAt;
  };

  net::Loop &Loop_;
  std::string Pool_;
  std::uint64_t Token_;
  StopQuery Query_;
  std::vector<Owner> Owners_;
  std::function<void(core::TimePoint)> Stopped_;
  bool Cancelled_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_EARLIEROWNERS_H
