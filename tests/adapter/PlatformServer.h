#ifndef COMFREYDECK_TESTS_ADAPTER_PLATFORMSERVER_H
#define COMFREYDECK_TESTS_ADAPTER_PLATFORMSERVER_H

#include "net/HttpServer.h"
#include "net/Loop.h"

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

/// A stand-in for the users' platform: its store and its workers, spoken to
/// over HTTP as the platform's pages say.
namespace comfreydeck::tests {

/// Tables of rows with one rising version, and the feed of their changes.
class RowsServer {
public:
  explicit RowsServer(net::Loop &Timers);

  void start() { Server_.start(); }
  void stop() { Server_.stop(); }
  std::string address() const;

  /// Every call is refused with that status until it is zero again.
  void refuseAll(int Status) { Refusal_ = Status; }
  /// The next transactions are carried out and not answered.
  void loseAnswers(int Count) { Lost_ = Count; }
  /// Forgets the changes so far.
  void dropHistory();

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  /// Table, part and key.
  using Place = std::array<std::string, 3>;

  void handle(const net::HttpRequest &Request, net::HttpResponder Respond);
  net::HttpResponse commit(const nlohmann::json &Body);
  net::HttpResponse read(const std::map<std::string, std::string> &Query);
  void follow(const std::map<std::string, std::string> &Query, int LeftMs,
              const net::HttpResponder &Respond);
  nlohmann::json rowJson(const Place &Where, const Row &Kept) const;

  net::Loop &Timers_;
  std::mutex Mutex_;
  std::map<Place, Row> Rows_;
  std::uint64_t Version_ = 0;
  std::uint64_t HistoryFrom_ = 0;
  std::atomic<int> Refusal_ = 0;
  std::atomic<int> Lost_ = 0;
  net::HttpServer Server_;
};

/// One worker: tasks run for a set time under leases.
class RunsServer {
public:
  RunsServer(net::Loop &Timers, std::string Id, int TaskMs);

  void start() { Server_.start(); }
  void stop() { Server_.stop(); }
  /// The worker's entry in the list of workers, as a JSON text.
  std::string entry(const std::string &Pool) const;
  const std::string &id() const { return Id_; }
  /// Starts carried out, by task.
  std::map<std::string, int> starts();
  /// Tasks that ran twice at the same time on this worker.
  int doubles();
  /// Whether the task is at work here now.
  bool runs(const std::string &Task);
  /// The highest fencing token that was seen.
  std::uint64_t fence();

private:
  struct Run {
    std::uint64_t Id = 0;
    core::TimePoint EndsAt;
  };

  void handle(const net::HttpRequest &Request,
              const net::HttpResponder &Respond);
  nlohmann::json start(const nlohmann::json &Body);
  nlohmann::json stopRun(const nlohmann::json &Body);
  void hold(const nlohmann::json &Body, int LeftMs,
            const net::HttpResponder &Respond);
  void advance();
  bool raiseFence(const nlohmann::json &Body);
  void end(const std::string &Task, std::uint64_t RunId, const char *How);

  net::Loop &Timers_;
  std::string Id_;
  int TaskMs_;
  std::mutex Mutex_;
  std::uint64_t Fence_ = 0;
  std::int64_t LeaseEndMs_ = 0;
  std::map<std::string, Run> Running_;
  std::map<std::string, int> Starts_;
  int Doubles_ = 0;
  std::uint64_t LastEnd_ = 0;
  nlohmann::json Ended_ = nlohmann::json::array();
  net::HttpServer Server_;
};

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_ADAPTER_PLATFORMSERVER_H
