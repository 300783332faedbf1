#include "LeaseModel.h"

#include <algorithm>
#include <unordered_set>

namespace comfreydeck::model {

namespace {

using namespace core;

/// Ages beyond which a time makes no difference; they follow from the bounds in
/// LeaseModel.cpp.
constexpr std::int64_t FreshAges = 2;
constexpr std::int64_t WaitAges = 3;
constexpr std::int64_t AllAges = 8;

/// Serializes a world to bytes, with times as ages on a node's clock.
class KeyWriter {
public:
  void setNow(TimePoint Now) { Now_ = Now; }
  void put(std::uint64_t Value) {
    Text_.push_back(static_cast<char>(Value & 0xFFU));
  }
  void put(TimePoint At, std::int64_t Cap) {
    put(static_cast<std::uint64_t>(std::min((Now_ - At).count(), Cap)));
  }
  void put(const std::optional<TimePoint> &At, std::int64_t Cap) {
    put(At.value_or(TimePoint()), Cap);
  }
  void put(const LeaseProgress &P) {
    put(P.Version.Value * 16 + P.Notice.Value);
  }
  std::string take() { return std::move(Text_); }

private:
  std::string Text_;
  TimePoint Now_;
};

std::uint64_t bits(std::initializer_list<bool> Flags) {
  std::uint64_t Value = 0;
  for (bool Flag : Flags)
    Value = Value * 2 + (Flag ? 1 : 0);
  return Value;
}

void put(KeyWriter &K, const LeasePeer &P, bool HasReading) {
  K.put(P.Id.Value);
  K.put(bits({P.Dropped, P.NeedsOwnProof, P.Fenced, P.FenceAcknowledged,
              P.StandingSent.has_value(), P.StandingGiven.has_value()}));
  K.put(P.Heard, HasReading ? AllAges : 1);
  K.put(P.ProofSent, FreshAges);
  K.put(P.StandingSent, AllAges);
  K.put(P.ProofGiven, WaitAges);
  K.put(P.StandingGiven, AllAges);
  K.put(P.StandingRequestSent, AllAges);
  K.put(P.Acknowledged);
  K.put(P.Notice.Value);
  K.put(P.NoticeSince, WaitAges);
  K.put(P.FencedSince, WaitAges);
  K.put(P.Gone, AllAges);
}

void put(KeyWriter &K, const ServingLease &L, bool HasReading) {
  K.put(L.Progress);
  K.put(L.Known);
  K.put(bits({L.Fenced, L.Registered.has_value()}));
  K.put(L.Registered, AllAges);
  K.put(L.ReadingSent, AllAges);
  K.put(L.Peers.size());
  for (const LeasePeer &P : L.Peers)
    put(K, P, HasReading);
  for (const LearnedVersion &M : L.LearnedVersions)
    K.put(M.Since, AllAges);
}

void put(KeyWriter &K, const StoreReading &R) {
  K.put(R.Sent, AllAges);
  K.put(R.Head.Value);
  K.put(R.Sessions.size());
  for (const SessionView &S : R.Sessions) {
    K.put(S.Id.Value);
    K.put(S.Notice.Value * 2 + (S.Fenced ? 1 : 0));
  }
}

void put(KeyWriter &K, const Node &N) {
  K.put(bits({N.Alive, N.HasReading, N.OwnsPool, N.Write.Lost}));
  put(K, N.Lease, N.HasReading);
  if (N.HasReading) {
    put(K, N.Reading);
    K.put(N.ReadingSlots);
    K.put(N.ReadingPoolOwner);
  }
  K.put(static_cast<std::uint64_t>(N.Write.Kind));
  K.put(static_cast<std::uint64_t>(N.Write.Stage));
  K.put(N.Write.Target);
  K.put(N.Write.Expected);
  if (N.Write.Kind == WriteKind::Change)
    K.put(N.Write.AppliedAt, AllAges);
  K.put(N.Slots);
  K.put(N.Owed);
  K.put(N.OwedNotice.Value);
}

void put(KeyWriter &K, const Exchange &E) {
  K.put(static_cast<std::uint64_t>(E.At));
  if (E.At == Exchange::Stage::None)
    return;
  K.put(E.Request.Progress);
  K.put(E.Request.Sent, AllAges);
  K.put(E.Request.ReadingSent, AllAges);
  K.put(bits({E.Request.NeedsProof, E.Reply.Granted, E.Reply.NeedsProof,
              E.Reply.Standing, E.Reply.Fenced}));
  K.put(E.Reply.Version.Value);
  K.put(E.Reply.Notice.Value);
}

/// Two independent hashes of a key, to make collisions of different worlds
/// unlikely.
struct KeyHash {
  std::uint64_t A = 0;
  std::uint64_t B = 0;
  bool operator==(const KeyHash &) const = default;
};

struct KeyHashHash {
  std::size_t operator()(const KeyHash &H) const { return H.A; }
};

KeyHash hashOf(const std::string &Key) {
  KeyHash H{0xCBF29CE484222325ULL, 0x9E3779B97F4A7C15ULL};
  for (unsigned char C : Key) {
    H.A = (H.A ^ C) * 0x100000001B3ULL;
    H.B = (H.B + C + 1) * 0xD6E8FEB86659FD93ULL;
    H.B ^= H.B >> 32;
  }
  return H;
}

/// The predecessor of a world and the action that first led to it.
struct Origin {
  std::size_t Parent = 0;
  const char *Action = "";
};

std::string traceTo(const std::vector<Origin> &Origins, std::size_t At) {
  std::vector<const char *> Actions;
  for (; At != 0; At = Origins[At].Parent)
    Actions.push_back(Origins[At].Action);
  std::string Trace;
  for (auto It = Actions.rbegin(); It != Actions.rend(); ++It)
    Trace.append(*It).append("; ");
  return Trace;
}

} // namespace

std::string stateKey(const Scenario &S, const World &W) {
  KeyWriter K;
  K.put(static_cast<std::uint64_t>(W.Tick));
  K.put(W.Head);
  K.put(W.PoolOwner);
  K.put(W.Reported);
  for (int Count : {W.Changes, W.Crashes, W.Leaves, W.LostAnswers, W.Takeovers,
                    W.Reclaims, W.Gifts})
    K.put(static_cast<std::uint64_t>(Count));
  for (std::size_t I = 0; I < S.Nodes; ++I) {
    const StoreRow &R = W.Rows[I];
    K.put(bits({R.Present, R.Fenced}));
    K.put(R.Notice * 16ULL + R.Slots);
    K.setNow(nowAt(S, W, I));
    put(K, W.Nodes[I]);
    K.put(W.Nodes[I].LastRead < W.Tick ? 1 : 0);
    for (std::size_t P = 0; P < S.Nodes; ++P) {
      K.put(W.Exchanges[I][P].LastAsk < W.Tick ? 1 : 0);
      put(K, W.Exchanges[I][P]);
    }
  }
  return K.take();
}

Exploration explore(const Scenario &S, std::size_t MaxStates) {
  Exploration Found;
  std::unordered_set<KeyHash, KeyHashHash> Seen;
  std::vector<Origin> Origins;
  std::vector<std::pair<World, std::size_t>> Open;
  World First = makeWorld(S);
  Seen.insert(hashOf(stateKey(S, First)));
  Origins.push_back({});
  Open.emplace_back(std::move(First), 0);
  while (!Open.empty() && Found.Fault.empty()) {
    auto [W, Index] = std::move(Open.back());
    Open.pop_back();
    forEachNext(S, W, [&, Parent = Index](World &&Next, const char *Action) {
      if (!Found.Fault.empty())
        return;
      if (Origins.size() >= MaxStates) {
        Found.Complete = false;
        return;
      }
      if (!Seen.insert(hashOf(stateKey(S, Next))).second)
        return;
      Origins.push_back({Parent, Action});
      Found.Fault = violationOf(S, Next);
      if (!Found.Fault.empty())
        Found.Trace = traceTo(Origins, Origins.size() - 1);
      Open.emplace_back(std::move(Next), Origins.size() - 1);
    });
  }
  Found.States = Origins.size();
  return Found;
}

HistoryCount runHistories(const Scenario &S, std::uint64_t Seed,
                          std::size_t Count, std::size_t MaxActions) {
  HistoryCount Counted;
  Rng Random(Seed);
  for (std::size_t I = 0; I < Count; ++I) {
    World W = makeWorld(S);
    std::string Trace;
    for (std::size_t Step = 0; Step < MaxActions; ++Step) {
      std::vector<std::pair<World, const char *>> Nexts;
      forEachNext(S, W, [&](World &&Next, const char *Action) {
        Nexts.emplace_back(std::move(Next), Action);
      });
      if (Nexts.empty())
        break;
      std::size_t Chosen = Random() % Nexts.size();
      W = std::move(Nexts[Chosen].first);
      Trace.append(Nexts[Chosen].second).append("; ");
      std::string Fault = violationOf(S, W);
      if (Fault.empty())
        continue;
      ++Counted.Faulty;
      Counted.Fault = Fault.append(": ").append(Trace);
      break;
    }
    ++Counted.Histories;
    Counted.WithReport += W.Reported > 0 ? 1 : 0;
  }
  return Counted;
}

} // namespace comfreydeck::model
