#include "dispatch/OrderedEnds.h"

#include "dispatch/EventLog.h"

namespace comfreydeck::dispatch {

void OrderedEnds::expect(const std::string &Machine, core::TimePoint Now) {
  const dispatch::Machine *Listed = Cache_.find(Machine);
  const jobs::WorkerEntry *Entry =
      Listed ? View_.worker(Listed->Worker) : nullptr;
  if (Entry)
    ByMachine_[Machine] = {{Entry->Id, Entry->Born}, Listed->Pool, Now};
}

void OrderedEnds::report() {
  std::map<std::string, CloseRequest> ByPool;
  std::erase_if(ByMachine_, [&](const auto &Item) {
    const auto &[Machine, End] = Item;
    const dispatch::Machine *Listed = Cache_.find(Machine);
    // A list that lacks the machine may have missed it between two pages.
    if (!Listed || *Cache_.listedAt() <= End.OrderedAt ||
        !hasWorkerEnded(End.Which.Worker, {Listed, 1}))
      return false;
    logEvent("worker_taken_down", {{"machine", Machine},
                                   {"worker", End.Which.Worker},
                                   {"born", End.Which.Born},
                                   {"pool", End.Pool},
                                   {"state", nameOf(Listed->State)}});
    ByPool[End.Pool].Ended.push_back(End.Which);
    return true;
  });
  for (const auto &[Pool, Request] : ByPool)
    Peers_.askClose(Pool, Request, [](const CloseAnswer &) {});
}

} // namespace comfreydeck::dispatch
