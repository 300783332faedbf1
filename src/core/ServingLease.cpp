#include "core/ServingLease.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

constexpr std::int64_t Million = 1000000;
/// Number of versions for which the time of learning them is kept.
constexpr std::size_t MaxLearnedVersions = 64;

LeasePeer *findPeer(ServingLease &L, Incarnation Id) {
  for (LeasePeer &P : L.Peers)
    if (P.Id == Id)
      return &P;
  return nullptr;
}

LeasePeer &peerOf(ServingLease &L, Incarnation Id, TimePoint Now) {
  if (LeasePeer *Found = findPeer(L, Id))
    return *Found;
  LeasePeer &P = L.Peers.emplace_back();
  P.Id = Id;
  P.Heard = Now;
  std::sort(L.Peers.begin(), L.Peers.end(),
            [](const LeasePeer &A, const LeasePeer &B) { return A.Id < B.Id; });
  return *findPeer(L, Id);
}

template <typename T> void updateMax(T &Value, T To) {
  Value = std::max(Value, To);
}

void recordNotice(LeasePeer &P, NoticeNumber Notice, TimePoint Now) {
  if (Notice <= P.Notice)
    return;
  P.Notice = Notice;
  P.NoticeSince = Now;
}

void recordFence(LeasePeer &P, TimePoint Now) {
  if (P.Fenced)
    return;
  P.Fenced = true;
  P.FencedSince = Now;
}

void recordSession(ServingLease &L, const SessionView &S, TimePoint Now) {
  if (S.Id == L.Self) {
    updateMax(L.Known.Notice, S.Notice);
    L.Fenced = L.Fenced || S.Fenced;
    return;
  }
  LeasePeer &P = peerOf(L, S.Id, Now);
  recordNotice(P, S.Notice, Now);
  if (S.Fenced)
    recordFence(P, Now);
}

/// Marks the peers whose rows were missing from the reading as gone, and erases
/// those gone for longer than the store grace. A peer that was heard after the
/// reading was sent may have registered since, and is kept.
void removeAbsentPeers(ServingLease &L, const StoreReading &R, TimePoint Now) {
  for (LeasePeer &P : L.Peers) {
    bool Present =
        std::any_of(R.Sessions.begin(), R.Sessions.end(),
                    [&](const SessionView &S) { return S.Id == P.Id; });
    if (!Present && !P.Gone && P.Heard < R.Sent)
      P.Gone = Now;
  }
  Duration Grace = driftSafeWait(L.Bounds.StoreGrace, L.Bounds);
  std::erase_if(L.Peers, [&](const LeasePeer &P) {
    return P.Gone && Now >= *P.Gone + Grace;
  });
}

/// Drops the standing proofs requested before \p Sent: a standing proof is
/// valid only until the store is read again.
void dropOldStandingProofs(ServingLease &L, TimePoint Sent) {
  for (LeasePeer &P : L.Peers)
    if (P.StandingSent && *P.StandingSent < Sent)
      P.StandingSent.reset();
}

/// When this entry learned of \p Version or a later one; \p Now if it has not.
TimePoint learnedAt(const ServingLease &L, ConfigVersion Version,
                    TimePoint Now) {
  for (const LearnedVersion &M : L.LearnedVersions)
    if (M.Version >= Version)
      return M.Since;
  return Now;
}

/// Whether \p P may still serve with the state that it had before \p Since, the
/// time at which this entry began to withhold its proofs.
bool mayServeOldState(const ServingLease &L, const LeasePeer &P,
                      TimePoint Since, TimePoint Now) {
  Duration Freshness = driftSafeWait(L.Bounds.Freshness, L.Bounds);
  Duration Grace = driftSafeWait(L.Bounds.StoreGrace, L.Bounds);
  TimePoint End = std::max(Since, P.ProofGiven.value_or(Since)) + Freshness;
  if (Now < End)
    return true;
  if (P.Dropped)
    return false;
  if (!P.NeedsOwnProof)
    updateMax(End, L.Registered.value_or(Now) + Grace);
  if (P.StandingGiven)
    updateMax(End, *P.StandingGiven + Grace);
  return Now < End;
}

/// Whether this entry refuses \p P a proof: \p P is fenced or has not
/// acknowledged everything that applies to it.
bool withholdsProof(const ServingLease &L, const LeasePeer &P) {
  return P.Fenced || P.Acknowledged.Version < L.Known.Version ||
         P.Acknowledged.Notice < P.Notice;
}

