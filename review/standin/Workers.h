#ifndef REVIEW_STANDIN_WORKERS_H
#define REVIEW_STANDIN_WORKERS_H

#include "Http.h"
#include "Record.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace review {

/// What a worker does with one start, besides carrying it out.
enum class StartFault : std::uint8_t {
  None,
  /// 503: nothing is done.
  Busy,
  /// Carries the start out and resets the connection instead of answering.
  DoAndReset,
};

/// Workers as PROTOCOL.md describes them. They start whatever they are told
/// to. TaskSpec is a task's run time in milliseconds; with a c behind it, the
/// task saves its state. Thread-safe.
class Workers {
public:
  using Faults = std::function<StartFault(std::size_t, const Request &)>;

  Workers(Record &Log, std::size_t Count, Faults Decide);

  std::size_t size() const { return All_.size(); }
  std::string id(std::size_t N) const { return All_[N]->Id; }
  std::string row(std::size_t N, const std::string &Service);
  /// Says that the job was shown as completed, or that its cancelling was
  /// acknowledged.
  void noteCompleted(const std::string &Job);
  /// Tasks of the job that run, by name of worker.
  std::vector<std::string> runningOf(const std::string &Job);
  int startsOf(const std::string &Job);
  /// The worker on which nothing runs; the number of workers if there is none.
  std::size_t idle();
  /// Starts before this time, by the record's clock, don't count as ones after
  /// a noted end: the machines that give them are not in touch.
  void setInTouchFrom(std::int64_t Ms) { InTouchFromMs_ = Ms; }
  /// Starts the worker again under its id; it knows nothing of before.
  void restart(std::size_t N);
  /// Cuts the worker off from the entries, or ends that. It works on.
  void setCut(std::size_t N, bool Cut);
  /// Ends that were listed, and those of them that LastSeen has reached.
  std::pair<int, int> endsAndNoted();

private:
  struct Run {
    Clock::time_point StartedAt;
    std::int64_t Ms = 0;
    bool Saves = false;
    std::int64_t StopAtMs = -1;
  };
  struct End {
    std::uint64_t Number = 0;
    std::string Task;
    std::uint64_t Run = 0;
    std::string How;
    std::string Saved;
  };
  using RunKey = std::pair<std::string, std::uint64_t>;
  struct Worker {
    std::size_t Number = 0;
    std::string Id;
    Clock::time_point Born = Clock::now();
    std::int64_t BornMs = unixMs();
    std::uint64_t Token = 0;
    std::int64_t LeaseEndMs = 0;
    std::uint64_t Sequence = 0;
    std::map<RunKey, Run> Running;
    std::map<std::string, std::uint64_t> Over;
    std::vector<End> Ended;
    std::uint64_t LastEnd = 0;
    bool Cut = false;
    std::unique_ptr<Server> Listening;
  };

  Response handle(Worker &W, const Request &R);
  Response carryOut(Worker &W, const Request &R);
  bool waitForLink(Worker &W);
  Response start(Worker &W, const nlohmann::json &Body);
  Response stop(Worker &W, const nlohmann::json &Body);
  Response hold(Worker &W, const nlohmann::json &Body, const Request &R,
                std::unique_lock<std::mutex> &Lock);
  bool takeOrder(Worker &W, const nlohmann::json &Body);
  void end(Worker &W, const RunKey &Key, const char *How);
  void advance();
  void checkStart(const Worker &W, const RunKey &Key);
  Response answer(const Worker &W, nlohmann::json Body) const;

  Record &Log_;
  Faults Decide_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<std::unique_ptr<Worker>> All_;
  /// Tasks with a run that ended as done, and when that was taken note of.
  std::map<std::string, std::int64_t> DoneNotedMs_;
  std::map<std::string, std::int64_t> CompletedMs_;
  std::map<std::string, int> Starts_;
  std::atomic<std::int64_t> InTouchFromMs_ = 0;
  int Noted_ = 0;
  int Listed_ = 0;
};

} // namespace review

#endif // REVIEW_STANDIN_WORKERS_H
