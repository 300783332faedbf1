#include "dispatch/JobApi.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;
using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Time kept in reserve before the revocation bound of a key: for the transfer
/// of the answer and the start of the work.
constexpr milliseconds RevocationMargin(700);

} // namespace

JobApi::JobApi(Context &Ctx, FleetView &View, Peers &PeerCalls)
    : Ctx_(Ctx), View_(View), Peers_(PeerCalls), Answers_(Ctx, View),
      Submission_(Ctx, View, PeerCalls, Answers_) {}

void JobApi::receive(const net::HttpRequest &Request,
                     net::HttpResponder Respond) {
  auto C = std::make_shared<JobCall>();
  C->ReceivedAt = bootNow();
  C->Respond = std::move(Respond);
  try {
    C->Asked = Ctx_.Codec.Decode(Request);
  } catch (const std::exception &) {
    Ctx_.Loop.post(
        [this, C] { Answers_.refuse(*C, status::Bad, "malformed-request"); });
    return;
  }
  if (C->Asked.Kind == CallKind::Submit) {
    try {
      Ctx_.Codec.Job(C->Asked.Body, C->Spec);
    } catch (const std::exception &E) {
      C->JobFault = E.what();
    }
  }
  Ctx_.Loop.post([this, C] {
    try {
      handle(C);
    } catch (const std::exception &E) {
      // Whether the call has had an effect is not known here.
      logEvent("call_failed", {{"job", C->JobId}, {"error", E.what()}});
      Answers_.refuse(*C, status::Unknown, "internal-error");
    }
  });
}

bool JobApi::isCurrent() const {
  return View_.config() && bootNow() - View_.configCurrentAt() <
                               Ctx_.Settings.Revocation - RevocationMargin;
}

/// Checks the route, the key and the age of the configuration.
bool JobApi::admit(const JobCallPtr &C) {
  C->Config = View_.config();
  if (!C->Config) {
    Answers_.refuse(*C, status::Unavailable, "no-configuration");
    return false;
  }
  C->Queue = jobs::findQueue(*C->Config, C->Asked.Host, C->Asked.Path);
  if (!C->Queue) {
    Answers_.refuse(*C, status::NotFound, "unknown-queue");
    return false;
  }
  C->JobId = C->Asked.Path.substr(C->Queue->PathPrefix.size());
  if (C->Queue->OpenToAll)
    return true;
  if (!isCurrent()) {
    Answers_.refuse(*C, status::Unavailable, "not-current");
    return false;
  }
  auto Key = C->Config->Keys.find(C->Asked.Key);
  if (Key == C->Config->Keys.end()) {
    Answers_.refuse(*C, status::Unauthorized, "unknown-key");
    return false;
  }
  C->Team = Key->second;
  return true;
}

void JobApi::handle(const JobCallPtr &C) {
  if (!admit(C))
    return;
  bool NamesQueue = C->JobId.empty();
  switch (C->Asked.Kind) {
  case CallKind::Submit:
    Submission_.submit(C);
    return;
  case CallKind::Cancel:
    if (NamesQueue)
      Answers_.refuse(*C, status::Bad, "malformed-request");
    else
      cancel(C);
    return;
  case CallKind::ReadState:
  case CallKind::CountPending:
    if (NamesQueue)
      countPending(C);
    else
      readState(C);
    return;
  }
}

// Job states.

void JobApi::readState(const JobCallPtr &C) {
  Peers_.askState(C->Queue->Pool, C->JobId, [this, C](OwnerAnswer Answer) {
    if (Answer.Known)
      Answers_.answer(*C, status::Ok, Ctx_.Codec.State(Answer.State));
    else
      readStored(C);
  });
}

/// Falls back to the store: the owner doesn't know the job or can't be reached.
void JobApi::readStored(const JobCallPtr &C) {
  findPool(C, [this, C](const std::string &Pool) { readProgress(C, Pool); });
}

/// Reads the job's row and passes its pool to \p Found; refuses the call if
/// there is no row. What else the row says need not be known to this version of
/// the program.
void JobApi::findPool(const JobCallPtr &C,
                      std::function<void(const std::string &)> Found) {
  store::PartRange Range = {rows::Jobs, rows::jobPart(C->JobId), C->JobId,
                            C->JobId + "~"};
  Ctx_.Store.read(Range, [this, C, Found = std::move(Found)](PartAnswer A) {
    Ctx_.Loop.post([this, C, Found, Answer = std::move(A)] {
      if (Answer.Outcome != PartOutcome::Ok) {
        Answers_.refuse(*C, status::Unavailable, "store-unavailable");
        return;
      }
      for (const store::PartRow &Row : Answer.Rows) {
        if (Row.Where.Key != C->JobId)
          continue;
        try {
          std::string Named(codec::poolOf(Row.Value));
          Found(Named.empty() ? codec::decodeJob(Row.Value).Pool : Named);
        } catch (const std::exception &E) {
          logEvent("job_row_unreadable",
                   {{"job", C->JobId}, {"error", E.what()}});
          Answers_.refuse(*C, status::Unavailable, "job-row-unreadable");
        }
        return;
      }
      Answers_.refuse(*C, status::Gone, "unknown-job");
    });
  });
}

