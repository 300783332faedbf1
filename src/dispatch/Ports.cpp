#include "dispatch/Ports.h"

namespace comfreydeck::dispatch {

const char *nameOf(DutyOutcome Outcome) {
  switch (Outcome) {
  case DutyOutcome::Done:
    return "done";
  case DutyOutcome::Fenced:
    return "fenced";
  case DutyOutcome::Busy:
    return "busy";
  case DutyOutcome::Wrong:
    return "wrong";
  case DutyOutcome::NotDone:
    return "not-done";
  case DutyOutcome::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace comfreydeck::dispatch
