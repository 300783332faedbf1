#ifndef COMFREYDECK_DISPATCH_MACHINEBOOK_H
#define COMFREYDECK_DISPATCH_MACHINEBOOK_H

#include "dispatch/Context.h"

#include <map>
#include <span>

namespace comfreydeck::dispatch {

/// Whether the worker's life is over: its machine moves, is maintained, or
/// shows another worker or none. A machine that is down with it proves nothing.
/// Thread-safe.
bool isLifeOver(const std::string &Worker, std::span<const Machine> Machines);

/// The platform's machines as last listed. On the loop's thread.
class MachineBook {
public:
  explicit MachineBook(Context &Ctx) : Ctx_(Ctx) {}

  /// Lists the machines anew where the last list is old.
  void refresh();
  /// Knows nothing until the next list.
  void forget();

  bool isListed() const { return ListedAt_ != core::TimePoint(); }
  /// When the last list was asked for.
  core::TimePoint listedAt() const { return ListedAt_; }
  const std::map<std::string, Machine> &machines() const { return Machines_; }
  /// Null: the list doesn't have it.
  const Machine *find(const std::string &Id) const;

private:
  Context &Ctx_;
  std::map<std::string, Machine> Machines_;
  core::TimePoint ListedAt_;
  bool Listing_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_MACHINEBOOK_H
