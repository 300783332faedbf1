#include "core/RequestBook.h"

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
void forgetOldest(RequestBook &Book) {
  while (!Book.Forgettable.empty() &&
         (Book.Records.size() > Book.Options.MostRecords ||
          Book.Bytes > Book.Options.MostBytes)) {
    auto It = Book.Records.find(Book.Forgettable.front());
    Book.Forgettable.pop_front();
    if (It == Book.Records.end() || !isFinal(It->second.State))
      continue;
    Book.Bytes -= It->second.Outcome.Body.size();
    Book.Records.erase(It);
  }
}

} // namespace

std::string_view nameOf(RequestState State) {
  return StateNames.at(static_cast<std::size_t>(State));
}

void issue(RequestBook &Book, std::uint64_t Number, TeamId Owner) {
  Book.Records[Number].Owner = Owner;
  Book.Forgettable.push_back(Number);
  forgetOldest(Book);
}

void begin(RequestBook &Book, std::uint64_t Number, TeamId Owner,
           std::uint64_t Fingerprint) {
  RequestRecord &Record = Book.Records[Number];
  Record.State = RequestState::Waiting;
  Record.Owner = Owner;
  Record.Fingerprint = Fingerprint;
}

TakeStep take(RequestBook &Book, std::uint64_t Number, TeamId Owner,
              std::uint64_t Fingerprint) {
  RequestRecord *Record = find(Book, Number);
  if (!Record)
    return TakeStep::Unresolved;
  if (Record->Owner != Owner)
    return TakeStep::NotOwner;
  if (Record->State == RequestState::Cancelled)
    return TakeStep::Cancelled;
  bool IsFirst = Record->State == RequestState::Issued;
  if (!IsFirst && Record->Fingerprint != Fingerprint)
    return TakeStep::OtherWork;
  switch (Record->State) {
  case RequestState::Issued:
  case RequestState::NotRun:
    begin(Book, Number, Owner, Fingerprint);
    return TakeStep::Execute;
  case RequestState::Waiting:
  case RequestState::Running:
    return TakeStep::InProgress;
  case RequestState::Ended:
    return TakeStep::Repeat;
  case RequestState::Cancelled:
    return TakeStep::Cancelled;
  case RequestState::Unknown:
    return TakeStep::Unresolved;
  }
  return TakeStep::Unresolved;
}

void setState(RequestBook &Book, std::uint64_t Number, RequestState State,
              RequestOutcome Outcome) {
  RequestRecord *Record = find(Book, Number);
  if (!Record)
    return;
  if (Outcome.Body.size() > Book.Options.MostBodyBytes) {
    Outcome.Body.clear();
    Outcome.BodyDropped = true;
  }
  Book.Bytes += Outcome.Body.size();
  Book.Bytes -= Record->Outcome.Body.size();
  Record->Outcome = std::move(Outcome);
  Record->State = State;
  if (!isFinal(State))
    return;
  Book.Forgettable.push_back(Number);
  forgetOldest(Book);
}

RequestRecord *find(RequestBook &Book, std::uint64_t Number) {
  auto It = Book.Records.find(Number);
  return It == Book.Records.end() ? nullptr : &It->second;
}

} // namespace comfreydeck::core
