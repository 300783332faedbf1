#include "dispatch/OrderedEnds.h"

#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

void OrderedEnds::expect(const std::string &Machine, core::TimePoint Now) {
  const dispatch::Machine *Listed = Cache_.find(Machine);
  if (Listed && !Listed->Worker.empty())
    ByMachine_[Machine] = {Listed->Worker, Listed->Pool, Now};
}

void OrderedEnds::report() {
  std::map<std::string, CloseRequest> ByPool;
  std::erase_if(ByMachine_, [&](const auto &Item) {
    const auto &[Machine, End] = Item;
    const dispatch::Machine *Listed = Cache_.find(Machine);
    // A list that lacks the machine may have missed it between two pages.
    if (!Listed || *Cache_.listedAt() <= End.OrderedAt ||
        !hasWorkerEnded(End.Worker, {Listed, 1}))
      return false;
    logEvent("worker_taken_down", {{"machine", Machine},
                                   {"worker", End.Worker},
                                   {"pool", End.Pool},
                                   {"state", nameOf(Listed->State)}});
    ByPool[End.Pool].Ended.push_back(End.Worker);
    return true;
  });
  for (const auto &[Pool, Request] : ByPool)
    Peers_.askClose(Pool, Request, [](const CloseAnswer &) {});
}

} // namespace comfreydeck::dispatch
