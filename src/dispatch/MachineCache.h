#ifndef COMFREYDECK_DISPATCH_MACHINECACHE_H
#define COMFREYDECK_DISPATCH_MACHINECACHE_H

#include "dispatch/Context.h"

#include <map>
#include <optional>
#include <span>

namespace comfreydeck::dispatch {

/// Whether the worker has certainly ended: its machine is being moved or
/// maintained, or shows another worker or none. A machine that is down and
/// still shows the worker proves nothing. Thread-safe.
bool hasWorkerEnded(const std::string &Worker,
                    std::span<const Machine> Machines);

/// Whether a machine shows the worker, in whatever state. Thread-safe.
bool isWorkerShown(const std::string &Worker,
                   std::span<const Machine> Machines);

/// The state of the machine that shows the worker, "none" if no machine does;
/// for logs. Thread-safe.
const char *machineStateOf(const std::string &Worker,
                           std::span<const Machine> Machines);

/// Caches the platform's list of machines. Runs on the loop's thread.
class MachineCache {
public:
  explicit MachineCache(Context &Ctx) : Ctx_(Ctx) {}

  /// Requests a new list if the last one is old at \p Now.
  void refresh(core::TimePoint Now);
  /// Clears the cache until the next list arrives.
  void invalidate();

  bool hasList() const { return ListedAt_.has_value(); }
  /// Request time of the list held; nothing if there is none.
  std::optional<core::TimePoint> listedAt() const { return ListedAt_; }
  const std::map<std::string, Machine> &machines() const { return Machines_; }
  /// Null if the machine is not listed.
  const Machine *find(const std::string &Id) const;

private:
  Context &Ctx_;
  std::map<std::string, Machine> Machines_;
  std::optional<core::TimePoint> ListedAt_;
  bool Listing_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_MACHINECACHE_H
