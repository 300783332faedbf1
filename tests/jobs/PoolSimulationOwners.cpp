#include "jobs/PoolSimulation_p.h"

namespace comfreydeck::jobs {

namespace {

/// Pause before an earlier owner is asked again.
constexpr int AskAgainMs = 300;
constexpr double ReleaseShare = 0.2;
/// Share of the owners that vanish for good, and the longest time until the
/// others are back.
constexpr double LostShare = 0.3;
constexpr int MostDownMs = 6000;
/// Share of the owners that the next ones can't reach for some time, and the
/// longest such time.
constexpr double CutShare = 0.3;
constexpr int MostCutMs = 8000;
constexpr double LostAnswerShare = 0.1;
constexpr double SlowAnswerShare = 0.2;
constexpr int MostAnswerMs = 30;
constexpr int MostSlowAnswerMs = 900;

} // namespace

/// Draws how the pool's present owner ends, and notes it for the next ones.
void PoolSimulation::endOwner(const OwnerPtr &O, bool Vanishes) {
  auto Ended = std::make_shared<EarlierOwner>();
  Ended->O = O;
  EarlierOwners_.push_back(Ended);
  if (Vanishes) {
    // Those that went on beside it vanish too. A process that has started again
    // only knows that it has sent no order since.
    for (const std::shared_ptr<EarlierOwner> &Earlier : EarlierOwners_) {
      if (Earlier->StoppedAt)
        continue;
      Earlier->StoppedAt = Earlier->AnswersFrom =
          chance(LostShare) ? core::TimePoint::max()
                            : Now_ + milliseconds(draw(100, MostDownMs));
    }
  } else if (chance(ReleaseShare)) {
    Ended->StoppedAt = Now_;
    std::erase(Owners_, O);
  } else if (chance(CutShare)) {
    Ended->AnswersFrom = Now_ + milliseconds(draw(0, MostCutMs));
  }
}

/// Asks all that have not answered, again and again.
void PoolSimulation::askEarlierOwners(const OwnerPtr &O) {
  if (O->Replaced)
    return;
  bool AllStopped =
      std::all_of(O->Asked.begin(), O->Asked.end(),
                  [](const auto &Asked) { return Asked.second.has_value(); });
  if (AllStopped) {
    core::TimePoint Last;
    for (const auto &[Earlier, StoppedAt] : O->Asked)
      Last = std::max(Last, *StoppedAt);
    O->State->setEarlierOwnersStopped(Last);
    return;
  }
  for (std::size_t N = 0; N < O->Asked.size(); ++N)
    if (!O->Asked[N].second)
      schedule(1, MostAnswerMs, [this, O, N] { askToStop(O, N); });
  schedule(AskAgainMs, AskAgainMs, [this, O] { askEarlierOwners(O); });
}

/// The owner, if it can be reached, sends no more orders and tells for how long
/// it has sent none.
void PoolSimulation::askToStop(const OwnerPtr &O, std::size_t N) {
  EarlierOwner &Earlier = *O->Asked[N].first;
  if (Now_ < Earlier.AnswersFrom)
    return;
  if (OwnerPtr Stopped = Earlier.O.lock(); Stopped && !Earlier.StoppedAt) {
    Earlier.StoppedAt = Stopped->LastOrderAt;
    if (Options_.ViolatedRule != RuleViolation::NoStopOfOwners)
      std::erase(Owners_, Stopped);
  }
  if (!Earlier.StoppedAt || chance(LostAnswerShare))
    return;
  core::Duration StoppedFor = Now_ - *Earlier.StoppedAt;
  schedule(1, chance(SlowAnswerShare) ? MostSlowAnswerMs : MostAnswerMs,
           [this, O, N, StoppedFor] {
             O->Asked[N].second = nowOf(*O) - StoppedFor;
           });
}

} // namespace comfreydeck::jobs
