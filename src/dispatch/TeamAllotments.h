#ifndef COMFREYDECK_DISPATCH_TEAMALLOTMENTS_H
#define COMFREYDECK_DISPATCH_TEAMALLOTMENTS_H

#include "dispatch/Ownership.h"
#include "jobs/TeamAllotment.h"

#include <optional>

namespace comfreydeck::dispatch {

/// Adjusts the shares of the teams' upper limits to the needs of the pools
/// owned here. Runs on the loop's thread.
class TeamAllotments {
public:
  TeamAllotments(Context &Ctx, FleetView &View, Ownership &Owners);

  void start();
  /// Passes each owned pool the resources that its teams may use.
  void apply();

private:
  void tick();
  bool adjust(const jobs::Team &Team, const PoolController &Controller);
  jobs::PoolNeeds currentNeeds(const TeamAllotment &Stored) const;
  std::optional<core::Resources> neededPart(const jobs::Team &Team,
                                            const PoolController &Controller,
                                            const core::Resources &Part,
                                            const core::Resources &Demand);
  bool isInDoubt(const std::string &Team, const std::string &Pool,
                 const TeamAllotment &Stored) const;
  core::Resources usablePart(const std::string &Team, const std::string &Pool,
                             const TeamAllotment &Stored) const;
  void write(const std::string &Team, const std::string &Pool,
             const TeamAllotment &Next);
  void onWritten(const std::string &Team, const std::string &Pool,
                 const TeamAllotment &Next, const store::PartAnswer &Answer);

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
  std::set<std::string> PendingWrites_;
  /// By team.
  std::map<std::string, jobs::TurnWatch> Turns_;
  /// Since when the team has tasks in the pool that wait, of which none can
  /// start with the pool's part. By team and pool.
  std::map<std::pair<std::string, std::string>, core::TimePoint> LacksSince_;
  /// A part that was lowered by a write that may have applied.
  struct Given {
    core::Resources Part;
    /// Version of the row that the write replaces.
    std::uint64_t Version = 0;
    /// A write has had no answer.
    bool Unsure = false;
  };
  /// By team and pool.
  std::map<std::pair<std::string, std::string>, Given> Given_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_TEAMALLOTMENTS_H
