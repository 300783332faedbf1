#ifndef COMFREYDECK_TESTS_ADAPTER_FAKEPLATFORM_H
#define COMFREYDECK_TESTS_ADAPTER_FAKEPLATFORM_H

#include "net/HttpServer.h"
#include "net/Loop.h"

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

/// Fakes of the users' platform: its store and its workers, with the HTTP
/// interface that the platform's documentation describes.
namespace comfreydeck::tests {

/// Store with tables of rows, one version counter for all and a change feed.
class FakeStore {
public:
  explicit FakeStore(net::Loop &Timers);

  void start() { Server_.start(); }
  void stop() { Server_.stop(); }
  std::string address() const;

  /// Answers every call with \p Status until it is set to zero again.
  void failAll(int Status) { FailureStatus_ = Status; }
  /// Commits the next \p Count transactions without answering them.
  void dropResponses(int Count) { ResponsesToDrop_ = Count; }
  /// Commits the next \p Count transactions \p Delay later, if their conditions
  /// hold then, without answering them.
  void applyLate(int Count, core::Duration Delay);
  /// What the store's clock shows.
  static std::chrono::milliseconds clock();
  /// Drops the changes so far from the feed, which then answers 410 to a reader
  /// that is behind.
  void dropHistory();

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  /// Table, part and key.
  using RowKey = std::array<std::string, 3>;

  void handle(const net::HttpRequest &Request, net::HttpResponder Respond);
  net::HttpResponse commit(const nlohmann::json &Body);
  bool postpone(const std::string &Body);
  net::HttpResponse read(const std::map<std::string, std::string> &Query);
  void serveFeed(const std::map<std::string, std::string> &Query,
                 int RemainingMs, const net::HttpResponder &Respond);
  nlohmann::json rowJson(const RowKey &Where, const Row &Stored) const;
  /// The body of an answer about rows.
  std::string answerBody(nlohmann::json Fields) const;

  net::Loop &Timers_;
  std::mutex Mutex_;
  std::map<RowKey, Row> Rows_;
  std::uint64_t Version_ = 0;
  std::uint64_t HistoryFrom_ = 0;
  std::atomic<int> FailureStatus_ = 0;
  std::atomic<int> ResponsesToDrop_ = 0;
  int TransactionsToDelay_ = 0;
  core::Duration TransactionDelay_{0};
  /// Version of the last change of each table.
  std::map<std::string, std::uint64_t> ChangedAt_;
  net::HttpServer Server_;
};

/// Worker whose tasks run for a fixed time, or until its lease ends.
class FakeWorker {
public:
  FakeWorker(net::Loop &Timers, std::string Id, int TaskMs);

  void start() { Server_.start(); }
  void stop() { Server_.stop(); }
  /// The worker's row in the table of workers, as JSON text.
  std::string entry(const std::string &Pool) const;
  const std::string &id() const { return Id_; }
  /// Number of accepted starts of each task.
  std::map<std::string, int> starts();
  /// Number of starts of a task that another run was executing here already.
  int duplicateStarts();
  /// Whether the task is running on this worker.
  bool isRunning(const std::string &Task);
  /// The highest fencing token received so far.
  std::uint64_t fencingToken();

private:
  struct Run {
    std::uint64_t Id = 0;
    core::TimePoint EndsAt;
  };

  void handle(const net::HttpRequest &Request,
              const net::HttpResponder &Respond);
  nlohmann::json start(const nlohmann::json &Body);
  nlohmann::json stopRun(const nlohmann::json &Body);
  void hold(const nlohmann::json &Body, int RemainingMs,
            const net::HttpResponder &Respond);
  void endDueRuns();
  bool raiseFencingToken(const nlohmann::json &Body);
  void end(const std::string &Task, std::uint64_t RunId, const char *How);

  net::Loop &Timers_;
  std::string Id_;
  int TaskMs_;
  std::mutex Mutex_;
  std::uint64_t FencingToken_ = 0;
  std::int64_t LeaseEndMs_ = 0;
  std::map<std::string, Run> Running_;
  std::map<std::string, int> Starts_;
  int DuplicateStarts_ = 0;
  std::uint64_t LastEnd_ = 0;
  nlohmann::json Ended_ = nlohmann::json::array();
  net::HttpServer Server_;
};

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_ADAPTER_FAKEPLATFORM_H
