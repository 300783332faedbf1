#include "dispatch/StrayJobs.h"

#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

namespace {

/// Bounds how long a job isn't counted that was accepted by a configuration
/// that is no longer in force.
constexpr std::chrono::milliseconds TickPeriod(250);
constexpr std::chrono::milliseconds StoreTimeout(1500);

} // namespace

void StrayJobs::tick() {
  Ctx_.Loop.after(TickPeriod, [this] { tick(); });
  auto Config = View_.config();
  if (!Config || !View_.isControlSynced())
    return;
  for (const auto &[Pool, Controller] : Owners_.controllers()) {
    if (!Controller->isLoaded() || Writing_.contains(Pool))
      continue;
    StrayQueues Stray;
    Stray.ConfigVersion = Config->Version;
    Stray.Names = Controller->state().strayQueues(*Config);
    const StrayQueues *Stored = View_.strayQueues(Pool);
    if (!Stored || Stored->ConfigVersion != Stray.ConfigVersion ||
        Stored->Names != Stray.Names)
      write(*Controller, std::move(Stray));
  }
}

void StrayJobs::write(const PoolController &Controller, StrayQueues Stray) {
  const std::string &Pool = Controller.state().pool();
  Writing_.insert(Pool);
  std::string Part = rows::poolPart(Pool);
  store::PartTransaction T;
  T.Conditions.push_back(
      {{rows::Control, Part, rows::OwnerKey}, Controller.token()});
  T.Puts.push_back({{rows::Control, Part, rows::StrayQueuesKey},
                    FleetView::strayQueuesValue(Stray)});
  Ctx_.Store.commit(
      std::move(T), StoreTimeout,
      [this, Pool, Stray = std::move(Stray)](store::PartAnswer Answer) {
        Ctx_.Loop.post([this, Pool, Stray, Answer = std::move(Answer)] {
          Writing_.erase(Pool);
          if (Answer.Outcome != store::PartOutcome::Ok)
            return;
          if (!Stray.Names.empty())
            logEvent("stray_queues", {{"pool", Pool},
                                      {"config", Stray.ConfigVersion},
                                      {"queues", Stray.Names.size()}});
          StrayQueues Written = Stray;
          Written.Version = Answer.Version;
          View_.setStrayQueues(Pool, std::move(Written));
        });
      });
}

} // namespace comfreydeck::dispatch
