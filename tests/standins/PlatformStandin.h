#ifndef COMFREYDECK_TESTS_STANDINS_PLATFORMSTANDIN_H
#define COMFREYDECK_TESTS_STANDINS_PLATFORMSTANDIN_H

#include "net/HttpServer.h"
#include "net/Loop.h"
#include "standins/MemoryTables.h"

#include <map>
#include <mutex>

namespace comfreydeck::standins {

/// What the platform does wrong at present.
struct PlatformFaults {
  /// Each answer comes this much later.
  core::Duration Delay{0};
  /// Reads answer 503.
  bool ReadsDown = false;
  /// Commits answer 503 and apply nothing.
  bool WritesDown = false;
  /// Each commit that is a multiple of this applies, and its answer is never
  /// sent; zero for none.
  std::uint32_t LoseAnswerEvery = 0;
};

/// How often each kind of call was answered.
struct PlatformCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Commits = 0;
  std::uint64_t Objects = 0;
  std::uint64_t Lists = 0;
};

/// Table service, object store and instance list in one process.
///
/// `PUT /control/faults` sets the faults, `PUT /control/instances` the list,
/// `GET /control/counts` tells the counts.
class PlatformStandin {
public:
  explicit PlatformStandin(net::HttpServerOptions Options);

  void start();
  void stop();
  std::uint16_t port() const;

  /// Thread-safe.
  void setFaults(PlatformFaults Faults);
  PlatformCounts counts() const;
  /// A JSON list in the shape of `GET /v1/instances`.
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
