#ifndef COMFREYDECK_REVIEW_STANDIN_2_CASEWORKERS_H
#define COMFREYDECK_REVIEW_STANDIN_2_CASEWORKERS_H

#include "net/HttpServer.h"
#include "net/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace comfreydeck::review {

/// Workers as PROTOCOL.md describes them: leases, fencing tokens, numbered
/// ends, incarnations. The payload of a task is its run time in milliseconds.
class CaseWorkers {
public:
  struct Seen {
    std::string Task;
    std::uint64_t Run = 0;
    std::size_t Worker = 0;
    core::TimePoint At;
    std::string Checkpoint;
    std::uint64_t Token = 0;
  };

  /// \p Write receives a line for each start and end.
  CaseWorkers(net::Loop &Timers, std::size_t Count,
              std::function<void(const std::string &)> Write);

  void start();
  void stop();

  /// The worker's row as JSON text.
  std::string row(std::size_t Worker, const std::string &Pool);
  std::string id(std::size_t Worker);
  void setKind(std::size_t Worker, const std::string &Kind);
  std::string kind(std::size_t Worker);
  /// The tasks of the job's steps are gangs of so many members.
  void setGang(const std::string &Job, std::size_t Members);
  /// The job's tasks run until they are stopped.
  void setLasting(const std::string &Job);
  /// Ends all runs of the worker. It answers nothing for \p Down, and starts
  /// again under its id then.
  void crash(std::size_t Worker, core::Duration Down);
  /// Ends the worker and all its runs. Another one, with an id of its own,
  /// takes its place after \p Down.
  void replace(std::size_t Worker, core::Duration Down);
  bool isDown(std::size_t Worker);
  /// Whether a run of the task goes on at the worker.
  bool isRunning(std::size_t Worker, const std::string &Task);

  std::vector<Seen> starts();
  /// Number of ends of the job's tasks by their kind.
  int countEnds(const std::string &Job, const std::string &How);

private:
  struct Run {
    std::uint64_t Id = 0;
    core::TimePoint EndsAt;
    /// When it began to work; nothing while a gang's members are missing.
    std::optional<core::TimePoint> BeganAt;
    std::int64_t ResumedMs = 0;
    std::int64_t WorkMs = 0;
    bool IsLasting = false;
  };
  struct Worker {
    std::unique_ptr<net::HttpServer> Server;
    std::uint64_t Incarnation = 1;
    std::uint64_t Life = 1;
    std::string Kind = "a";
    bool Down = false;
    core::TimePoint BornAt;
    std::int64_t BornMs = 0;
    std::uint64_t Token = 0;
    core::TimePoint LeaseEnd;
    std::map<std::string, Run> Running;
    std::map<std::string, std::uint64_t> EndedRunOf;
    std::vector<nlohmann::json> Ended;
    std::uint64_t LastEnd = 0;
    std::uint64_t Sequence = 0;
  };

  static void reset(Worker &W);
  std::string idOf(std::size_t N) const;
  void end(std::size_t N, core::Duration Down, bool IsReplaced);
  static std::string savedOf(const Run &Active, core::TimePoint At, bool Exact);
  static int percentOf(const Run &Active);
  void beginGang(const std::string &Task, std::uint64_t RunId);
  void endGang(const std::string &Task, std::uint64_t RunId, const char *How);
  std::size_t membersOf(const std::string &Task) const;
  static std::int64_t clockOf(const Worker &W);
  void endRun(std::size_t N, const std::string &Task, const char *How);
  void advance(std::size_t N);
  static bool raise(Worker &W, const nlohmann::json &Body);
  static net::HttpResponse answer(const Worker &W, nlohmann::json Body);
  void handle(std::size_t N, const net::HttpRequest &Request,
              const net::HttpResponder &Respond);
  nlohmann::json startRun(std::size_t N, const nlohmann::json &Body);
  nlohmann::json stopRun(std::size_t N, const nlohmann::json &Body);
  void hold(std::size_t N, std::uint64_t Incarnation,
            const nlohmann::json &Body, int LeftMs,
            const net::HttpResponder &Respond);

  net::Loop &Timers_;
  std::function<void(const std::string &)> Write_;
  std::mutex Mutex_;
  std::vector<Worker> Workers_;
  std::map<std::string, std::size_t> Gangs_;
  std::set<std::string> Lasting_;
  std::vector<Seen> Starts_;
  std::map<std::pair<std::string, std::string>, int> Ends_;
};

} // namespace comfreydeck::review

#endif // COMFREYDECK_REVIEW_STANDIN_2_CASEWORKERS_H
