#ifndef COMFREYDECK_ENTRY_TASKSERVICE_H
#define COMFREYDECK_ENTRY_TASKSERVICE_H

#include "entry/PoolService.h"
#include "entry/TaskRequest.h"
#include "net/HttpServer.h"

#include <atomic>

namespace comfreydeck::entry {

/// The callers' interface: takes a request all the way to its answer.
class TaskService {
public:
  /// The parts must outlive the service.
  TaskService(const Context &C, Membership &Members, ConfigStore &Config,
              PoolService &Pools);

  /// Handles `/v1/queues/...`. Thread-safe.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);

  /// Requests that wait for their answers. Thread-safe.
  std::size_t inFlight() const { return InFlight_; }

private:
  struct Task;
  using TaskPtr = std::shared_ptr<Task>;

  TaskPtr admit(net::HttpRequest Request, net::HttpResponder Respond);
  core::TeamId authorize(const core::Configuration &C, const core::Queue &Q,
                         const std::string &Secret) const;
  void claim(const TaskPtr &T);
  void onClaim(const TaskPtr &T, platform::CommitOutcome Outcome);
  void acquire(const TaskPtr &T);
  void onAcquired(const TaskPtr &T, const AcquireResult &Result);
  void onExchange(const TaskPtr &T, net::HttpResult Result);
  void refuse(const TaskPtr &T, int Status, core::Reason Why, core::Verdict V);
  void answer(const TaskPtr &T, net::HttpResponse Response, core::Verdict V);

  Context Context_;
  Membership &Members_;
  ConfigStore &Config_;
  PoolService &Pools_;
  std::atomic<std::size_t> InFlight_ = 0;
  std::atomic<std::uint64_t> NextNumber_ = 1;
};

/// A refusal as every interface gives it. Thread-safe.
net::HttpResponse refusalResponse(int Status, core::Reason Why, core::Verdict V,
                                  std::string_view Message);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_TASKSERVICE_H
