#ifndef COMFREYDECK_TESTS_SOAK_WORKERS_H
#define COMFREYDECK_TESTS_SOAK_WORKERS_H

#include "net/HttpServer.h"
#include "net/Loop.h"
#include "soak/Ledger.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <random>

namespace comfreydeck::soak {

/// Resources of each worker; each task of the soak needs TaskCpu.
inline constexpr std::uint32_t WorkerCpu = 4000;
inline constexpr std::uint32_t WorkerMemoryMb = 8000;
inline constexpr std::uint32_t TaskCpu = 1000;
inline constexpr std::uint32_t TaskMemoryMb = 100;
inline constexpr std::size_t WorkersPerRack = 2;
/// How many times as long a gang that wants one rack works in several.
inline constexpr int RemoteFactor = 2;

/// What the pages leave free to a worker's reports.
struct ReportDraws {
  /// Some reports make their two lists at different moments, so that a run that
  /// has just ended or just started may be in neither.
  bool Torn = false;
  /// A run that was left out when it had just started may be left out again
  /// when it has just ended.
  bool TornAgain = false;
  /// Ends are listed in any order.
  bool Shuffled = false;
  std::uint64_t Seed = 1;
};

/// Workers of the platform that start whatever they are told to and report it
/// to a \ref Ledger. The payload of a task is its run time in milliseconds.
class WorkerFleet {
public:
  WorkerFleet(net::Loop &Timers, Ledger &Seen, std::size_t Count,
              const ReportDraws &Draws = {});

  void start();
  void stop();

  std::size_t size() const { return Workers_.size(); }
  /// Where the worker listens. Only after \ref start.
  std::uint16_t port(std::size_t Worker) const;
  /// The worker's id, which changes with some crashes. Thread-safe.
  std::string id(std::size_t Worker);
  /// The worker's row as JSON text; \p Address is where the entries reach it.
  /// Thread-safe.
  std::string row(std::size_t Worker, const std::string &Pool,
                  const std::string &Address);

  /// Ends all runs of the worker, which then knows nothing of before. It comes
  /// back under a new id if \p NewId. Thread-safe.
  void crash(std::size_t Worker, bool NewId);
  /// Carries out the next \p Count orders to the worker \p Delay later, without
  /// an answer. Thread-safe.
  void applyLate(std::size_t Worker, int Count, core::Duration Delay);

private:
  struct Run {
    std::uint64_t Id = 0;
    core::TimePoint StartedAt;
    core::TimePoint EndsAt;
    /// Members of its gang; 1 for a task that works by itself.
    std::uint32_t Members = 1;
    /// It waits for the other members, until \ref EndsAt.
    bool Waits = false;
    /// Its start was carried out when it was sent.
    bool InTime = true;
    /// A torn report has left it out.
    bool LeftOut = false;
  };
  struct End {
    std::uint64_t Number = 0;
    std::string Task;
    std::uint64_t Run = 0;
    std::string How;
    /// The lease lapsed after this end.
    bool LapsedSince = false;
  };
  struct Worker {
    std::string Name;
    std::string Rack;
    std::uint64_t Incarnation = 1;
    std::uint64_t NamedIncarnation = 1;
    core::TimePoint BornAt;
    std::int64_t BornMs = 0;
    std::uint64_t Token = 0;
    core::TimePoint LeaseEnd;
    bool HasLapsed = false;
    std::map<std::string, Run> Running;
    /// Highest run of each task that has ended here.
    std::map<std::string, std::uint64_t> EndedRunOf;
    std::vector<End> Ended;
    std::uint64_t LastEnd = 0;
    std::uint64_t Sequence = 0;
    int OrdersToDelay = 0;
    core::Duration OrderDelay{0};
    std::unique_ptr<net::HttpServer> Server;
  };

  void handle(std::size_t N, const net::HttpRequest &Request,
              const net::HttpResponder &Respond);
  net::HttpResponse carryOut(std::size_t N, const std::string &Path,
                             const nlohmann::json &Body, bool InTime);
  void acknowledge(std::size_t N, const nlohmann::json &Body);
  void hold(std::size_t N, std::uint64_t Incarnation,
            const nlohmann::json &Body, int RemainingMs,
            const net::HttpResponder &Respond);
  nlohmann::json listEnded(const Worker &W);
  static nlohmann::json listRunning(Worker &W, core::TimePoint LeftOutFrom);
  void advance(core::TimePoint Now);
  bool advanceOnce(core::TimePoint Now);
  void lapse(Worker &W);
  void endRun(Worker &W, const std::string &Task, const char *How);
  using Member = std::pair<Worker *, std::string>;
  std::vector<Member> gangOf(const std::string &Task, const Run &Active);
  void endGang(const std::string &Task, const Run &Active, const char *How);
  void beginGang(const std::string &Task, const Run &Active,
                 core::Duration Work, core::TimePoint Now);
  const char *raiseToken(Worker &W, const nlohmann::json &Body,
                         core::TimePoint Now);
  nlohmann::json start(Worker &W, const nlohmann::json &Body,
                       core::TimePoint Now, bool InTime);
  nlohmann::json stopRun(Worker &W, const nlohmann::json &Body);
  static void reset(Worker &W, core::TimePoint Now);
  static std::string idOf(const Worker &W);

  net::Loop &Timers_;
  Ledger &Seen_;
  std::mutex Mutex_;
  std::vector<Worker> Workers_;
  ReportDraws Draws_;
  std::mt19937_64 Random_;
};

} // namespace comfreydeck::soak

#endif // COMFREYDECK_TESTS_SOAK_WORKERS_H
