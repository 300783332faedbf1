#include "entry/ClaimStore.h"

#include "codec/ConfigJson.h"

#include <glog/logging.h>

namespace comfreydeck::entry {

namespace {

constexpr const char *ClaimTable = "claims";
constexpr core::Duration ReadRetryDelay = std::chrono::milliseconds(100);

core::ClaimWrite claimWriteOf(store::CommitOutcome Outcome) {
  switch (Outcome) {
  case store::CommitOutcome::Committed:
    return core::ClaimWrite::Committed;
  case store::CommitOutcome::Conflict:
    return core::ClaimWrite::Conflict;
  case store::CommitOutcome::NotApplied:
    return core::ClaimWrite::NotApplied;
  case store::CommitOutcome::Unknown:
    return core::ClaimWrite::Lost;
  }
  return core::ClaimWrite::Lost;
}

/// Parses a row. A malformed row counts as unresolved, so that nothing runs
/// under its key.
codec::ClaimRow parseOrUnresolved(const std::string &Value) {
  try {
    return codec::parseClaimRow(Value);
  } catch (const codec::CodecError &E) {
    LOG(ERROR) << "claims: malformed row: " << E.what();
    codec::ClaimRow Row;
    Row.Record.State = core::ClaimState::Unresolved;
    return Row;
  }
}

} // namespace

struct ClaimStore::Attempt {
  std::string RowKey;
  core::ClaimAttempt Core;
  std::uint64_t Version = 0;
  codec::ClaimRow Found;
  std::function<void(ClaimResult)> Done;
};

ClaimStore::ClaimStore(const Context &C, const Membership &Members,
                       WriteBatcher &Writes)
    : Context_(C), Members_(Members), Writes_(Writes) {}

std::string ClaimStore::rowKeyOf(const core::RequestId &Id) {
  return "id/" + core::nameOf(Id);
}

void ClaimStore::claim(const ClaimRequest &Request,
                       std::function<void(ClaimResult)> Done) {
  auto A = std::make_shared<Attempt>();
  A->RowKey = std::to_string(Request.Team.Value) + "/" +
              std::to_string(Request.Queue.Value) + "/" + Request.Key;
  A->Core.Mine = Request.Request;
  A->Core.Fingerprint = Request.Fingerprint;
  A->Done = std::move(Done);
  writeClaim(A);
}

void ClaimStore::writeClaim(const AttemptPtr &A) {
  codec::ClaimRow Row;
  Row.Record = {A->Core.Mine, core::ClaimState::Claimed, A->Core.Fingerprint};
  Writes_.submit({{ClaimTable, A->RowKey},
                  A->Core.Expected,
                  codec::toJson(Row),
                  [this, A](RowWriteResult Result) {
                    A->Version = Result.Version;
                    performStep(A, core::afterWrite(
                                       A->Core, claimWriteOf(Result.Outcome)));
                  }});
}

void ClaimStore::readBack(const AttemptPtr &A) {
  auto OnRead = [this, A](const store::ReadResult &Result) {
    core::ClaimReading Reading;
    Reading.Known = Result.Outcome == store::ReadOutcome::Ok;
    A->Found = {};
    if (Result.Found) {
      A->Found = parseOrUnresolved(Result.Found->Value);
      A->Version = Result.Found->Version;
      Reading.Version = Result.Found->Version;
      Reading.Record = A->Found.Record;
      Reading.HolderIsMember =
          Members_.find(A->Found.Record.Request.From) != nullptr;
    }
    performStep(A, core::afterRead(A->Core, Reading));
  };
  Context_.Tables.read(
      {ClaimTable, A->RowKey}, [this, OnRead](const store::ReadResult &Result) {
        Context_.Control.post([OnRead, Result] { OnRead(Result); });
      });
}

void ClaimStore::performStep(const AttemptPtr &A, core::ClaimStep Step) {
  if (Step == core::ClaimStep::Write)
    return writeClaim(A);
  if (Step == core::ClaimStep::Read) {
    core::Duration Wait =
        A->Core.Tries > 1 ? ReadRetryDelay : core::Duration(0);
    return Context_.Control.after(Wait, [this, A] { readBack(A); });
  }
  if (Step == core::ClaimStep::StoreDown && A->Core.MayBeApplied)
    abandon(A);
  ClaimResult Result;
  Result.Step = Step;
  Result.Found = A->Found;
  Result.Held.RowKey = A->RowKey;
  if (Step == core::ClaimStep::Execute) {
    Result.Held.Version = A->Version;
    Result.Held.Record = {A->Core.Mine, core::ClaimState::Claimed,
                          A->Core.Fingerprint};
  }
  A->Done(std::move(Result));
}

/// A claim whose write had an unknown outcome may have been applied, or may
/// still be. Marks its row as not run, so that a repeat of the request does not
/// wait for it forever.
void ClaimStore::abandon(const AttemptPtr &A) {
  HeldClaim Mine{
      A->RowKey,
      A->Core.Expected,
      {A->Core.Mine, core::ClaimState::Claimed, A->Core.Fingerprint}};
  end(Mine, core::ClaimState::NotRun, {}, [this, A] { markAbandoned(A); });
}

void ClaimStore::markAbandoned(const AttemptPtr &A) {
  read(A->RowKey, [this, A](const ClaimResult &Found) {
    if (Found.Step == core::ClaimStep::StoreDown)
      return Context_.Control.after(ReadRetryDelay,
                                    [this, A] { markAbandoned(A); });
    bool IsMine = Found.Held.Record.Request == A->Core.Mine &&
                  Found.Held.Record.State == core::ClaimState::Claimed;
    if (IsMine)
      end(Found.Held, core::ClaimState::NotRun, {}, {});
  });
}

void ClaimStore::end(const HeldClaim &Held, core::ClaimState State,
                     core::RequestOutcome Outcome, std::function<void()> Done) {
  codec::ClaimRow Row;
  Row.Record = Held.Record;
  Row.Record.State = State;
  Row.Outcome = std::move(Outcome);
  if (codec::fitsInRow(Row.Outcome.Body))
    return writeEnd(Held, std::move(Row), std::move(Done));
  std::string Name = "outcomes/" + core::nameOf(Held.Record.Request);
  std::string Body = std::move(Row.Outcome.Body);
  Row.Outcome.Body.clear();
  Context_.Objects.put(
      Name, std::move(Body),
      [this, Held, Row, Name, Done = std::move(Done)](bool Ok) mutable {
        Row.BodyObject = Ok ? Name : "";
        Row.Outcome.BodyDropped = !Ok;
        Context_.Control.post([this, Held, Row, Done = std::move(Done)] {
          writeEnd(Held, Row, Done);
        });
      });
}

void ClaimStore::writeEnd(const HeldClaim &Held, codec::ClaimRow Row,
                          std::function<void()> Done) {
  Writes_.submitUntilDone({{ClaimTable, Held.RowKey},
                           Held.Version,
                           codec::toJson(Row),
                           [Done = std::move(Done)](RowWriteResult) {
                             if (Done)
                               Done();
                           }});
}

void ClaimStore::read(const std::string &RowKey,
                      std::function<void(ClaimResult)> Done) {
  Context_.Tables.read(
      {ClaimTable, RowKey},
      [this, RowKey, Done = std::move(Done)](const store::ReadResult &Read) {
        ClaimResult Result;
        bool Ok = Read.Outcome == store::ReadOutcome::Ok;
        Result.Step =
            Ok ? core::ClaimStep::Unresolved : core::ClaimStep::StoreDown;
        if (Read.Found) {
          Result.Found = parseOrUnresolved(Read.Found->Value);
          Result.Held = {RowKey, Read.Found->Version, Result.Found.Record};
          if (Result.Found.Record.State == core::ClaimState::Ended)
            Result.Step = core::ClaimStep::Repeat;
        }
        Context_.Control.post([Done, Result] { Done(Result); });
      });
}

void ClaimStore::fetchBody(
    const codec::ClaimRow &Row,
    std::function<void(std::optional<std::string>)> Done) {
  if (Row.BodyObject.empty())
    return Done(Row.Outcome.BodyDropped
                    ? std::nullopt
                    : std::optional<std::string>(Row.Outcome.Body));
  Context_.Objects.get(Row.BodyObject, [this, Done = std::move(Done)](
                                           const store::ObjectResult &Result) {
    Context_.Control.post([Done, Content = Result.Content] { Done(Content); });
  });
}

} // namespace comfreydeck::entry
