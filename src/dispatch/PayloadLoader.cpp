#include "dispatch/PayloadLoader.h"

namespace comfreydeck::dispatch {

using store::PartAnswer;
using store::PartOutcome;

namespace {

/// Payloads that are read at the same time.
constexpr std::size_t MaxReads = 16;

} // namespace

PayloadLoader::PayloadLoader(Context &Ctx, jobs::PoolState &State,
                             const PoolEventLog &Log, PoolHost &Host)
    : Ctx_(Ctx), State_(State), Log_(Log), Host_(Host) {}

void PayloadLoader::loadMissing() {
  for (const std::string &Id : State_.jobsWithoutPayload()) {
    if (Reading_.size() >= MaxReads)
      return;
    if (Reading_.insert(Id).second)
      read(Id);
  }
}

void PayloadLoader::read(const std::string &JobId) {
  store::PartRange Range = {rows::Payloads, rows::jobPart(JobId), JobId,
                            JobId + "~"};
  Ctx_.Store.read(Range, [this, Keep = Host_.keep(), JobId](PartAnswer Answer) {
    Ctx_.Loop.post([this, Keep, JobId, Answer = std::move(Answer)] {
      onRead(JobId, Answer);
    });
  });
}

void PayloadLoader::onRead(const std::string &JobId, const PartAnswer &Answer) {
  bool Found = Answer.Outcome == PartOutcome::Ok && !Answer.Rows.empty();
  if (Found) {
    Reading_.erase(JobId);
    State_.setPayload(JobId, Answer.Rows.front().Value);
    Host_.schedulePlan();
    return;
  }
  Ctx_.Count.recordRetry("load-payload");
  Log_.logPayloadFailure(JobId, Answer);
  Ctx_.Loop.after(StoreRetry, [this, Keep = Host_.keep(), JobId] {
    Reading_.erase(JobId);
  });
}

} // namespace comfreydeck::dispatch