/// When the latest proof by \p P expires; std::nullopt if none is needed.
std::optional<TimePoint> proofEnd(const ServingLease &L, const LeasePeer &P) {
  if (P.Gone || (P.Dropped && P.StandingSent))
    return std::nullopt;
  return P.ProofSent ? *P.ProofSent + L.Bounds.Freshness : TimePoint();
}

} // namespace

Duration driftSafeWait(Duration D, const LeaseBounds &B) {
  std::int64_t Faster = Million + B.DriftPpm;
  std::int64_t Slower = Million - B.DriftPpm;
  return Duration((D.count() * Faster + Slower - 1) / Slower);
}

const LeasePeer *findPeer(const ServingLease &L, Incarnation Id) {
  for (const LeasePeer &P : L.Peers)
    if (P.Id == Id)
      return &P;
  return nullptr;
}

void onRegistered(ServingLease &L, TimePoint Now) {
  if (!L.Registered)
    L.Registered = Now;
}

void onReading(ServingLease &L, const StoreReading &R, TimePoint Now) {
  updateMax(L.Known.Version, R.Head);
  bool HasSelf = false;
  for (const SessionView &S : R.Sessions) {
    HasSelf = HasSelf || S.Id == L.Self;
    recordSession(L, S, Now);
  }
  if (!L.Registered || R.Sent < *L.Registered)
    return;
  // The row existed; it is removed only after a fence has taken effect.
  L.Fenced = L.Fenced || !HasSelf;
  if (L.ReadingSent && R.Sent < *L.ReadingSent)
    return;
  L.ReadingSent = R.Sent;
  removeAbsentPeers(L, R, Now);
  dropOldStandingProofs(L, R.Sent);
}

void onApplied(ServingLease &L, ConfigVersion Version, TimePoint Now) {
  if (Version <= L.Progress.Version)
    return;
  L.Progress.Version = Version;
  updateMax(L.Known.Version, Version);
  L.LearnedVersions.push_back({Version, Now});
  if (L.LearnedVersions.size() > MaxLearnedVersions)
    L.LearnedVersions.erase(L.LearnedVersions.begin());
}

void onNoticeTaken(ServingLease &L, NoticeNumber Notice) {
  updateMax(L.Progress.Notice, Notice);
  updateMax(L.Known.Notice, Notice);
}

void onFenceCommitted(ServingLease &L, Incarnation Id, TimePoint Now) {
  recordFence(peerOf(L, Id, Now), Now);
}

void onNoticeCommitted(ServingLease &L, Incarnation Id, NoticeNumber Notice,
                       TimePoint Now) {
  recordNotice(peerOf(L, Id, Now), Notice, Now);
}

ProofRequest makeRequest(const ServingLease &L, Incarnation To, TimePoint Now) {
  ProofRequest Request;
  Request.From = L.Self;
  Request.Progress = L.Progress;
  Request.Sent = Now;
  Request.ReadingSent = L.ReadingSent.value_or(TimePoint());
  Request.NeedsProof = findPeer(L, To) != nullptr;
  return Request;
}

ProofReply answerProof(ServingLease &L, const ProofRequest &Request,
                       bool Standing, TimePoint Now) {
  ProofReply Reply;
  Reply.Version = L.Known.Version;
  LeasePeer *P = findPeer(L, Request.From);
  if (!P)
    return Reply;
  if (P->Gone) {
    Reply.Fenced = true;
    return Reply;
  }
  P->Heard = Now;
  P->Dropped = false;
  P->NeedsOwnProof = P->NeedsOwnProof || Request.NeedsProof;
  if (P->StandingRequestSent < Request.ReadingSent)
    P->StandingGiven.reset();
  onAcknowledged(L, Request.From, Request.Progress);
  Reply.NeedsProof = true;
  Reply.Notice = P->Notice;
  Reply.Fenced = P->Fenced;
  if (withholdsProof(L, *P))
    return Reply;
  Reply.Granted = true;
  Reply.Standing = Standing;
  P->ProofGiven = Now;
  if (Standing) {
    P->StandingGiven = Now;
    P->StandingRequestSent = Request.Sent;
  }
  return Reply;
}

