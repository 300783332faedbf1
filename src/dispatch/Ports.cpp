#include "dispatch/Ports.h"

namespace comfreydeck::dispatch {

const char *nameOf(MachineState State) {
  switch (State) {
  case MachineState::Up:
    return "up";
  case MachineState::Moving:
    return "moving";
  case MachineState::Maintenance:
    return "maintenance";
  case MachineState::Down:
    return "down";
  }
  return "";
}

const char *nameOf(MachineOrderOutcome Outcome) {
  switch (Outcome) {
  case MachineOrderOutcome::Done:
    return "done";
  case MachineOrderOutcome::Fenced:
    return "fenced";
  case MachineOrderOutcome::Busy:
    return "busy";
  case MachineOrderOutcome::Wrong:
    return "wrong";
  case MachineOrderOutcome::NotDone:
    return "not-done";
  case MachineOrderOutcome::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace comfreydeck::dispatch
