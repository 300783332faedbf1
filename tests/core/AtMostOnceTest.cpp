#include "core/Claim.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace comfreydeck::core;

namespace {

/// Deliberate faults, which the histories must detect.
enum class BrokenRule : std::uint8_t {
  Nothing,
  /// A claim whose answer was lost is treated as committed.
  StartOnLost,
  /// The claim of an entry that is gone is taken over.
  TakeOverGone,
  /// A start whose answer was lost is treated as not run.
  CutIsNotRun,
};

enum class Phase : std::uint8_t { Write, Read, Sent, Done };

/// One submission of the same work at one entry.
struct Submission {
  std::uint64_t Entry = 0;
  ClaimAttempt Attempt;
  Phase At = Phase::Write;
  bool Ran = false;
  bool ToldNotRun = false;
};

/// A write in flight to the table service; it may be applied late, or never.
struct InFlightWrite {
  std::uint64_t Expected = 0;
  ClaimRecord Record;
};

/// A random history of one key, with crashes of entries, lost answers and an
/// unavailable store.
struct History {
  explicit History(std::uint64_t Seed) : Random(Seed) {}

  Rng Random;
  BrokenRule Fault = BrokenRule::Nothing;
  std::uint64_t NextEntry = 4;
  std::uint64_t NextNumber = 1;
  std::uint64_t NextVersion = 1;
  std::vector<std::uint64_t> Live = {1, 2, 3};
  std::vector<Submission> Submissions;
  std::vector<InFlightWrite> InFlight;
  std::uint64_t RowVersion = 0;
  ClaimRecord Row;
  bool Down = false;
  int Runs = 0;
  int FalseNotRun = 0;

  bool chance(int Percent) {
    return static_cast<int>(Random() % 100) < Percent;
  }
  bool isLive(std::uint64_t Entry) const {
    return std::find(Live.begin(), Live.end(), Entry) != Live.end();
  }

  ClaimWrite applyWrite(const InFlightWrite &W) {
    if (RowVersion != W.Expected)
      return ClaimWrite::Conflict;
    RowVersion = NextVersion++;
    Row = W.Record;
    return ClaimWrite::Committed;
  }

  ClaimWrite write(const InFlightWrite &W) {
    if (Down)
      return ClaimWrite::NotApplied;
    if (chance(25)) {
      if (chance(40))
        applyWrite(W);
      else if (chance(70))
        InFlight.push_back(W);
      return ClaimWrite::Lost;
    }
    return applyWrite(W);
  }

  void submit() {
    Submission S;
    S.Entry = Live[Random() % Live.size()];
    S.Attempt.Mine = {{S.Entry}, NextNumber++, 1};
    S.Attempt.Fingerprint = 7;
    Submissions.push_back(S);
  }

  void crash() {
    if (Live.size() < 2)
      return;
    Live.erase(Live.begin() +
               static_cast<std::ptrdiff_t>(Random() % Live.size()));
    Live.push_back(NextEntry++);
  }

  void follow(Submission &S, ClaimStep Step) {
    switch (Step) {
    case ClaimStep::Write:
      S.At = Phase::Write;
      return;
    case ClaimStep::Read:
      S.At = Phase::Read;
      return;
    case ClaimStep::Execute:
      S.At = Phase::Sent;
      return;
    default:
      S.At = Phase::Done;
    }
  }

  void stepWrite(Submission &S) {
    ClaimRecord Mine{S.Attempt.Mine, ClaimState::Claimed, 7};
    ClaimWrite Result = write({S.Attempt.Expected, Mine});
    if (Fault == BrokenRule::StartOnLost && Result == ClaimWrite::Lost)
      return follow(S, ClaimStep::Execute);
    follow(S, afterWrite(S.Attempt, Result));
  }

  void stepRead(Submission &S) {
    ClaimReading Found;
    Found.Known = !Down;
    Found.Version = RowVersion;
    Found.Record = Row;
    Found.HolderIsMember = isLive(Row.Request.From.Value);
    bool IsGone = Found.Known && RowVersion != 0 && !Found.HolderIsMember &&
                  Row.State == ClaimState::Claimed;
    if (Fault == BrokenRule::TakeOverGone && IsGone)
      Found.Record.State = ClaimState::NotRun;
    follow(S, afterRead(S.Attempt, Found));
  }

  /// The worker runs or refuses the start; the answer of a run may be lost.
  void stepSent(Submission &S) {
    S.At = Phase::Done;
    bool Refused = chance(30);
    S.Ran = !Refused;
    Runs += S.Ran ? 1 : 0;
    bool Answered = Refused || chance(70);
    ClaimState End = Refused    ? ClaimState::NotRun
                     : Answered ? ClaimState::Ended
                                : ClaimState::Unresolved;
    if (Fault == BrokenRule::CutIsNotRun && !Answered)
      End = ClaimState::NotRun;
    S.ToldNotRun = End == ClaimState::NotRun;
    if (RowVersion != 0 && Row.Request == S.Attempt.Mine)
      write({RowVersion, {S.Attempt.Mine, End, 7}});
  }

