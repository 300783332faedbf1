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

const char *nameOf(NextPlace Place) {
  switch (Place) {
  case NextPlace::Kept:
    return "kept";
  case NextPlace::NoneSuits:
    return "none-suits";
  case NextPlace::TimedOut:
    return "timed-out";
  case NextPlace::NotSought:
    return "not-sought";
  }
  return "";
}

} // namespace comfreydeck::jobs
