#include "HttpWorkers.h"
#include "HttpMachines.h"
#include "standins/LoopbackServers.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>

using namespace comfreydeck;

namespace {

constexpr std::size_t OrderCount = 40;
/// A worker accepts 64 connections, shared by all entries.
constexpr std::uint32_t MaxConnections = 8;

jobs::StartOrder orderOf(std::uint32_t Index) {
  jobs::StartOrder Order;
  Order.Worker = "w";
  Order.Task = {"0123456789abcdef", 0, 0, Index};
  Order.Run = Index + 1;
  return Order;
}

} // namespace

TEST_CASE("a burst of orders to one worker opens few connections") {
  standins::LoopbackServers Row(1);
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpWorkers Workers(Client);
  jobs::WorkerEntry To;
  To.Id = "w";
  To.Address = Row.address(0);
  std::atomic<std::size_t> Accepted = 0;
  std::atomic<std::size_t> Ended = 0;
  std::promise<void> AllEnded;
  for (std::uint32_t N = 0; N < OrderCount; ++N)
    Workers.start(To, 1, orderOf(N), [&](const jobs::OrderResult &Result) {
      if (Result.Outcome == jobs::OrderOutcome::Accepted)
        ++Accepted;
      if (++Ended == OrderCount)
        AllEnded.set_value();
    });
  AllEnded.get_future().wait();
  CHECK(Accepted == OrderCount);
  CHECK(Row.connections() <= MaxConnections);
}

TEST_CASE(
    "a response without its fields is an error, not an empty report or list") {
  standins::LoopbackServers Row(1);
  net::HttpClient Client(net::HttpClientOptions{});
  platform::HttpWorkers Workers(Client);
  jobs::WorkerEntry To;
  To.Id = "w";
  To.Address = Row.address(0);
  std::promise<jobs::ReportResult> Report;
  Workers.report(To, 1, {}, [&](jobs::ReportResult Result) {
    Report.set_value(std::move(Result));
  });
  CHECK(Report.get_future().get().Outcome == jobs::OrderOutcome::Unknown);
  platform::HttpMachines Machines(Client, Row.address(0), "e1");
  std::promise<dispatch::MachineList> List;
  Machines.list(
      [&](dispatch::MachineList Read) { List.set_value(std::move(Read)); });
  CHECK_FALSE(List.get_future().get().Ok);
}
