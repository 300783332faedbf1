#ifndef REVIEW_STANDIN_SITE_H
#define REVIEW_STANDIN_SITE_H

#include "Record.h"
#include "Store.h"
#include "Workers.h"

#include <array>
#include <atomic>
#include <thread>

#include <sys/types.h>

namespace review {

struct SiteOptions {
  /// `Bounds.status_s` of the settings.
  int StatusS = 120;
  std::uint64_t FirstVersion = 1;
  Store::Faults StoreFaults;
  Workers::Faults StartFaults;
};

/// A small deployment: three entries as processes of their own, one store, one
/// service of twelve workers in three zones, one queue with one tenant.
class Site {
public:
  static constexpr std::size_t Entries = 3;
  static constexpr std::size_t WorkerCount = 12;

  Site(Record &Log, const SiteOptions &Options);
  ~Site();

  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Starts the entries; false if they don't complete a first job in time.
  bool start();
  Store &store() { return Store_; }
  Workers &workers() { return Workers_; }

  /// The worker writes its row again a heartbeat from now, as one that has just
  /// started.
  void holdBeat(std::size_t Worker);

  /// Calls of a client, recorded. Returns the status, zero without an answer.
  int submit(std::size_t At, const std::string &Job, int Tasks, int Cpu,
             const std::string &Spec, bool Saves = false);
  int cancel(std::size_t At, const std::string &Job);
  /// The state as shown, or the status if it is not 200.
  std::string state(std::size_t At, const std::string &Job);
  bool waitFor(const std::string &Job, const std::string &State, int LimitMs);
  /// A new id of 16 hexadecimal digits.
  std::string newJob();
  /// Ends all processes; false if one had ended before.
  bool end();

private:
  struct Entry {
    std::uint16_t Callers = 0;
    std::uint16_t Readiness = 0;
    std::unique_ptr<Server> StoreListener;
    pid_t Pid = 0;
  };

  void writeSettings(std::size_t N, int StatusS);
  void launch(std::size_t N);
  void beat();
  Response ask(std::size_t At, const std::string &Method,
               const std::string &Job, const std::string &Body);

  Record &Log_;
  std::string Folder_;
  Store Store_;
  Workers Workers_;
  Entry Entries_[Entries];
  std::atomic<bool> Ending_ = false;
  /// By worker, when it writes its row next.
  std::array<std::atomic<std::int64_t>, WorkerCount> NextBeatMs_{};
  std::thread Beats_;
  std::atomic<std::uint64_t> NextJob_ = 1;
};

} // namespace review

#endif // REVIEW_STANDIN_SITE_H
