#include "dispatch/JobTableReader.h"

#include "dispatch/Context.h"
#include "dispatch/EventLog.h"
#include "dispatch/TableFollower.h"

#include <utility>

namespace comfreydeck::dispatch {

namespace {

/// Collects the pools that are taken together.
constexpr std::chrono::milliseconds CollectTime(20);

/// The failure of one pool must cost no other one its answer.
void pass(const JobTableReader::Callback &Done,
          const std::shared_ptr<const store::PartAnswer> &Answer) {
  try {
    Done(Answer);
  } catch (const std::exception &E) {
    logEvent("job_table_not_applied", {{"error", E.what()}});
  }
}

} // namespace

JobTableReader::JobTableReader(net::Loop &Loop, store::PartitionedStore &Store)
    : Loop_(Loop), Store_(Store) {}

void JobTableReader::read(Callback Done) {
  Waiting_.push_back(std::move(Done));
  if (Reading_)
    return;
  Reading_ = true;
  Loop_.after(CollectTime, [this] { start(); });
}

void JobTableReader::start() {
  auto Served =
      std::make_shared<std::vector<Callback>>(std::exchange(Waiting_, {}));
  readPartsPatiently(Loop_, Store_, rows::Jobs, rows::jobParts(),
                     [this, Served](store::PartAnswer Answer) {
                       auto Shared = std::make_shared<const store::PartAnswer>(
                           std::move(Answer));
                       Loop_.post([this, Served, Shared] {
                         for (const Callback &Done : *Served)
                           pass(Done, Shared);
                         Reading_ = !Waiting_.empty();
                         if (Reading_)
                           start();
                       });
                     });
}

} // namespace comfreydeck::dispatch
