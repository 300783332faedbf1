#include "jobs/Worker.h"

namespace comfreydeck::jobs {

const char *nameOf(RunEnd How) {
  switch (How) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lapsed:
    return "lapsed";
  case RunEnd::Broken:
    return "broken";
  case RunEnd::Alone:
    return "alone";
  }
  return "";
}

const char *nameOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return "accepted";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::OldRun:
    return "old-run";
  case OrderOutcome::Late:
    return "late";
  case OrderOutcome::NoRoom:
    return "no-room";
  case OrderOutcome::NoTicket:
    return "no-ticket";
  case OrderOutcome::Refused:
    return "refused";
  case OrderOutcome::OtherIncarnation:
    return "other-incarnation";
  case OrderOutcome::NotSent:
    return "not-sent";
  case OrderOutcome::Unknown:
    return "unknown";
  case OrderOutcome::Withheld:
    return "withheld";
  }
  return "";
}

} // namespace comfreydeck::jobs
