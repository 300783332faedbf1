#ifndef COMFREYDECK_TESTS_ENTRY_ENTRYHARNESS_H
#define COMFREYDECK_TESTS_ENTRY_ENTRYHARNESS_H

#include "entry/Entry.h"
#include "net/HttpClient.h"
#include "standins/PlatformStandin.h"
#include "standins/WorkerStandin.h"

#include <future>
#include <list>

namespace comfreydeck::tests {

/// A request that a test sends to an entry.
struct CallerRequest {
  std::string Method = "POST";
  std::string Path = "/v1/queues/sign/tasks";
  std::string Body = "body";
  std::vector<net::HttpHeader> Headers;
  core::Duration Limit = std::chrono::seconds(30);
};

/// A response with its most frequently checked fields extracted.
struct CallerAnswer {
  /// Zero if there was no response.
  int Status = 0;
  std::string Verdict;
  std::string Reason;
  std::string Id;
  net::HttpResponse Response;
};

/// Stand-ins for platform and workers and real entries in one process,
/// configured with the pool `signing`, the teams `beach` and `guide`, and the
/// queues `sign` (needs a key), `beach-only` (only for team `beach`) and `open`
/// (needs no key).
class EntryHarness {
public:
  EntryHarness(std::size_t Entries, std::size_t Workers);
  ~EntryHarness();

  EntryHarness(const EntryHarness &) = delete;
  EntryHarness &operator=(const EntryHarness &) = delete;

  /// Sends one request to an entry.
  std::future<CallerAnswer> send(std::size_t Entry, CallerRequest Request);
  /// Sends one request and waits for the response.
  CallerAnswer call(std::size_t Entry, CallerRequest Request);
  /// Calls the operator API of the first entry with the bootstrap key.
  std::string callOperatorApi(const std::string &Method,
                              const std::string &Path, const std::string &Body);
  /// Polls until \p Condition returns true. Throws std::runtime_error after a
  /// minute.
  static void waitUntil(const std::function<bool()> &Condition);
  /// Number of task starts over all workers.
  std::uint64_t starts() const;
  /// Number of requests that were started more than once.
  std::uint64_t duplicates() const;

  standins::PlatformStandin &platform() { return Platform_; }
  standins::WorkerStandin &worker(std::size_t N);
  entry::Entry &entry(std::size_t N) { return *Entries_.at(N); }
  /// Destroys an entry without a graceful stop, like a crash.
  void crash(std::size_t N) { Entries_.at(N).reset(); }

  /// Deletes the registration of an entry.
  void deleteRegistration(const std::string &Incarnation);

  /// Authorization headers with the keys of the teams `beach` and `guide`.
  net::HttpHeader BeachKey;
  net::HttpHeader GuideKey;

private:
  settings::Settings makeSettings(std::size_t N, const std::string &Platform);
  void startWorkers(std::size_t Count);
  void configure();
  bool assign(const std::string &Worker);

  std::string OperatorSecret_;
  std::vector<std::string> Addresses_;
  standins::PlatformStandin Platform_;
  net::Loop Timers_;
  standins::EventLog Log_{""};
  std::list<standins::WorkerStandin> Workers_;
  std::vector<std::unique_ptr<entry::Entry>> Entries_;
  net::HttpClient Client_;
};

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_ENTRY_ENTRYHARNESS_H
