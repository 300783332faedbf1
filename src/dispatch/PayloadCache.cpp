#include "dispatch/PayloadCache.h"

#include "dispatch/Context.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::dispatch {

namespace {

/// Leaves time to send the order with its payload from elsewhere.
constexpr std::chrono::milliseconds ReadLimit(150);
constexpr std::size_t MaxKeptBytes = 4U << 20U;

const std::string *findPayload(const store::PartAnswer &Answer,
                               const std::string &JobId) {
  auto Row = std::find_if(
      Answer.Rows.begin(), Answer.Rows.end(),
      [&](const store::PartRow &R) { return R.Where.Key == JobId; });
  bool Found =
      Answer.Outcome == store::PartOutcome::Ok && Row != Answer.Rows.end();
  return Found ? &Row->Value : nullptr;
}

} // namespace

PayloadCache::PayloadCache(net::Loop &Loop, store::PartitionedStore &Store)
    : Loop_(Loop), Store_(Store) {}

void PayloadCache::get(const std::string &JobId, Callback Done) {
  auto Known = Kept_.find(JobId);
  if (Known != Kept_.end()) {
    LastUsed_.splice(LastUsed_.begin(), LastUsed_, Known->second.Use);
    Done(&Known->second.Payload);
    return;
  }
  Read &Pending = Reads_[JobId];
  Pending.Waiting.push_back(std::move(Done));
  if (Pending.Number == 0) {
    Pending.Number = ++ReadCount_;
    read(JobId);
  }
}

void PayloadCache::read(const std::string &JobId) {
  std::uint64_t Number = ReadCount_;
  store::PartRange Range = {rows::Payloads, rows::jobPart(JobId), JobId,
                            JobId + "~"};
  Store_.read(Range, [this, JobId, Number](store::PartAnswer Answer) {
    Loop_.post([this, JobId, Number, Answer = std::move(Answer)] {
      finish(JobId, Number, &Answer);
    });
  });
  Loop_.after(ReadLimit,
              [this, JobId, Number] { finish(JobId, Number, nullptr); });
}

/// \p Answer is null if the time limit has passed.
void PayloadCache::finish(const std::string &JobId, std::uint64_t Number,
                          const store::PartAnswer *Answer) {
  const std::string *Payload = Answer ? findPayload(*Answer, JobId) : nullptr;
  if (Payload)
    keep(JobId, *Payload);
  auto Pending = Reads_.find(JobId);
  if (Pending == Reads_.end() || Pending->second.Number != Number)
    return;
  std::vector<Callback> Waiting = std::move(Pending->second.Waiting);
  Reads_.erase(Pending);
  for (Callback &Done : Waiting)
    Done(Payload);
}

void PayloadCache::keep(const std::string &JobId, std::string Payload) {
  if (Kept_.count(JobId) != 0)
    return;
  KeptBytes_ += Payload.size();
  LastUsed_.push_front(JobId);
  Kept_[JobId] = {std::move(Payload), LastUsed_.begin()};
  while (KeptBytes_ > MaxKeptBytes && LastUsed_.size() > 1) {
    auto Oldest = Kept_.find(LastUsed_.back());
    KeptBytes_ -= Oldest->second.Payload.size();
    Kept_.erase(Oldest);
    LastUsed_.pop_back();
  }
}

} // namespace comfreydeck::dispatch
