#include "core/RequestRegistry.h"

#include <array>

namespace comfreydeck::core {

namespace {

constexpr std::array<std::string_view, 7> StateNames = {
    "issued", "waiting", "running", "ended", "not-run", "cancelled", "unknown"};

bool isFinal(RequestState State) {
  return State != RequestState::Waiting && State != RequestState::Running;
}

/// Erases the oldest records until the limits hold; requests in flight are
/// kept.
void evictOldest(RequestRegistry &Registry) {
  while (!Registry.EvictionQueue.empty() &&
         (Registry.Records.size() > Registry.Options.MaxRecords ||
          Registry.Bytes > Registry.Options.MaxBytes)) {
    auto It = Registry.Records.find(Registry.EvictionQueue.front());
    Registry.EvictionQueue.pop_front();
    if (It == Registry.Records.end() || !isFinal(It->second.State))
      continue;
    Registry.Bytes -= It->second.Outcome.Body.size();
    Registry.Records.erase(It);
  }
}

} // namespace

std::string_view nameOf(RequestState State) {
  return StateNames.at(static_cast<std::size_t>(State));
}

void issue(RequestRegistry &Registry, std::uint64_t Number, TeamId Owner) {
  Registry.Records[Number].Owner = Owner;
  Registry.EvictionQueue.push_back(Number);
  evictOldest(Registry);
}

void begin(RequestRegistry &Registry, std::uint64_t Number, TeamId Owner,
           std::uint64_t Fingerprint) {
  RequestRecord &Record = Registry.Records[Number];
  Record.State = RequestState::Waiting;
  Record.Owner = Owner;
  Record.Fingerprint = Fingerprint;
}

IdUseDecision take(RequestRegistry &Registry, std::uint64_t Number,
                   TeamId Owner, std::uint64_t Fingerprint) {
  RequestRecord *Record = find(Registry, Number);
  if (!Record)
    return IdUseDecision::Unresolved;
  if (Record->Owner != Owner)
    return IdUseDecision::NotOwner;
  if (Record->State == RequestState::Cancelled)
    return IdUseDecision::Cancelled;
  bool IsFirst = Record->State == RequestState::Issued;
  if (!IsFirst && Record->Fingerprint != Fingerprint)
    return IdUseDecision::OtherWork;
  switch (Record->State) {
  case RequestState::Issued:
  case RequestState::NotRun:
    begin(Registry, Number, Owner, Fingerprint);
    return IdUseDecision::Execute;
  case RequestState::Waiting:
  case RequestState::Running:
    return IdUseDecision::InProgress;
  case RequestState::Ended:
    return IdUseDecision::Repeat;
  case RequestState::Cancelled:
    return IdUseDecision::Cancelled;
  case RequestState::Unknown:
    return IdUseDecision::Unresolved;
  }
  return IdUseDecision::Unresolved;
}

void setState(RequestRegistry &Registry, std::uint64_t Number,
              RequestState State, RequestOutcome Outcome) {
  RequestRecord *Record = find(Registry, Number);
  if (!Record)
    return;
  if (Outcome.Body.size() > Registry.Options.MaxStoredBodyBytes) {
    Outcome.Body.clear();
    Outcome.BodyDropped = true;
  }
  Registry.Bytes += Outcome.Body.size();
  Registry.Bytes -= Record->Outcome.Body.size();
  Record->Outcome = std::move(Outcome);
  Record->State = State;
  if (!isFinal(State))
    return;
  Registry.EvictionQueue.push_back(Number);
  evictOldest(Registry);
}

RequestRecord *find(RequestRegistry &Registry, std::uint64_t Number) {
  auto It = Registry.Records.find(Number);
  return It == Registry.Records.end() ? nullptr : &It->second;
}

} // namespace comfreydeck::core
