#include "jobs/StopDecision.h"

namespace comfreydeck::jobs {

const char *nameOf(StopReason Reason) {
  switch (Reason) {
  case StopReason::Duplicate:
    return "duplicate";
  case StopReason::WorkerClosed:
    return "worker-closed";
  case StopReason::Straggler:
    return "straggler";
  }
  return "";
}

} // namespace comfreydeck::jobs
