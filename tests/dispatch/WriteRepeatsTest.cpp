#include "dispatch/WriteRepeats.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using std::chrono::milliseconds;
using store::PartOutcome;

namespace {

/// Pause of owners before a failed write is sent again.
constexpr core::Duration RetryPause = milliseconds(120);

AnswerPace paceOf(core::Duration Usual) {
  AnswerPace Pace;
  recordAnswer(Pace, Usual);
  return Pace;
}

/// Calls for one write until \p End if none is answered.
std::size_t callsInOutage(const AnswerPace &Pace, core::Duration End) {
  core::Duration At{0};
  core::Duration LastEnd{0};
  std::size_t Sent = 0;
  while (At < End) {
    ++Sent;
    LastEnd = std::max(LastEnd, At + attemptLimit(Sent));
    core::Duration Next = LastEnd + RetryPause;
    if (auto Pause = pauseBeforeRepeat(Pace, Sent))
      Next = std::min(Next, At + *Pause);
    At = Next;
  }
  return Sent;
}

} // namespace

TEST_CASE("an outage of ten seconds or more without any answer costs more "
          "calls than one per time limit of 1,500 ms") {
  for (int UsualMs : {0, 4, 8, 50, 300, 2000}) {
    AnswerPace Pace =
        UsualMs == 0 ? AnswerPace() : paceOf(milliseconds(UsualMs));
    for (int Seconds : {10, 15, 20, 30, 60, 600}) {
      core::Duration End = std::chrono::seconds(Seconds);
      core::Duration Round = milliseconds(1500) + RetryPause;
      auto Before =
          static_cast<std::size_t>((End + Round - core::Duration(1)) / Round);
      CAPTURE(UsualMs);
      CAPTURE(Seconds);
      CHECK(callsInOutage(Pace, End) <= Before);
    }
  }
}

TEST_CASE("pauses between the attempts of a write grow") {
  AnswerPace Pace = paceOf(milliseconds(5));
  core::Duration Last{0};
  std::size_t Sent = 1;
  for (; pauseBeforeRepeat(Pace, Sent); ++Sent) {
    CHECK(*pauseBeforeRepeat(Pace, Sent) >= 2 * Last);
    Last = *pauseBeforeRepeat(Pace, Sent);
  }
  CHECK(Sent > 2);
  CHECK(Sent <= 4);
}

TEST_CASE("a store that answers slowly gets writes again while its answers "
          "are due") {
  AnswerPace Pace = paceOf(milliseconds(5));
  CHECK(*pauseBeforeRepeat(Pace, 1) >= milliseconds(50));
  constexpr core::Duration Slow = milliseconds(250);
  recordAnswer(Pace, Slow);
  CHECK_FALSE(pauseBeforeRepeat(Pace, 1));
  // A few quick answers don't show that it has recovered.
  for (int N = 0; N < 5; ++N)
    recordAnswer(Pace, milliseconds(5));
  CHECK_FALSE(pauseBeforeRepeat(Pace, 1));
  for (int N = 0; N < 100; ++N)
    recordAnswer(Pace, milliseconds(5));
  CHECK(*pauseBeforeRepeat(Pace, 1) < Slow);
}

TEST_CASE("a store that has not answered yet is given the longest pause") {
  for (int UsualMs : {1, 5, 20, 50, 100, 200, 10000}) {
    AnswerPace Pace = paceOf(milliseconds(UsualMs));
    if (auto Pause = pauseBeforeRepeat(Pace, 1))
      CHECK(*Pause <= *pauseBeforeRepeat(AnswerPace(), 1));
  }
}

TEST_CASE("the first answer that says what became of a write settles it, and "
          "later ones are ignored") {
  for (PartOutcome First : {PartOutcome::Ok, PartOutcome::Conflict})
    for (PartOutcome Later : {PartOutcome::Ok, PartOutcome::Conflict,
                              PartOutcome::NotDone, PartOutcome::Unknown}) {
      RepeatedWrite Write;
      recordAttempt(Write);
      recordAttempt(Write);
      CHECK(takeAnswer(Write, First, false) == WriteStep::Settle);
      CHECK(takeAnswer(Write, Later, false) == WriteStep::Ignore);
    }
}

TEST_CASE("an attempt that fails while another is open settles nothing") {
  for (PartOutcome Failed : {PartOutcome::NotDone, PartOutcome::Unknown}) {
    RepeatedWrite Write;
    recordAttempt(Write);
    recordAttempt(Write);
    CHECK(takeAnswer(Write, Failed, false) == WriteStep::Wait);
    CHECK(takeAnswer(Write, PartOutcome::NotDone, false) == WriteStep::Retry);
    CHECK(Write.Unsure == (Failed == PartOutcome::Unknown));
  }
}

TEST_CASE("a refusal for good beside an attempt that may still be done leaves "
          "the write unsure") {
  RepeatedWrite Write;
  recordAttempt(Write);
  recordAttempt(Write);
  CHECK(takeAnswer(Write, PartOutcome::NotDone, true) == WriteStep::Settle);
  CHECK(Write.Unsure);
  RepeatedWrite Alone;
  recordAttempt(Alone);
  CHECK(takeAnswer(Alone, PartOutcome::NotDone, true) == WriteStep::Settle);
  CHECK_FALSE(Alone.Unsure);
}
