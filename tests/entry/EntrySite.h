#ifndef COMFREYDECK_TESTS_ENTRY_ENTRYSITE_H
#define COMFREYDECK_TESTS_ENTRY_ENTRYSITE_H

#include "entry/Entry.h"
#include "net/HttpClient.h"
#include "standins/PlatformStandin.h"
#include "standins/WorkerStandin.h"

#include <future>
#include <list>

namespace comfreydeck::tests {

/// What a test's caller sends.
struct CallerRequest {
  std::string Method = "POST";
  std::string Path = "/v1/queues/sign/tasks";
  std::string Body = "body";
  std::vector<net::HttpHeader> Headers;
  core::Duration Limit = std::chrono::seconds(30);
};

/// An answer with what its reader looks at first.
struct CallerAnswer {
  /// Zero where there is no answer.
  int Status = 0;
  std::string Verdict;
  std::string Reason;
  std::string Id;
  net::HttpResponse Response;
};

/// Platform, workers and entries in one process, configured with the pool
/// `signing`, the teams `beach` and `guide`, and the queues `sign` (keys),
/// `beach-only` and `open`.
class EntrySite {
public:
  EntrySite(std::size_t Entries, std::size_t Workers);
  ~EntrySite();

  EntrySite(const EntrySite &) = delete;
  EntrySite &operator=(const EntrySite &) = delete;

  /// Sends one request to an entry.
  std::future<CallerAnswer> send(std::size_t Entry, CallerRequest Request);
  /// Sends one request and waits.
  CallerAnswer call(std::size_t Entry, CallerRequest Request);
  /// As the first operator.
  std::string operate(const std::string &Method, const std::string &Path,
                      const std::string &Body);
  /// Polls until \p Holds, for as long as a test may run.
  static void waitUntil(const std::function<bool()> &Holds);
  /// Starts seen by all workers together.
  std::uint64_t starts() const;
  /// Requests that were started more than once.
  std::uint64_t duplicates() const;

  standins::PlatformStandin &platform() { return Platform_; }
  standins::WorkerStandin &worker(std::size_t N);
  entry::Entry &entry(std::size_t N) { return *Entries_.at(N); }
  /// Ends an entry at once, as a crash would.
  void crash(std::size_t N) { Entries_.at(N).reset(); }

  /// Takes an incarnation out of the registered entries.
  void forgetEntry(const std::string &Incarnation);

  /// The key of the team `beach`, and of the team `guide`.
  net::HttpHeader BeachKey;
  net::HttpHeader GuideKey;

private:
  settings::Settings settingsOf(std::size_t N, const std::string &Platform);
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

#endif // COMFREYDECK_TESTS_ENTRY_ENTRYSITE_H