void JobApi::readProgress(const JobCallPtr &C, const std::string &Pool) {
  store::PartRange Range = {rows::Progress, rows::poolPart(Pool), C->JobId,
                            C->JobId + "~"};
  Ctx_.Store.read(Range, [this, C](PartAnswer Answer) {
    Ctx_.Loop.post([this, C, Answer = std::move(Answer)] {
      if (Answer.Outcome != PartOutcome::Ok) {
        Answers_.refuse(*C, status::Unavailable, "store-unavailable");
        return;
      }
      jobs::JobState State = jobs::JobState::Queued;
      try {
        for (const store::PartRow &Row : Answer.Rows)
          if (Row.Where.Key == C->JobId)
            State = codec::decodeProgressState(Row.Value);
      } catch (const std::exception &E) {
        logEvent("progress_row_unreadable",
                 {{"job", C->JobId}, {"error", E.what()}});
        Answers_.refuse(*C, status::Unavailable, "progress-row-unreadable");
        return;
      }
      Answers_.answer(*C, status::Ok, Ctx_.Codec.State(State));
    });
  });
}

/// Counts the queue's jobs at the owners of all pools that may have some: those
/// accepted before its route was moved wait in another one. A part of the sum
/// is no answer.
void JobApi::countPending(const JobCallPtr &C) {
  struct Count {
    std::size_t Missing = 0;
    std::uint32_t Pending = 0;
  };
  std::vector<std::string> Pools = View_.poolsWithJobsOf(*C->Queue);
  auto Sum = std::make_shared<Count>();
  Sum->Missing = Pools.size();
  for (const std::string &Pool : Pools)
    Peers_.askPending(
        Pool, C->Queue->Name, [this, C, Sum](const OwnerAnswer &Answer) {
          if (Sum->Missing == 0)
            return;
          if (!Answer.Answered) {
            Sum->Missing = 0;
            Answers_.refuse(*C, status::Unavailable, "no-owner");
            return;
          }
          Sum->Pending += Answer.Pending;
          if (--Sum->Missing == 0)
            Answers_.answer(*C, status::Ok, Ctx_.Codec.Pending(Sum->Pending));
        });
}

// Cancelling.

void JobApi::cancel(const JobCallPtr &C) {
  findPool(C, [this, C](const std::string &Pool) {
    C->Spec.Id = C->JobId;
    C->Spec.Pool = Pool;
    storeCancel(C);
  });
}

void JobApi::storeCancel(const JobCallPtr &C) {
  store::PartTransaction T;
  const jobs::JobSpec &Spec = C->Spec;
  T.Puts.push_back(
      {{rows::Jobs, rows::jobPart(Spec.Id), Spec.Id + rows::CancelSuffix}, ""});
  Ctx_.Store.commit(std::move(T), storeTimeout(*C, CallStoreTimeout),
                    [this, C](PartAnswer A) {
                      Ctx_.Loop.post([this, C, Outcome = A.Outcome] {
                        onCancelStored(C, Outcome);
                      });
                    });
}

void JobApi::onCancelStored(const JobCallPtr &C, PartOutcome Outcome) {
  if (Outcome == PartOutcome::Ok) {
    logEvent("job_cancelled", {{"job", C->JobId}, {"pool", C->Spec.Pool}});
    Peers_.pushCancel(C->Spec.Pool, C->JobId);
    Answers_.answer(*C, status::Ok, "{}");
    return;
  }
  C->CancelUnsure = C->CancelUnsure || Outcome == PartOutcome::Unknown;
  if (!C->CancelUnsure) {
    Answers_.refuse(*C, status::Unavailable, "store-unavailable");
    return;
  }
  // Writing the same row again is harmless, whether or not the unanswered
  // attempt applied.
  if (!isTimeLeft(*C)) {
    Answers_.refuse(*C, status::Unknown, "outcome-unknown");
    return;
  }
  Ctx_.Count.recordRetry("store-cancel");
  Ctx_.Loop.after(CallStoreRetry, [this, C] { storeCancel(C); });
}

} // namespace comfreydeck::dispatch
