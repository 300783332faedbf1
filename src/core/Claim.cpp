#include "core/Claim.h"

namespace comfreydeck::core {

namespace {

ClaimStep retryOrGiveUp(ClaimAttempt &Attempt, ClaimStep Next) {
  if (Attempt.Tries >= MaxClaimTries)
    return ClaimStep::StoreDown;
  ++Attempt.Tries;
  return Next;
}

ClaimStep afterOther(const ClaimAttempt &Attempt, const ClaimReading &Found) {
  if (Found.Record.Fingerprint != Attempt.Fingerprint)
    return ClaimStep::OtherWork;
  if (Found.Record.State == ClaimState::Ended)
    return ClaimStep::Repeat;
  bool MayEnd =
      Found.Record.State == ClaimState::Claimed && Found.HolderIsMember;
  return MayEnd ? ClaimStep::InProgress : ClaimStep::Unresolved;
}

} // namespace

ClaimStep afterWrite(ClaimAttempt &Attempt, ClaimWrite Result) {
  switch (Result) {
  case ClaimWrite::Committed:
    return ClaimStep::Execute;
  case ClaimWrite::NotApplied:
    return ClaimStep::StoreDown;
  case ClaimWrite::Lost:
    Attempt.MayBeApplied = true;
    return retryOrGiveUp(Attempt, ClaimStep::Read);
  case ClaimWrite::Conflict:
    return retryOrGiveUp(Attempt, ClaimStep::Read);
  }
  return ClaimStep::StoreDown;
}

ClaimStep afterRead(ClaimAttempt &Attempt, const ClaimReading &Found) {
  if (!Found.Known)
    return retryOrGiveUp(Attempt, ClaimStep::Read);
  bool IsMine = Found.Version != 0 && Found.Record.Request == Attempt.Mine;
  if (IsMine)
    return ClaimStep::Execute;
  // Rows are marked and never deleted, so that a write whose answer was lost
  // and that is applied late conflicts with a newer version.
  bool IsFree = Found.Version == 0 || Found.Record.State == ClaimState::NotRun;
  if (!IsFree)
    return afterOther(Attempt, Found);
  Attempt.Expected = Found.Version;
  return retryOrGiveUp(Attempt, ClaimStep::Write);
}

} // namespace comfreydeck::core