  void step(Submission &S) {
    if (!isLive(S.Entry))
      return;
    if (S.At == Phase::Write)
      stepWrite(S);
    else if (S.At == Phase::Read)
      stepRead(S);
    else if (S.At == Phase::Sent)
      stepSent(S);
  }

  void applyLate() {
    if (InFlight.empty())
      return;
    std::size_t Which = Random() % InFlight.size();
    applyWrite(InFlight[Which]);
    InFlight.erase(InFlight.begin() + static_cast<std::ptrdiff_t>(Which));
  }

  void run(int Steps) {
    for (int N = 0; N < Steps; ++N) {
      std::uint64_t Kind = Random() % 100;
      if (Kind < 12 || Submissions.empty())
        submit();
      else if (Kind < 18)
        crash();
      else if (Kind < 26)
        applyLate();
      else if (Kind < 32)
        Down = !Down && chance(40);
      else
        step(Submissions[Random() % Submissions.size()]);
    }
    for (const Submission &S : Submissions)
      FalseNotRun += S.ToldNotRun && S.Ran ? 1 : 0;
  }
};

struct Tally {
  int Doubled = 0;
  int FalseNotRun = 0;
  int Ran = 0;
};

Tally runHistories(BrokenRule Fault, std::uint64_t FirstSeed, int Count) {
  Tally Sum;
  for (int N = 0; N < Count; ++N) {
    History H(FirstSeed + static_cast<std::uint64_t>(N));
    H.Fault = Fault;
    H.run(80);
    Sum.Doubled += H.Runs > 1 ? 1 : 0;
    Sum.FalseNotRun += H.FalseNotRun;
    Sum.Ran += H.Runs > 0 ? 1 : 0;
  }
  return Sum;
}

constexpr std::uint64_t FirstSeed = 20000;
constexpr int Histories = 30000;

} // namespace

TEST_CASE("no history of a key executes its work twice") {
  Tally Sum = runHistories(BrokenRule::Nothing, FirstSeed, Histories);
  MESSAGE("histories " << Histories << " from seed " << FirstSeed << ", ran "
                       << Sum.Ran << ", doubled " << Sum.Doubled
                       << ", false not-run " << Sum.FalseNotRun);
  CHECK(Sum.Doubled == 0);
  CHECK(Sum.FalseNotRun == 0);
  CHECK(Sum.Ran > Histories / 2);
}

TEST_CASE("the histories detect each broken rule") {
  for (BrokenRule Fault : {BrokenRule::StartOnLost, BrokenRule::TakeOverGone,
                           BrokenRule::CutIsNotRun}) {
    Tally Sum = runHistories(Fault, FirstSeed, 3000);
    MESSAGE("broken rule " << static_cast<int>(Fault) << ": doubled in "
                           << Sum.Doubled << " of 3000");
    CHECK(Sum.Doubled > 0);
  }
}

TEST_CASE("the next step of a claim depends on the row as read") {
  RequestId Mine{{1}, 1, 1};
  RequestId Other{{2}, 1, 1};
  struct Case {
    ClaimReading Found;
    ClaimStep Expected;
  };
  const Case Cases[] = {
      {{false, 0, {}, false}, ClaimStep::Read},
      {{true, 0, {}, false}, ClaimStep::Write},
      {{true, 3, {Mine, ClaimState::Claimed, 7}, true}, ClaimStep::Execute},
      {{true, 3, {Other, ClaimState::Claimed, 7}, true}, ClaimStep::InProgress},
      {{true, 3, {Other, ClaimState::Claimed, 7}, false},
       ClaimStep::Unresolved},
      {{true, 3, {Other, ClaimState::Ended, 7}, false}, ClaimStep::Repeat},
      {{true, 3, {Other, ClaimState::Ended, 8}, false}, ClaimStep::OtherWork},
      {{true, 3, {Other, ClaimState::Unresolved, 7}, true},
       ClaimStep::Unresolved},
      {{true, 3, {Other, ClaimState::NotRun, 8}, true}, ClaimStep::Write},
  };
  for (const Case &C : Cases) {
    ClaimAttempt Attempt{Mine, 7};
    CHECK(afterRead(Attempt, C.Found) == C.Expected);
    bool Writes = C.Expected == ClaimStep::Write;
    CHECK(Attempt.Expected == (Writes ? C.Found.Version : 0));
  }
}
