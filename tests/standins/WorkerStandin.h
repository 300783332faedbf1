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

/// What a worker does wrong at present.
struct WorkerFaults {
  /// Each answer comes this much later.
  core::Duration Delay{0};
  /// Every task ends at once with status 500.
  bool FailAll = false;
  /// Answers name another task.
  bool WrongTask = false;
  /// Tasks run, and their answers are never sent.
  bool LoseAnswers = false;
  /// Of two tasks that end after one another, each gets the other's answer.
  bool CrossAnswers = false;
  /// No task is started.
  bool RefuseAll = false;
};

/// How long a worker is silent while it reboots.
constexpr core::Duration RebootSilence = std::chrono::milliseconds(1500);

struct WorkerStandinOptions {
  std::string Name = "w1";
  std::uint32_t Slots = 8;
  /// Run time of a task that declares none.
  core::Duration DefaultRun = std::chrono::milliseconds(20);
  net::HttpServerOptions Http;
};

/// Takes down what started and ended, one JSON object a line. Thread-safe.
class EventLog {
public:
  /// An empty \p File keeps nothing. Throws std::runtime_error where the file
  /// can't be opened.
  explicit EventLog(const std::string &File);
  void write(const std::string &Line);

private:
  std::mutex Mutex_;
  std::unique_ptr<std::FILE, int (*)(std::FILE *)> File_;
};

/// A worker that holds each task for its run time and answers its body. A task
/// with a lease is stopped when the lease lapses.
///
/// `PUT /control/faults` sets the faults. `POST /v1/reboot` cuts what runs and
/// makes it silent for a while, if `Boot-Id` names the present boot.
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
  /// A task in its slot.
  struct RunningTask {
    std::string Team;
    net::HttpRequest Request;
    net::HttpResponder Respond;
    std::uint64_t LeaseUntilMs = UINT64_MAX;
    std::uint32_t Lease = 0;
  };

  /// Ends a task, by itself or stopped; false where it does not run.
  bool endTask(const std::string &Id, bool Stopped);
  void sendAnswer(net::HttpResponder Respond, net::HttpResponse Response,
                  const WorkerFaults &Faults);
  void steer(const net::HttpRequest &Request,
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
  /// Kept back until another answer crosses it.
  std::optional<std::pair<net::HttpResponder, net::HttpResponse>> Crossing_;
  std::set<std::string> Seen_;
  std::uint64_t Starts_ = 0;
  std::uint64_t Duplicates_ = 0;
  std::uint32_t Boots_ = 1;
  core::TimePoint SilentUntil_;
  net::HttpServer Server_;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_WORKERSTANDIN_H
