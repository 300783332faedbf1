#include "net/HttpClient.h"
#include "standins/LoopbackServers.h"

#include <CLI/CLI.hpp>

#include <condition_variable>
#include <ctime>
#include <iostream>
#include <mutex>

// Measures the connections opened and the processor time of the client's thread
// for bursts of calls to many hosts, while a long-polling call to each of them
// is open.

using namespace comfreydeck;

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double NanosecondsPerMicrosecond = 1e3;
constexpr core::Duration CallTimeout = std::chrono::seconds(60);

struct TrafficOptions {
  std::size_t Hosts = 100;
  std::size_t PerHost = 8;
  std::size_t Bursts = 10;
  std::size_t LongPolls = 1;
  std::size_t MaxCallsToHost = 6;
  std::size_t Descriptors = 4096;
};

double threadMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * MicrosecondsPerSecond +
         static_cast<double>(Time.tv_nsec) / NanosecondsPerMicrosecond;
}

/// Waits for a batch of calls and records the client thread's processor time at
/// the end of the last one.
class Batch {
public:
  explicit Batch(std::size_t Calls) : Remaining_(Calls) {}

  net::HttpCallback counter() {
    return [this](const net::HttpResult &Result) {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Result.End != core::ExchangeEnd::Answered)
        ++Failed_;
      Microseconds_ = threadMicroseconds();
      --Remaining_;
      Changed_.notify_all();
    };
  }

  void wait() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait(Lock, [&] { return Remaining_ == 0; });
  }

  double microseconds() const { return Microseconds_; }
  std::size_t failed() const { return Failed_; }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::size_t Remaining_;
  std::size_t Failed_ = 0;
  double Microseconds_ = 0;
};

net::HttpCall callTo(const TrafficOptions &P, const std::string &Address,
                     std::size_t DelayMs) {
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Address + "/v1/order";
  Call.Headers = {{"Content-Type", "application/json"}};
  if (DelayMs > 0)
    Call.Headers.push_back({"Delay-Ms", std::to_string(DelayMs)});
  Call.Body = std::string(200, ' ');
  Call.TotalLimit = CallTimeout;
  Call.MaxCallsToHost = P.MaxCallsToHost;
  return Call;
}

void measure(const TrafficOptions &P) {
  constexpr std::size_t LongPollMs = 1000000;
  standins::LoopbackServers Row(P.Hosts);
  Batch LongPollBatch(P.Hosts * P.LongPolls);
  net::HttpClient Client(net::clientOptionsFor(P.Descriptors));
  Batch WarmUp(P.Hosts);
  for (std::size_t N = 0; N < P.Hosts; ++N)
    Client.send(callTo(P, Row.address(N), 0), WarmUp.counter());
  WarmUp.wait();
  for (std::size_t N = 0; N < P.Hosts * P.LongPolls; ++N)
    Client.send(callTo(P, Row.address(N % P.Hosts), LongPollMs),
                LongPollBatch.counter());
  double Start = WarmUp.microseconds();
  std::uint32_t Opened = Row.connections();
  std::size_t Failed = 0;
  double End = Start;
  std::size_t Calls = P.Hosts * P.PerHost;
  for (std::size_t Burst = 0; Burst < P.Bursts; ++Burst) {
    Batch B(Calls);
    for (std::size_t N = 0; N < Calls; ++N)
      Client.send(callTo(P, Row.address(N % P.Hosts), 0), B.counter());
    B.wait();
    Failed += B.failed();
    End = B.microseconds();
  }
  double All = static_cast<double>(Calls * P.Bursts);
  std::cout << "calls " << Calls * P.Bursts << ", failed " << Failed
            << ", new connections " << Row.connections() - Opened
            << ", client thread " << (End - Start) / All << " us a call\n";
  // Then one call at a time, as for the answers of workers.
  constexpr std::size_t SingleCalls = 2000;
  Start = End;
  for (std::size_t N = 0; N < SingleCalls; ++N) {
    Batch B(1);
    Client.send(callTo(P, Row.address(N % P.Hosts), 0), B.counter());
    B.wait();
    End = B.microseconds();
  }
  std::cout << "one at a time: client thread "
            << (End - Start) / static_cast<double>(SingleCalls)
            << " us a call\n";
  Client.stop();
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App(
      "Measures connections and processor time of bursts of HTTP calls");
  TrafficOptions P;
  App.add_option("--hosts", P.Hosts, "Hosts that are called");
  App.add_option("--per-host", P.PerHost, "Calls to each host in a burst");
  App.add_option("--bursts", P.Bursts, "Bursts, one after the other");
  App.add_option("--waiting", P.LongPolls,
                 "Long-polling calls open to each host");
  App.add_option("--to-host", P.MaxCallsToHost, "Calls in flight to one host");
  App.add_option("--descriptors", P.Descriptors, "Descriptors of the process");
  CLI11_PARSE(App, Argc, Argv);
  measure(P);
  return 0;
}
