#include "jobs/Admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace comfreydeck::jobs {

namespace {

/// Time step in which the backlog is worked off.
constexpr double StepMs = 250;
/// Longest wait that is computed.
constexpr double MaxWaitMs = 60000;
constexpr double MsPerSecond = 1000;
/// The next seconds may be better than the last ones by this factor.
constexpr double RateMargin = 1.25;
/// A rate below this part of the room comes from a disturbance, which may end
/// at any time.
constexpr double LeastRateOfRoom = 0.5;

/// The plan's order among jobs of one priority.
enum class Rank : std::uint8_t { Urgent, InTime, Late };

Rank rankAt(double SlackMs, double AtMs) {
  double Left = SlackMs - AtMs;
  if (Left < 0)
    return Rank::Late;
  return Left < UrgentSlackMs ? Rank::Urgent : Rank::InTime;
}

/// Works off the backlog as far as it is ahead of one job.
class BacklogRun {
public:
  BacklogRun(std::span<const BacklogJob> Backlog, const AdmissionRequest &Job,
             double MilliCpus)
      : Left_(Backlog.begin(), Backlog.end()), Job_(Job),
        MilliCpus_(MilliCpus) {}

  /// When room is left for the job for the first time, at most \ref MaxWaitMs.
  double startMs() {
    for (double AtMs = 0; AtMs < MaxWaitMs; AtMs += StepMs)
      if (workOff(AtMs) > 0)
        return AtMs;
    return MaxWaitMs;
  }

private:
  /// Works for one step; returns the CPU time that is left for the job.
  double workOff(double AtMs) {
    Rank Own = rankAt(Job_.ObjectiveMs - Job_.ChainMs, AtMs);
    double Free = MilliCpus_ * StepMs;
    for (auto Group = Left_.begin(); Group != Left_.end() && Free > 0;) {
      std::uint32_t Priority = Group->Priority;
      if (Priority > Job_.Priority)
        break;
      auto End = std::find_if(Group, Left_.end(), [&](const BacklogJob &B) {
        return B.Priority != Priority;
      });
      for (Rank Served : {Rank::Urgent, Rank::InTime, Rank::Late}) {
        if (Priority == Job_.Priority && Served > Own)
          break;
        bool BySize = Priority == Job_.Priority && Served == Own;
        for (auto B = Group; B != End && Free > 0; ++B) {
          if (BySize && B->Size >= Job_.Size)
            break;
          if (AtMs > B->WorthMs || rankAt(B->SlackMs, AtMs) != Served)
            continue;
          double Done = std::min(Free, B->WorkLeft);
          B->WorkLeft -= Done;
          Free -= Done;
        }
      }
      Group = End;
    }
    return Free;
  }

  std::vector<BacklogJob> Left_;
  const AdmissionRequest &Job_;
  double MilliCpus_;
};

} // namespace

double usableMilliCpus(const AdmissionRoom &Room) {
  double Own = Room.MilliCpus;
  if (Room.FinishedMilliCpus > 0)
    Own = std::clamp(Room.FinishedMilliCpus * RateMargin,
                     Room.MilliCpus * LeastRateOfRoom, Room.MilliCpus);
  return Own + Room.ComingMilliCpus;
}

AdmissionDecision decideAdmission(const AdmissionRoom &Room,
                                  std::span<const BacklogJob> Backlog,
                                  const AdmissionRequest &Job) {
  AdmissionDecision Decision;
  Decision.MilliCpus = usableMilliCpus(Room);
  for (const BacklogJob &B : Backlog)
    Decision.BacklogWork += B.WorthMs > 0 ? B.WorkLeft : 0;
  double LatestStartMs =
      WorthlessAfterObjectives * Job.ObjectiveMs - Job.ChainMs;
  bool FitsBehindAll =
      Decision.MilliCpus > 0 &&
      Decision.BacklogWork / Decision.MilliCpus <= LatestStartMs;
  if (Decision.MilliCpus <= 0 || FitsBehindAll)
    return Decision;
  Decision.StartMs = BacklogRun(Backlog, Job, Decision.MilliCpus).startMs();
  Decision.Refused = Decision.StartMs > LatestStartMs;
  double WaitS = std::ceil((Decision.StartMs - LatestStartMs) / MsPerSecond);
  Decision.RetryAfter =
      std::chrono::seconds(std::max<std::int64_t>(1, std::llround(WaitS)));
  return Decision;
}

} // namespace comfreydeck::jobs
