#include "HttpWorkers.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <cstdio>
#include <ctime>
#include <memory>
#include <mutex>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Measures the processor time of one order to a worker, over HTTP on loopback.
// The workers run in a child process, so that only the sender is measured.

using namespace comfreydeck;

namespace {

constexpr std::uint64_t Token = 7;
constexpr int StatusOk = 200;

struct Options {
  std::size_t Workers = 64;
  std::size_t Orders = 20000;
  std::size_t AtOnce = 64;
  std::string Kind = "start";
};

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  constexpr double NanosecondsPerSecond = 1e9;
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / NanosecondsPerSecond;
}

/// Serves workers until the parent closes its end of the pipe. Writes their
/// ports to \p Ports.
[[noreturn]] void serveWorkers(std::size_t Count, int Ports, int Parent) {
  std::vector<std::unique_ptr<net::HttpServer>> Servers;
  for (std::size_t N = 0; N < Count; ++N) {
    net::HttpServerOptions Options;
    Options.Address = "127.0.0.1";
    Servers.push_back(std::make_unique<
                      net::HttpServer>(Options, [](const net::HttpRequest &,
                                                   const net::HttpResponder
                                                       &Respond) {
      Respond(net::jsonResponse(
          StatusOk,
          R"({"ClockMs":482113,"born":1,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,300]],"EndedRuns":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
    }));
    Servers.back()->start();
    std::uint16_t Port = Servers.back()->port();
    if (write(Ports, &Port, sizeof(Port)) != sizeof(Port))
      _exit(1);
  }
  char Byte = 0;
  while (read(Parent, &Byte, 1) > 0) {
  }
  _exit(0);
}

/// Keeps a fixed number of orders in flight until all are answered.
class Sender {
public:
  Sender(jobs::WorkerEntry First, std::vector<std::uint16_t> Ports,
         const Options &Given)
      : Entry_(std::move(First)), Ports_(std::move(Ports)), Given_(Given),
        Client_(net::clientOptionsFor(net::descriptorLimit())),
        Workers_(Client_) {}

  void run() {
    for (std::size_t N = 0; N < Given_.AtOnce; ++N)
      sendNext();
    while (Answered_ < Given_.Orders)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

  std::size_t failures() const { return Failed_; }

private:
  void sendNext() {
    std::size_t Number = Sent_++;
    if (Number >= Given_.Orders)
      return;
    jobs::WorkerEntry To = Entry_;
    To.Id = "worker-" + std::to_string(Number % Ports_.size());
    To.Address = "127.0.0.1:" + std::to_string(Ports_[Number % Ports_.size()]);
    auto Done = [this](const auto &Result) {
      Failed_ += Result.Outcome == jobs::OrderOutcome::Accepted ? 0 : 1;
      ++Answered_;
      sendNext();
    };
    if (Given_.Kind == "start") {
      jobs::StartOrder Order;
      Order.Worker = To.Id;
      Order.Task = {"5c0e7a21d94b36f8", 0, 1, 17};
      Order.Run = Number + 1;
      Order.Payload = std::string(200, 'x');
      Order.DeadlineMs = 486000;
      Workers_.start(To, Token, Order, nullptr, Done);
      return;
    }
    jobs::HoldOrder Order;
    Order.Worker = To.Id;
    Order.DeadlineMs = 486000;
    Order.AcknowledgeUpTo = 57;
    Order.AcknowledgeBy = core::TimePoint::max();
    Order.Wait = std::chrono::milliseconds(800);
    Workers_.report(To, Token, Order, nullptr, Done);
  }

  jobs::WorkerEntry Entry_;
  std::vector<std::uint16_t> Ports_;
  Options Given_;
  std::atomic<std::size_t> Sent_ = 0;
  std::atomic<std::size_t> Answered_ = 0;
  std::atomic<std::size_t> Failed_ = 0;
  net::HttpClient Client_;
  platform::HttpWorkers Workers_;
};

} // namespace

int main(int Argc, char **Argv) {
  Options Given;
  CLI::App App("Measures the processor time of one order to a worker");
  App.add_option("--workers", Given.Workers, "Workers, each on its own port");
  App.add_option("--orders", Given.Orders, "Orders to send");
  App.add_option("--at-once", Given.AtOnce, "Orders in flight");
  App.add_option("--kind", Given.Kind, "start or report")
      ->check(CLI::IsMember({"start", "report"}));
  CLI11_PARSE(App, Argc, Argv);
  int PortPipe[2];
  int LifePipe[2];
  if (pipe(PortPipe) != 0 || pipe(LifePipe) != 0) {
    std::perror("pipe");
    return 1;
  }
  pid_t Child = fork();
  if (Child == 0) {
    close(LifePipe[1]);
    serveWorkers(Given.Workers, PortPipe[1], LifePipe[0]);
  }
  std::vector<std::uint16_t> Ports(Given.Workers);
  for (std::uint16_t &Port : Ports)
    if (read(PortPipe[0], &Port, sizeof(Port)) != sizeof(Port))
      return 1;
  double Before = cpuSeconds();
  std::size_t Failures = 0;
  {
    Sender S({}, Ports, Given);
    S.run();
    Failures = S.failures();
  }
  constexpr double MicrosecondsPerSecond = 1e6;
  double Each = (cpuSeconds() - Before) * MicrosecondsPerSecond /
                static_cast<double>(Given.Orders);
  std::printf("%s workers=%zu at-once=%zu orders=%zu failed=%zu: %.1f us of "
              "processor time each\n",
              Given.Kind.c_str(), Given.Workers, Given.AtOnce, Given.Orders,
              Failures, Each);
  close(LifePipe[1]);
  waitpid(Child, nullptr, 0);
  return 0;
}
