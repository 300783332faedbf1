#include "jobs/StopDecision.h"

namespace comfreydeck::jobs {

const char *nameOf(StopReason Reason) {
  switch (Reason) {
  case StopReason::Duplicate:
    return "duplicate";
  case StopReason::WorkerClosed:
    return "worker-closed";
  case StopReason::WorkerEmptied:
    return "worker-emptied";
  case StopReason::Straggler:
    return "straggler";
  case StopReason::GangBroken:
    return "gang-broken";
  case StopReason::JobEnded:
    return "job-ended";
  }
  return "";
}

} // namespace comfreydeck::jobs