void onProof(ServingLease &L, Incarnation From, TimePoint Sent,
             const ProofReply &Reply, TimePoint Now) {
  updateMax(L.Known.Version, Reply.Version);
  updateMax(L.Known.Notice, Reply.Notice);
  L.Fenced = L.Fenced || Reply.Fenced;
  LeasePeer *P = findPeer(L, From);
  if (P ? P->Gone.has_value() : !Reply.Granted)
    return;
  if (!P)
    P = &peerOf(L, From, Now);
  P->Heard = Now;
  P->Dropped = false;
  P->NeedsOwnProof = P->NeedsOwnProof || Reply.NeedsProof;
  if (!Reply.Granted || (P->ProofSent && *P->ProofSent > Sent))
    return;
  P->ProofSent = Sent;
  bool ReadSince = L.ReadingSent && Sent < *L.ReadingSent;
  if (Reply.Standing && !ReadSince)
    P->StandingSent = Sent;
}

void onAcknowledged(ServingLease &L, Incarnation From,
                    const LeaseProgress &Progress) {
  LeasePeer *P = findPeer(L, From);
  if (!P)
    return;
  updateMax(P->Acknowledged.Version, Progress.Version);
  updateMax(P->Acknowledged.Notice, Progress.Notice);
}

void onFenceAcknowledged(ServingLease &L, Incarnation From) {
  if (LeasePeer *P = findPeer(L, From))
    P->FenceAcknowledged = true;
}

void onGoodbye(ServingLease &L, Incarnation From, const ProofReply &Last,
               TimePoint Now) {
  updateMax(L.Known.Version, Last.Version);
  updateMax(L.Known.Notice, Last.Notice);
  L.Fenced = L.Fenced || Last.Fenced;
  LeasePeer *P = findPeer(L, From);
  if (P && !P->Gone)
    P->Gone = Now;
}

void onDropped(ServingLease &L, Incarnation Id) {
  if (LeasePeer *P = findPeer(L, Id))
    P->Dropped = true;
}

TimePoint currentUntil(const ServingLease &L) {
  bool Behind = L.Progress.Version < L.Known.Version ||
                L.Progress.Notice < L.Known.Notice;
  if (L.Fenced || Behind || !L.ReadingSent)
    return TimePoint();
  TimePoint ByProofs = *L.ReadingSent + L.Bounds.StoreGrace;
  for (const LeasePeer &P : L.Peers)
    if (std::optional<TimePoint> End = proofEnd(L, P))
      ByProofs = std::min(ByProofs, *End);
  return std::max(*L.ReadingSent + L.Bounds.Freshness, ByProofs);
}

bool mayServeBelow(const ServingLease &L, const LeasePeer &P,
                   ConfigVersion Version, TimePoint Now) {
  if (P.Acknowledged.Version >= Version || P.FenceAcknowledged)
    return false;
  if (P.Fenced && !mayServeOldState(L, P, P.FencedSince, Now))
    return false;
  return mayServeOldState(L, P, learnedAt(L, Version, Now), Now);
}

InForceCount countInForce(const ServingLease &L, ConfigVersion Version,
                          TimePoint Now) {
  InForceCount Count;
  Count.Entries = 1;
  Count.InForce = L.Progress.Version >= Version ? 1 : 0;
  for (const LeasePeer &P : L.Peers) {
    if (P.Gone)
      continue;
    ++Count.Entries;
    Count.InForce += mayServeBelow(L, P, Version, Now) ? 0 : 1;
  }
  // A reading sent after the commit contains every entry that registered
  // before it.
  Count.Complete = L.ReadingSent && *L.ReadingSent > learnedAt(L, Version, Now);
  return Count;
}

bool fenceInEffect(const ServingLease &L, Incarnation Id, TimePoint Now) {
  const LeasePeer *P = findPeer(L, Id);
  if (!P)
    return false;
  if (P->Gone)
    return true;
  if (!P->Fenced)
    return false;
  return P->FenceAcknowledged || !mayServeOldState(L, *P, P->FencedSince, Now);
}

bool noticeInEffect(const ServingLease &L, Incarnation Id, NoticeNumber Notice,
                    TimePoint Now) {
  const LeasePeer *P = findPeer(L, Id);
  if (!P)
    return false;
  if (P->Gone)
    return true;
  if (P->Notice < Notice)
    return false;
  if (P->Acknowledged.Notice >= Notice || P->FenceAcknowledged)
    return true;
  return !mayServeOldState(L, *P, P->NoticeSince, Now);
}

} // namespace comfreydeck::core
