#include "core/Drain.h"

#include <array>

namespace comfreydeck::core {

namespace {

struct Transition {
  InstanceState From;
  InstanceEvent Event;
  InstanceState To;
};

using S = InstanceState;
using E = InstanceEvent;

constexpr std::array Transitions = {
    Transition{S::Serving, E::DrainPermitted, S::Draining},
    Transition{S::Serving, E::Lost, S::Failed},
    Transition{S::Draining, E::TasksEnded, S::Empty},
    Transition{S::Draining, E::Returned, S::Warming},
    Transition{S::Draining, E::Lost, S::Failed},
    Transition{S::Empty, E::RebootSent, S::Rebooting},
    Transition{S::Empty, E::Moved, S::Warming},
    Transition{S::Empty, E::Returned, S::Warming},
    Transition{S::Empty, E::Lost, S::Failed},
    Transition{S::Rebooting, E::CameBack, S::Warming},
    Transition{S::Rebooting, E::Lost, S::Failed},
    Transition{S::Warming, E::WarmedUp, S::Serving},
    Transition{S::Warming, E::DrainPermitted, S::Draining},
    Transition{S::Warming, E::Lost, S::Failed},
    Transition{S::Failed, E::CameBack, S::Warming},
};

void clearPlan(Instance &I) {
  I.MoveTo = {};
  I.RebootWhenEmpty = false;
  I.Wave = {};
}

/// Applies the event's changes to fields other than the state.
void applyEffects(Instance &I, InstanceState From, InstanceEvent Event,
                  std::int64_t NowUnixMs) {
  switch (Event) {
  case E::Moved:
    I.Pool = I.MoveTo;
    I.Joining = true;
    clearPlan(I);
    return;
  case E::Returned:
    clearPlan(I);
    return;
  case E::CameBack:
    if (From == S::Rebooting) {
      I.MaintainedUnixMs = NowUnixMs;
      I.LastWave = I.Wave.isValid() ? I.Wave : I.LastWave;
    }
    clearPlan(I);
    return;
  case E::WarmedUp:
    I.Joining = false;
    return;
  case E::DrainPermitted:
  case E::TasksEnded:
  case E::RebootSent:
  case E::Lost:
    return;
  }
}

} // namespace

std::optional<InstanceState> next(InstanceState From, InstanceEvent Event) {
  for (const Transition &T : Transitions)
    if (T.From == From && T.Event == Event)
      return T.To;
  return std::nullopt;
}

bool takesWork(InstanceState State) {
  return State == S::Serving || State == S::Warming;
}

std::optional<Instance> afterEvent(Instance I, InstanceEvent Event,
                                   std::int64_t NowUnixMs) {
  std::optional<InstanceState> To = next(I.State, Event);
  if (!To || (Event == E::Moved && !I.MoveTo.isValid()))
    return std::nullopt;
  applyEffects(I, I.State, Event, NowUnixMs);
  I.State = *To;
  I.SinceUnixMs = NowUnixMs;
  return I;
}

std::optional<InstanceEvent> dueEvent(const Instance &I,
                                      const InstanceObservation &Seen,
                                      const DrainTimes &Times,
                                      std::int64_t NowUnixMs) {
  std::int64_t InState = NowUnixMs - I.SinceUnixMs;
  switch (I.State) {
  case S::Serving:
    return std::nullopt;
  case S::Draining:
    if (Seen.Running == 0 && Seen.Heard)
      return E::TasksEnded;
    return std::nullopt;
  case S::Empty:
    if (I.MoveTo.isValid())
      return E::Moved;
    if (I.RebootWhenEmpty && !I.BootId.empty())
      return E::RebootSent;
    return std::nullopt;
  case S::Rebooting:
    if (Seen.Heard && Seen.BootId != I.BootId)
      return E::CameBack;
    if (InState > Times.RebootLimitMs)
      return E::Lost;
    return std::nullopt;
  case S::Warming:
    if (InState >= Times.WarmUpMs && Seen.Heard)
      return E::WarmedUp;
    return std::nullopt;
  case S::Failed:
    if (Seen.Heard)
      return E::CameBack;
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace comfreydeck::core
