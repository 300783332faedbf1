#ifndef COMFREYDECK_TESTS_STANDINS_PLATFORMSTANDIN_H
#define COMFREYDECK_TESTS_STANDINS_PLATFORMSTANDIN_H

#include "net/HttpServer.h"
#include "net/Loop.h"
#include "standins/MemoryTables.h"

#include <map>
#include <mutex>

namespace comfreydeck::standins {

/// Faults injected into the platform.
struct PlatformFaults {
  /// Delay added to each answer.
  core::Duration Delay{0};
  /// Reads are answered with 503.
  bool ReadsDown = false;
  /// Commits are answered with 503 and not applied.
  bool WritesDown = false;
  /// Every nth commit is applied, but its answer is withheld. Zero: none.
  std::uint32_t LoseAnswerEvery = 0;
};

/// Number of calls received, by kind.
struct PlatformCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Commits = 0;
  std::uint64_t Objects = 0;
  std::uint64_t Lists = 0;
};

/// Fake platform: table service, object store and instance list in one process.
///
/// `PUT /control/faults` sets the faults, `PUT /control/instances` the list,
/// and `GET /control/counts` returns the counts.
class PlatformStandin {
public:
  explicit PlatformStandin(net::HttpServerOptions Options);

  void start();
  void stop();
  std::uint16_t port() const;

  /// Thread-safe.
  void setFaults(PlatformFaults Faults);
  PlatformCounts counts() const;
  /// Sets the body that `GET /v1/instances` returns.
  void setInstances(std::string Json);

private:
  void handle(net::HttpRequest Request, net::HttpResponder Respond);
  net::HttpResponse answer(const net::HttpRequest &Request);
  net::HttpResponse answerTables(const net::HttpRequest &Request);
  net::HttpResponse answerCommit(const net::HttpRequest &Request);
  net::HttpResponse answerObject(const net::HttpRequest &Request);
  net::HttpResponse answerControl(const net::HttpRequest &Request);
  bool losesAnswer(const net::HttpRequest &Request);

  mutable std::mutex Mutex_;
  PlatformFaults Faults_;
  PlatformCounts Counts_;
  MemoryTables Tables_;
  std::map<std::string, std::string> Objects_;
  std::string Instances_ = R"({"instances":[]})";
  net::Loop Timers_;
  net::HttpServer Server_;
};

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_PLATFORMSTANDIN_H
