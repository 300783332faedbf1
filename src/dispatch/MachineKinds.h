#ifndef COMFREYDECK_DISPATCH_MACHINEKINDS_H
#define COMFREYDECK_DISPATCH_MACHINEKINDS_H

#include "dispatch/FleetView.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace comfreydeck::dispatch {

/// A step that no machine could run.
struct UnservedStep {
  std::size_t Step = 0;
  /// No machine has its label; else none that has it is large enough.
  bool IsLabelMissing = false;
  core::Resources Need;
  /// What is missing, for the caller.
  std::string Detail;
};

/// Knows what kinds of machines the deployment has, to tell jobs that none of
/// them could run. Remembers each kind that a listed worker or a machine, in
/// whatever pool and state, has shown. Runs on the loop's thread.
class MachineKinds {
public:
  /// Receives a step that no machine could run; nothing if there is none, or if
  /// that isn't known.
  using Callback = std::function<void(std::optional<UnservedStep>)>;

  /// The referenced objects must outlive this and the loop's work.
  MachineKinds(Context &Ctx, const FleetView &View) : Ctx_(Ctx), View_(View) {}

  /// Calls \p Done once, at the latest after \p Limit. Something is missing
  /// only if no listed worker has it and two complete lists of the machines in
  /// a row, both recent, show none that has.
  void check(const jobs::JobSpec &Spec, core::Duration Limit, Callback Done);

private:
  struct Waiter {
    jobs::JobSpec Spec;
    Callback Done;
  };

  std::optional<UnservedStep> findUnserved(const jobs::JobSpec &Spec) const;
  void add(const core::Resources &Capacity, std::vector<std::string> Labels);
  void addListedWorkers();
  void list(core::TimePoint Since, bool Again);
  void onListed(const MachineList &List, core::TimePoint Since, bool Again);
  bool addMachines(const MachineList &List);
  void answerAll(bool Known);

  Context &Ctx_;
  const FleetView &View_;
  /// Capacities that were shown, by the labels in order.
  std::map<std::vector<std::string>, std::vector<core::Resources>> Kinds_;
  std::optional<core::TimePoint> WorkersAddedAt_;
  /// Request time of the first of two complete lists; all kinds that they show
  /// are known.
  std::optional<core::TimePoint> ListedAt_;
  bool Listing_ = false;
  std::map<std::uint64_t, Waiter> Waiters_;
  std::uint64_t NextWaiter_ = 0;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_MACHINEKINDS_H
