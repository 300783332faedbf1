#ifndef COMFREYDECK_TESTS_STANDINS_WORKERSTANDIN_H
#define COMFREYDECK_TESTS_STANDINS_WORKERSTANDIN_H

#include "net/HttpServer.h"
#include "net/Loop.h"

#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace comfreydeck::standins {

/// Faults injected into a worker.
struct WorkerFaults {
  /// Time added to each task's run time.
  core::Duration Delay{0};
  /// Every task ends at once with status 500.
  bool FailAll = false;
  /// Answers carry the id of another task.
  bool WrongTask = false;
  /// Tasks run, but their answers are never sent.
  bool LoseAnswers = false;
  /// The answers of two tasks that end one after the other are swapped.
  bool CrossAnswers = false;
  /// All starts are refused.
  bool RefuseAll = false;
};

/// How long a worker that reboots answers 503.
constexpr core::Duration RebootSilence = std::chrono::milliseconds(1500);

struct WorkerStandinOptions {
  std::string Name = "w1";
  std::uint32_t Slots = 8;
  /// Run time of a task without a Task-Run-Ms header.
  core::Duration DefaultRun = std::chrono::milliseconds(20);
  net::HttpServerOptions Http;
};

/// Logs starts and ends of tasks and reboots, one JSON object per line.
/// Thread-safe.
class EventLog {
public:
  /// If \p File is empty, nothing is logged. Throws std::runtime_error if the
  /// file can't be opened.
  explicit EventLog(const std::string &File);
  void write(const std::string &Line);

private:
  std::mutex Mutex_;
  std::unique_ptr<std::FILE, int (*)(std::FILE *)> File_;
};

/// Fake worker that keeps each task running for its run time and then answers
/// with the request's body. A task with a lease is stopped when the lease
/// expires.
///
/// `PUT /control/faults` sets the faults. `POST /v1/reboot` makes the worker
/// answer 503 for \ref RebootSilence, if `Boot-Id` is the current boot id.
/// It logs the number of running tasks as cut, but they still run to their end.
class WorkerStandin {
public:
  /// \p Timers and \p Log must outlive the worker.
  WorkerStandin(WorkerStandinOptions Options, net::Loop &Timers, EventLog &Log);

  void start();
  void stop();
  std::uint16_t port() const;

  /// Thread-safe.
  void setFaults(WorkerFaults Faults);
  std::uint64_t startCount() const;
  std::uint64_t duplicateCount() const;

private:
  void handle(net::HttpRequest Request, net::HttpResponder Respond);
  void startTask(net::HttpRequest Request, net::HttpResponder Respond);
  /// A task that occupies a slot.
  struct RunningTask {
    std::string Team;
    net::HttpRequest Request;
    net::HttpResponder Respond;
    std::uint64_t LeaseUntilMs = UINT64_MAX;
    std::uint32_t Lease = 0;
  };

  /// Ends a task that finished or, if \p Stopped, was stopped. Returns false if
  /// it is not running.
  bool endTask(const std::string &Id, bool Stopped);
  void sendAnswer(net::HttpResponder Respond, net::HttpResponse Response,
                  const WorkerFaults &Faults);
  void controlTask(const net::HttpRequest &Request,
                   const net::HttpResponder &Respond);
  void watchLease(const std::string &Id, std::uint64_t LeaseMs);
  const char *refusalOf(const net::HttpRequest &Request,
                        const std::string &Id) const;
  net::HttpResponse status() const;
  net::HttpResponse reboot(const net::HttpRequest &Request);
  bool isSilent() const;
  std::string bootId() const;
  std::string eventLine(const char *Event, const net::HttpRequest &Request,
                        const std::string &Id) const;

  WorkerStandinOptions Options_;
  net::Loop &Timers_;
  EventLog &Log_;
  mutable std::mutex Mutex_;
  WorkerFaults Faults_;
  std::map<std::string, RunningTask> Running_;
  /// An answer held back, to be swapped with the next one.
  std::optional<std::pair<net::HttpResponder, net::HttpResponse>> HeldAnswer_;
  std::set<std::string> Seen_;
  std::uint64_t Starts_ = 0;
  std::uint64_t Duplicates_ = 0;
  std::uint32_t Boots_ = 1;
  core::TimePoint SilentUntil_;
  net::HttpServer Server_;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_WORKERSTANDIN_H
