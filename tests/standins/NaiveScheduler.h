#ifndef COMFREYDECK_TESTS_STANDINS_NAIVESCHEDULER_H
#define COMFREYDECK_TESTS_STANDINS_NAIVESCHEDULER_H

#include "core/PoolOwner.h"

#include <algorithm>
#include <map>
#include <vector>

namespace comfreydeck::standins {

/// State of a team in the naive scheduler.
struct NaiveTeam {
  std::uint32_t Share = 1;
  std::uint32_t Limit = 0;
  std::uint32_t Running = 0;
  /// Slot seconds used since the start.
  double Served = 0;
};

/// Reference scheduler with a single global queue and complete knowledge. Each
/// free slot goes to the team with the least service relative to its share
/// since the start, and within the team to the earliest deadline. Scans all
/// waiting demands at each step.
struct NaiveScheduler {
  std::uint32_t Slots = 0;
  std::uint32_t Used = 0;
  std::map<core::TeamId, NaiveTeam> Teams;
  std::vector<core::Demand> Waiting;
};

inline bool naiveBefore(const NaiveScheduler &S, const core::Demand &A,
                        const core::Demand &B) {
  const NaiveTeam &TeamA = S.Teams.at(A.Team);
  const NaiveTeam &TeamB = S.Teams.at(B.Team);
  double ServedA = TeamA.Served / TeamA.Share;
  double ServedB = TeamB.Served / TeamB.Share;
  if (A.Team != B.Team)
    return ServedA != ServedB ? ServedA < ServedB : A.Team < B.Team;
  if (A.Deadline != B.Deadline)
    return A.Deadline < B.Deadline;
  return A.Id < B.Id;
}

/// Drops expired demands and starts all that can start at \p Now. Each start is
/// charged its actual run time immediately.
inline std::vector<core::Demand> naiveDecide(NaiveScheduler &S,
                                             core::TimePoint Now) {
  std::vector<core::Demand> Started;
  std::erase_if(S.Waiting, [&](const core::Demand &D) {
    return D.Deadline && *D.Deadline <= Now;
  });
  while (S.Used < S.Slots) {
    auto Best = S.Waiting.end();
    for (auto It = S.Waiting.begin(); It != S.Waiting.end(); ++It) {
      const NaiveTeam &Team = S.Teams.at(It->Team);
      if (Team.Running >= Team.Limit)
        continue;
      if (Best == S.Waiting.end() || naiveBefore(S, *It, *Best))
        Best = It;
    }
    if (Best == S.Waiting.end())
      break;
    NaiveTeam &Team = S.Teams.at(Best->Team);
    ++Team.Running;
    ++S.Used;
    Team.Served += std::chrono::duration<double>(Best->Run).count();
    Started.push_back(*Best);
    S.Waiting.erase(Best);
  }
  return Started;
}

inline void naiveFinish(NaiveScheduler &S, core::TeamId Team) {
  --S.Teams.at(Team).Running;
  --S.Used;
}

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_NAIVESCHEDULER_H
