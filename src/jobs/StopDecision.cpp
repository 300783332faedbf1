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
  }
  return "";
}

} // namespace comfreydeck::jobs
