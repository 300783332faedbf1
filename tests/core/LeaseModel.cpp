#include "LeaseModel.h"

namespace comfreydeck::model {

namespace {

using namespace core;

/// One tick is a microsecond of the lease.
constexpr Duration Freshness(2);
constexpr Duration StoreGrace(4);
/// Stretches a wait of two ticks to three, which lasts two ticks on a clock of
/// two thirds the rate.
constexpr std::uint32_t DriftPpm = 200000;
/// Distinguishes the times of a history from a default-constructed time.
constexpr int FirstTick = 100;
constexpr std::uint8_t AllSlots = 2;

using Visitor = std::function<void(World &&, const char *)>;

Incarnation idOf(std::size_t I) { return {I + 1}; }

bool isCurrent(const Scenario &S, const World &W, std::size_t I) {
  const Node &N = W.Nodes[I];
  return N.Alive && nowAt(S, W, I) < currentUntil(N.Lease);
}

bool allows(unsigned Mask, std::size_t I) { return ((Mask >> I) & 1U) != 0; }

bool isBroken(const Scenario &S, BrokenRule B) { return S.Rule == B; }

/// A node's lease, altered to what a reporter with the broken rule would use.
ServingLease leaseUnderBrokenRule(const Scenario &S, const Node &N) {
  ServingLease L = N.Lease;
  for (LeasePeer &P : L.Peers) {
    if (isBroken(S, BrokenRule::NoWaitForStrangers))
      P.NeedsOwnProof = true;
    if (isBroken(S, BrokenRule::NoWaitAfterLastProof))
      P.ProofGiven.reset();
    if (isBroken(S, BrokenRule::NoWaitForStanding))
      P.StandingGiven.reset();
  }
  if (isBroken(S, BrokenRule::NoReadingAfterCommit) && L.ReadingSent)
    L.ReadingSent = TimePoint::max();
  return L;
}

StoreReading readingOf(const Scenario &S, const World &W, std::size_t I) {
  StoreReading R;
  R.Sent = nowAt(S, W, I);
  R.Head.Value = W.Head;
  for (std::size_t J = 0; J < S.Nodes; ++J)
    if (W.Rows[J].Present)
      R.Sessions.push_back({idOf(J), {W.Rows[J].Notice}, W.Rows[J].Fenced});
  return R;
}

/// Applies the known version, as a node with the log available does.
void catchUp(const Scenario &S, const World &W, std::size_t I, Node &N) {
  onApplied(N.Lease, N.Lease.Known.Version, nowAt(S, W, I));
}

void settleOwed(const Scenario &S, World &W, std::size_t I) {
  Node &N = W.Nodes[I];
  if (N.Owed == 0)
    return;
  ServingLease L = leaseUnderBrokenRule(S, N);
  Incarnation From = idOf(N.Write.Target);
  if (noticeInEffect(L, From, N.OwedNotice, nowAt(S, W, I))) {
    N.Slots += N.Owed;
    N.Owed = 0;
    N.Write = {};
  }
}

void report(const Scenario &S, World &W, std::size_t I) {
  if (S.Changes == 0 || !isCurrent(S, W, I))
    return;
  ServingLease L = leaseUnderBrokenRule(S, W.Nodes[I]);
  ConfigVersion Version = L.Progress.Version;
  if (Version.Value <= W.Reported)
    return;
  if (countInForce(L, Version, nowAt(S, W, I)).everywhere())
    W.Reported = static_cast<std::uint8_t>(Version.Value);
}

/// Performs the steps that nodes take at once, without a message.
void settle(const Scenario &S, World &W) {
  for (std::size_t I = 0; I < S.Nodes; ++I) {
    if (!W.Nodes[I].Alive)
      continue;
    settleOwed(S, W, I);
    report(S, W, I);
  }
}

void emit(const Scenario &S, World W, const char *Action, const Visitor &V) {
  settle(S, W);
  V(std::move(W), Action);
}

/// Resolves a write of unknown outcome if a reading shows its outcome.
void resolveByReading(const Scenario &S, std::size_t I, Node &N) {
  PendingWrite &P = N.Write;
  const StoreReading &R = N.Reading;
  bool Done = false;
  switch (P.Kind) {
  case WriteKind::Change:
    Done = R.Head.Value > P.Expected;
    if (Done && isBroken(S, BrokenRule::NoWaitAfterLastProof))
      N.Lease.LearnedVersions.back().Since = P.AppliedAt;
    break;
  case WriteKind::Fence: {
    const LeasePeer *Peer = findPeer(N.Lease, idOf(P.Target));
    Done = !Peer || Peer->Fenced;
    break;
  }
  case WriteKind::Take:
    Done = N.ReadingPoolOwner == I;
    N.OwnsPool = N.OwnsPool || Done;
    break;
  case WriteKind::Give:
    Done = N.ReadingSlots < P.Expected;
    break;
  case WriteKind::Reclaim:
  case WriteKind::None:
    break;
  }
  if (Done && P.Lost)
    P = {};
}

void deliverReading(const Scenario &S, World &W, std::size_t I) {
  Node &N = W.Nodes[I];
  TimePoint Now = nowAt(S, W, I);
  if (isBroken(S, BrokenRule::ReadingForgetsNew))
    for (LeasePeer &P : N.Lease.Peers)
      P.Heard = TimePoint();
  onReading(N.Lease, N.Reading, Now);
  if (isBroken(S, BrokenRule::NoGreeting) && I + S.Joining >= S.Nodes)
    for (LeasePeer &P : N.Lease.Peers)
      P.NeedsOwnProof = true;
  catchUp(S, W, I, N);
  if (N.Write.Kind != WriteKind::None)
    resolveByReading(S, I, N);
  if (N.Lease.Known.Notice > N.Lease.Progress.Notice) {
    N.Slots = std::min(N.Slots, N.ReadingSlots);
    onNoticeTaken(N.Lease, N.Lease.Known.Notice);
  }
  if (S.Gifts > 0 && N.Write.Kind == WriteKind::None)
    N.Slots = N.ReadingSlots;
  N.HasReading = false;
  N.Reading = {};
}

void readSteps(const Scenario &S, const World &W, std::size_t I,
               const Visitor &V) {
  const Node &N = W.Nodes[I];
  bool MayRead = allows(S.Readers, I) && W.Rows[I].Present;
  if (MayRead && N.LastRead < W.Tick) {
    World Next = W;
    Node &M = Next.Nodes[I];
    M.HasReading = true;
    M.LastRead = W.Tick;
    M.Reading = readingOf(S, W, I);
    M.ReadingSlots = W.Rows[I].Slots;
    M.ReadingPoolOwner = W.PoolOwner;
    if (!allows(S.LateReaders, I))
      deliverReading(S, Next, I);
    emit(S, std::move(Next), "read", V);
  }
  if (N.HasReading) {
    World Next = W;
    deliverReading(S, Next, I);
    emit(S, std::move(Next), "reading comes", V);
  }
}

void deliverReply(const Scenario &S, World &W, std::size_t I, std::size_t P) {
  Exchange &E = W.Exchanges[I][P];
  Node &N = W.Nodes[I];
  onProof(N.Lease, idOf(P), E.Request.Sent, E.Reply, nowAt(S, W, I));
  catchUp(S, W, I, N);
  E.At = Exchange::Stage::None;
}

void answerStep(const Scenario &S, const World &W, std::size_t I, std::size_t P,
                bool Standing, const Visitor &V) {
  World Next = W;
  Exchange &E = Next.Exchanges[I][P];
  ServingLease &Giver = Next.Nodes[P].Lease;
  if (isBroken(S, BrokenRule::ProofForAnyVersion))
    E.Request.Progress.Version = Giver.Known.Version;
  E.Reply = answerProof(Giver, E.Request, Standing, nowAt(S, W, P));
  E.At = Exchange::Stage::Answered;
  if (!S.LateProofs) {
    World Lost = Next;
    Lost.Exchanges[I][P].At = Exchange::Stage::None;
    emit(S, std::move(Lost), Standing ? "lost standing" : "lost proof", V);
    deliverReply(S, Next, I, P);
  }
  emit(S, std::move(Next), Standing ? "answer standing" : "answer", V);
}

void askStep(const Scenario &S, const World &W, std::size_t I, std::size_t P,
             const Visitor &V) {
  World Next = W;
  Exchange &E = Next.Exchanges[I][P];
  E.At = Exchange::Stage::Asked;
  E.LastAsk = W.Tick;
  E.Request = makeRequest(W.Nodes[I].Lease, idOf(P), nowAt(S, W, I));
  if (S.LateProofs)
    return emit(S, std::move(Next), "ask", V);
  answerStep(S, Next, I, P, false, V);
  if (S.Standing)
    answerStep(S, Next, I, P, true, V);
}

void exchangeSteps(const Scenario &S, const World &W, std::size_t I,
                   std::size_t P, const Visitor &V) {
  const Exchange &E = W.Exchanges[I][P];
  TimePoint Now = nowAt(S, W, I);
  bool Idle = E.LastAsk < W.Tick;
  bool Registered = W.Nodes[I].Lease.Registered && W.Nodes[P].Lease.Registered;
  if (allows(S.Askers, I) && Registered && W.Nodes[P].Alive && Idle &&
      E.At != Exchange::Stage::Goodbye)
    askStep(S, W, I, P, V);
  if (E.At == Exchange::Stage::Asked && W.Nodes[P].Alive) {
    answerStep(S, W, I, P, false, V);
    if (S.Standing)
      answerStep(S, W, I, P, true, V);
  }
  if (E.At == Exchange::Stage::Answered) {
    World Next = W;
    deliverReply(S, Next, I, P);
    emit(S, std::move(Next), "reply comes", V);
  }
  if (E.At == Exchange::Stage::Goodbye) {
    World Next = W;
    onGoodbye(Next.Nodes[I].Lease, idOf(P), E.Reply, Now);
    catchUp(S, Next, I, Next.Nodes[I]);
    Next.Exchanges[I][P] = {};
    emit(S, std::move(Next), "goodbye comes", V);
  }
}

void beginWrite(const Scenario &S, World Next, std::size_t I, WriteKind Kind,
                std::size_t Target, std::uint8_t Expected, const char *Action,
                const Visitor &V) {
  PendingWrite &P = Next.Nodes[I].Write;
  P = {};
  P.Kind = Kind;
  P.Target = static_cast<std::uint8_t>(Target);
  P.Expected = Expected;
  emit(S, std::move(Next), Action, V);
}

void beginPoolWrites(const Scenario &S, const World &W, std::size_t I,
                     const Visitor &V) {
  std::size_t Owner = W.PoolOwner;
  const ServingLease &L = W.Nodes[I].Lease;
  const LeasePeer *P = findPeer(L, idOf(Owner));
  if (Owner == I || !P)
    return;
  bool NoFence = isBroken(S, BrokenRule::NoFence);
  if (!NoFence && !P->Fenced && W.Takeovers < S.Takeovers) {
    World Next = W;
    ++Next.Takeovers;
    beginWrite(S, std::move(Next), I, WriteKind::Fence, Owner, 0, "fence", V);
  }
  ServingLease Altered = leaseUnderBrokenRule(S, W.Nodes[I]);
  if (NoFence || fenceInEffect(Altered, idOf(Owner), nowAt(S, W, I)))
    beginWrite(S, W, I, WriteKind::Take, Owner,
               static_cast<std::uint8_t>(Owner), "take", V);
}

void beginWrites(const Scenario &S, const World &W, std::size_t I,
                 const Visitor &V) {
  const Node &N = W.Nodes[I];
  bool Free = N.Write.Kind == WriteKind::None && N.Owed == 0;
  if (!Free || !allows(S.Writers, I) || !N.Lease.Registered)
    return;
  if (W.Changes < S.Changes) {
    World Next = W;
    ++Next.Changes;
    beginWrite(S, std::move(Next), I, WriteKind::Change, I,
               static_cast<std::uint8_t>(N.Lease.Progress.Version.Value),
               "propose", V);
  }
  if (S.Takeovers > 0)
    beginPoolWrites(S, W, I, V);
  for (std::size_t T = 0; T < S.Nodes; ++T) {
    if (T == I || !W.Rows[T].Present)
      continue;
    if (W.Reclaims < S.Reclaims && W.Rows[T].Slots > 0) {
      World Next = W;
      ++Next.Reclaims;
      beginWrite(S, std::move(Next), I, WriteKind::Reclaim, T, 0, "reclaim", V);
    }
    if (W.Gifts < S.Gifts && N.Slots > 0) {
      World Next = W;
      ++Next.Gifts;
      --Next.Nodes[I].Slots;
      beginWrite(S, std::move(Next), I, WriteKind::Give, T, N.Slots, "give", V);
    }
  }
}

/// The store evaluates a write.
void applyWrite(World &W, PendingWrite &P, std::size_t I) {
  StoreRow &Target = W.Rows[P.Target];
  bool Holds = true;
  switch (P.Kind) {
  case WriteKind::Change:
    Holds = W.Head == P.Expected;
    W.Head += Holds ? 1 : 0;
    break;
  case WriteKind::Fence:
    Holds = Target.Present;
    Target.Fenced = true;
    break;
  case WriteKind::Take:
    Holds = W.PoolOwner == P.Expected;
    if (Holds)
      W.PoolOwner = static_cast<std::uint8_t>(I);
    break;
  case WriteKind::Reclaim:
    Holds = Target.Slots > 0;
    Target.Slots -= Holds ? 1 : 0;
    Target.Notice += Holds ? 1 : 0;
    P.Expected = Target.Notice;
    break;
  case WriteKind::Give:
    Holds = W.Rows[I].Slots > 0;
    W.Rows[I].Slots -= Holds ? 1 : 0;
    Target.Slots += Holds ? 1 : 0;
    break;
  case WriteKind::None:
    break;
  }
  P.Stage = Holds ? WriteStage::Applied : WriteStage::Refused;
}

/// The node learns that its write was applied.
void onCommitted(const Scenario &S, World &W, std::size_t I) {
  Node &N = W.Nodes[I];
  PendingWrite P = N.Write;
  TimePoint Now = nowAt(S, W, I);
  N.Write = {};
  switch (P.Kind) {
  case WriteKind::Change:
    onApplied(N.Lease, {P.Expected + 1ULL}, Now);
    break;
  case WriteKind::Fence:
    onFenceCommitted(N.Lease, idOf(P.Target), Now);
    break;
  case WriteKind::Take:
    N.OwnsPool = true;
    break;
  case WriteKind::Reclaim:
    onNoticeCommitted(N.Lease, idOf(P.Target), {P.Expected}, Now);
    N.Owed = 1;
    N.OwedNotice.Value = P.Expected;
    N.Write.Target = P.Target;
    break;
  case WriteKind::Give:
  case WriteKind::None:
    break;
  }
}

void loseAnswer(const Scenario &S, World &W, std::size_t I) {
  Node &N = W.Nodes[I];
  ++W.LostAnswers;
  N.Write.Lost = true;
  if (isBroken(S, BrokenRule::UnknownIsDone))
    return onCommitted(S, W, I);
  if (!isBroken(S, BrokenRule::UnknownIsFailed))
    return;
  if (N.Write.Kind == WriteKind::Give)
    ++N.Slots;
  N.Write = {};
}

void writeSteps(const Scenario &S, const World &W, std::size_t I,
                const Visitor &V) {
  const PendingWrite &P = W.Nodes[I].Write;
  bool Free = P.Kind == WriteKind::None;
  if (Free)
    return;
  if (P.Stage == WriteStage::Sent) {
    World Next = W;
    applyWrite(Next, Next.Nodes[I].Write, I);
    Next.Nodes[I].Write.AppliedAt = nowAt(S, W, I);
    emit(S, std::move(Next), "store applies", V);
  }
  if (!W.Nodes[I].Alive || P.Lost)
    return;
  if (W.LostAnswers < S.LostAnswers) {
    World Next = W;
    loseAnswer(S, Next, I);
    emit(S, std::move(Next), "answer lost", V);
  }
  if (P.Stage == WriteStage::Sent)
    return;
  World Next = W;
  if (P.Stage == WriteStage::Applied) {
    onCommitted(S, Next, I);
  } else {
    if (P.Kind == WriteKind::Give)
      ++Next.Nodes[I].Slots;
    Next.Nodes[I].Write = {};
  }
  emit(S, std::move(Next), "answer comes", V);
}

void joinSteps(const Scenario &S, const World &W, std::size_t I,
               const Visitor &V) {
  if (!W.Rows[I].Present) {
    World Next = W;
    Next.Rows[I].Present = true;
    return emit(S, std::move(Next), "register", V);
  }
  World Next = W;
  onRegistered(Next.Nodes[I].Lease, nowAt(S, W, I));
  emit(S, std::move(Next), "registered", V);
}

void leave(const Scenario &S, World &W, std::size_t I) {
  ++W.Leaves;
  Node &N = W.Nodes[I];
  N.Alive = false;
  for (std::size_t P = 0; P < S.Nodes; ++P) {
    const LeasePeer *Peer = findPeer(N.Lease, idOf(P));
    if (!Peer || !W.Nodes[P].Alive)
      continue;
    Exchange &E = W.Exchanges[P][I];
    E = {};
    E.At = Exchange::Stage::Goodbye;
    E.Reply.Version = N.Lease.Known.Version;
    E.Reply.Notice = Peer->Notice;
    E.Reply.Fenced = Peer->Fenced;
  }
}

void endSteps(const Scenario &S, const World &W, std::size_t I,
              const Visitor &V) {
  if (W.Crashes < S.Crashes) {
    World Next = W;
    ++Next.Crashes;
    Next.Nodes[I].Alive = false;
    emit(S, std::move(Next), "crash", V);
  }
  if (W.Leaves < S.Leaves) {
    World Next = W;
    leave(S, Next, I);
    emit(S, Next, "leave, row stays", V);
    Next.Rows[I].Present = false;
    emit(S, std::move(Next), "leave", V);
  }
}

void dropStep(const Scenario &S, const World &W, std::size_t I, std::size_t P,
              const Visitor &V) {
  const LeasePeer *Peer = findPeer(W.Nodes[I].Lease, idOf(P));
  if (W.Nodes[P].Alive || !Peer || Peer->Dropped)
    return;
  World Next = W;
  ServingLease &L = Next.Nodes[I].Lease;
  onDropped(L, idOf(P));
  if (isBroken(S, BrokenRule::DropWithoutStanding))
    for (LeasePeer &Q : L.Peers)
      if (Q.Dropped)
        Q.StandingSent = nowAt(S, W, I);
  emit(S, std::move(Next), "list drops", V);
}

/// Removes the row of a fenced entry once the fence is in effect.
void cleanStep(const Scenario &S, const World &W, std::size_t I, std::size_t P,
               const Visitor &V) {
  if (!allows(S.Writers, I) || !W.Rows[P].Present || P == W.PoolOwner)
    return;
  if (!fenceInEffect(W.Nodes[I].Lease, idOf(P), nowAt(S, W, I)))
    return;
  World Next = W;
  Next.Rows[P].Present = false;
  emit(S, std::move(Next), "clean up", V);
}

void nodeSteps(const Scenario &S, const World &W, std::size_t I,
               const Visitor &V) {
  writeSteps(S, W, I, V);
  if (!W.Nodes[I].Alive)
    return;
  if (!W.Nodes[I].Lease.Registered)
    joinSteps(S, W, I, V);
  readSteps(S, W, I, V);
  beginWrites(S, W, I, V);
  endSteps(S, W, I, V);
  for (std::size_t P = 0; P < S.Nodes; ++P) {
    if (P == I)
      continue;
    exchangeSteps(S, W, I, P, V);
    dropStep(S, W, I, P, V);
    cleanStep(S, W, I, P, V);
  }
}

} // namespace

TimePoint nowAt(const Scenario &S, const World &W, std::size_t I) {
  int Ticks = FirstTick + W.Tick;
  return TimePoint(Duration(I == S.SlowNode ? Ticks * 2 / 3 : Ticks));
}

World makeWorld(const Scenario &S) {
  World W;
  std::size_t Registered = S.Nodes - S.Joining;
  for (std::size_t I = 0; I < Registered; ++I)
    W.Rows[I].Present = true;
  for (std::size_t I = 0; I < S.Nodes; ++I) {
    Node &N = W.Nodes[I];
    bool Slow = S.SlowNode < S.Nodes;
    bool Margin = Slow && !isBroken(S, BrokenRule::NoDriftMargin);
    N.Lease.Self = idOf(I);
    N.Lease.Bounds = {Freshness, StoreGrace, Margin ? DriftPpm : 0};
    if (I >= Registered)
      continue;
    onRegistered(N.Lease, nowAt(S, W, I));
    onReading(N.Lease, readingOf(S, W, I), nowAt(S, W, I));
    for (LeasePeer &P : N.Lease.Peers)
      P.NeedsOwnProof = true;
  }
  W.Nodes[0].OwnsPool = true;
  return W;
}

void forEachNext(const Scenario &S, const World &W, const Visitor &V) {
  if (W.Tick < S.Ticks) {
    World Next = W;
    ++Next.Tick;
    emit(S, std::move(Next), "tick", V);
  }
  for (std::size_t I = 0; I < S.Nodes; ++I)
    nodeSteps(S, W, I, V);
}

std::string violationOf(const Scenario &S, const World &W) {
  std::size_t Owners = 0;
  unsigned Slots = 0;
  for (std::size_t I = 0; I < S.Nodes; ++I) {
    if (!isCurrent(S, W, I))
      continue;
    const Node &N = W.Nodes[I];
    if (N.Lease.Progress.Version.Value < W.Reported)
      return "a version older than one in force everywhere is served";
    Owners += N.OwnsPool ? 1 : 0;
    Slots += N.Slots;
  }
  if (Owners > 1)
    return "a pool has two owners";
  bool HasLimit = S.Reclaims > 0 || S.Gifts > 0;
  if (HasLimit && Slots > AllSlots)
    return "the limit is exceeded";
  return {};
}

} // namespace comfreydeck::model
