#include "core/PoolOwner.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{Duration(1h)};
constexpr TimePoint Later = Start + 2s;
constexpr TeamId Beach{1}, Guide{2};

PoolWorker worker(std::uint32_t Id, std::uint32_t Slots, std::uint32_t Zone = 1,
                  std::uint32_t Rack = 1) {
  return {{Id}, {Zone}, {Rack}, Slots, {8000, 8192, 2}, true};
}

PoolOwner ownerWith(std::vector<PoolWorker> Workers) {
  PoolOwner Owner;
  setWorkers(Owner, Workers);
  setTeam(Owner, Beach, 1, 100, Start);
  setTeam(Owner, Guide, 1, 100, Start);
  return Owner;
}

Demand demand(std::uint64_t Number, TeamId Team, Duration Until = 60s) {
  Demand D;
  D.Id = {{7}, Number};
  D.Team = Team;
  D.Queue = QueueId{1};
  D.Run = 1s;
  D.Arrived = Start;
  D.Deadline = Start + Until;
  return D;
}

std::vector<std::uint64_t> numbersOf(const PoolDecisions &Decided) {
  std::vector<std::uint64_t> Numbers;
  for (const Grant &G : Decided.Grants)
    Numbers.push_back(G.Id.Number);
  return Numbers;
}

using Numbers = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("the demand of a team with the earliest deadline starts first") {
  PoolOwner Owner = ownerWith({worker(1, 2)});
  enqueue(Owner, demand(1, Beach, 20s), Start);
  enqueue(Owner, demand(2, Beach, 10s), Start);
  enqueue(Owner, demand(3, Beach, 15s), Start);
  CHECK(numbersOf(decide(Owner, Start, Later)) == Numbers{2, 3});
}

TEST_CASE("a demand with a late deadline is overtaken for a bounded time") {
  PoolOwner Owner = ownerWith({worker(1, 1)});
  enqueue(Owner, demand(1, Beach, 1h), Start);
  Demand Newer = demand(2, Beach);
  Newer.Arrived = Start + 31s;
  Newer.Deadline = Newer.Arrived + 5s;
  enqueue(Owner, Newer, Newer.Arrived);
  CHECK(numbersOf(decide(Owner, Newer.Arrived, Later + 1min)) == Numbers{1});
}

TEST_CASE("slots are divided by share while both teams wait") {
  PoolOwner Owner = ownerWith({worker(1, 8)});
  setTeam(Owner, Beach, 3, 100, Start);
  for (std::uint64_t N = 0; N < 20; ++N) {
    enqueue(Owner, demand(2 * N, Beach), Start);
    enqueue(Owner, demand(2 * N + 1, Guide), Start);
  }
  decide(Owner, Start, Later);
  CHECK(Owner.Teams[Beach].Running == 6);
  CHECK(Owner.Teams[Guide].Running == 2);
}

TEST_CASE("a single team may fill the pool up to its allotment") {
  PoolOwner Owner = ownerWith({worker(1, 8)});
  setTeam(Owner, Beach, 1, 5, Start);
  for (std::uint64_t N = 0; N < 20; ++N)
    enqueue(Owner, demand(N, Beach), Start);
  CHECK(decide(Owner, Start, Later).Grants.size() == 5);
  setUnknownSlots(Owner, 2, Start);
  finish(Owner, {{7}, 0}, 1s, Start);
  CHECK(decide(Owner, Start, Later).Grants.empty());
  setUnknownSlots(Owner, 0, Start);
  CHECK(decide(Owner, Start, Later).Grants.size() == 1);
}

TEST_CASE("a demand without room does not block the others") {
  PoolOwner Owner = ownerWith({worker(1, 8)});
  Demand Holder = demand(1, Guide);
  Holder.Size.Accelerators = 1;
  enqueue(Owner, Holder, Start);
  decide(Owner, Start, Later);
  Demand Large = demand(2, Beach, 10s);
  Large.Size.Accelerators = 2;
  enqueue(Owner, Large, Start);
  enqueue(Owner, demand(3, Beach, 20s), Start);
  CHECK(numbersOf(decide(Owner, Start, Later)) == Numbers{3});
  finish(Owner, Holder.Id, 1s, Start);
  CHECK(numbersOf(decide(Owner, Start, Later)) == Numbers{2});
}

TEST_CASE("a large demand that is overtaken for long gets a worker reserved") {
  PoolOwner Owner = ownerWith({worker(1, 2)});
  Demand Small = demand(1, Guide);
  Small.Size.MilliCpus = 4000;
  enqueue(Owner, Small, Start);
  decide(Owner, Start, Later);
  Demand Large = demand(2, Beach);
  Large.Size.MilliCpus = 8000;
  enqueue(Owner, Large, Start);
  TimePoint Now = Start + 3s;
  decide(Owner, Now, Now + 2s);
  Small.Id.Number = 3;
  enqueue(Owner, Small, Now);
  CHECK(decide(Owner, Now, Now + 2s).Grants.empty());
  finish(Owner, {{7}, 1}, 3s, Now);
  CHECK(numbersOf(decide(Owner, Now, Now + 2s)) == Numbers{2});
}

TEST_CASE("urgent work goes first, in a bounded fraction of the slots") {
  PoolOwner Owner = ownerWith({worker(1, 8)});
  setTeam(Owner, Beach, 1000, 100, Start);
  for (std::uint64_t N = 0; N < 10; ++N) {
    enqueue(Owner, demand(N, Beach), Start);
    Demand Urgent = demand(100 + N, Guide);
    Urgent.Urgent = true;
    enqueue(Owner, Urgent, Start);
  }
  PoolDecisions Decided = decide(Owner, Start, Later);
  CHECK(Decided.Grants.front().Team == Guide);
  CHECK(Owner.UrgentRunning == 4);
  CHECK(Owner.Teams[Beach].Running == 4);
}

TEST_CASE("demands that are past their deadline or too large are refused") {
  PoolOwner Owner = ownerWith({worker(1, 1)});
  enqueue(Owner, demand(1, Beach, 1s), Start);
  enqueue(Owner, demand(2, Beach, 10s), Start);
  PoolDecisions Decided = decide(Owner, Start + 1s, Later);
  REQUIRE(Decided.Refusals.size() == 1);
  CHECK(Decided.Refusals[0].Why == Reason::DeadlinePassed);
  CHECK(numbersOf(Decided) == Numbers{2});
  Demand TooLarge = demand(3, Beach);
  TooLarge.Size.MilliCpus = 8001;
  CHECK(enqueue(Owner, TooLarge, Start) == Reason::NeverRunnable);
  CHECK(enqueue(Owner, demand(4, Beach, 0s), Start) == Reason::DeadlinePassed);
}

TEST_CASE("starts spread over data centres and racks") {
  PoolOwner Owner =
      ownerWith({worker(1, 8, 1, 1), worker(2, 8, 1, 1), worker(3, 8, 1, 2),
                 worker(4, 8, 2, 3), worker(5, 8, 2, 3)});
  for (std::uint64_t N = 0; N < 4; ++N)
    enqueue(Owner, demand(N, Beach), Start);
  std::set<std::uint32_t> Used;
  for (const Grant &G : decide(Owner, Start, Later).Grants)
    Used.insert(G.Worker.Value);
  CHECK(Used == std::set<std::uint32_t>{1, 3, 4, 5});
}

TEST_CASE("an avoided worker is used only if no other worker has room") {
  PoolOwner Owner = ownerWith({worker(1, 2), worker(2, 1)});
  Demand D = demand(1, Beach);
  D.Avoid = WorkerId{1};
  enqueue(Owner, D, Start);
  CHECK(decide(Owner, Start, Later).Grants[0].Worker == WorkerId{2});
  D.Id.Number = 2;
  enqueue(Owner, D, Start);
  CHECK(decide(Owner, Start, Later).Grants[0].Worker == WorkerId{1});
}

TEST_CASE("a closed worker gets no tasks and its running ones still count") {
  PoolOwner Owner = ownerWith({worker(1, 2)});
  enqueue(Owner, demand(1, Beach), Start);
  decide(Owner, Start, Later);
  setWorkers(Owner, {});
  enqueue(Owner, demand(2, Beach), Start);
  CHECK(decide(Owner, Start, Later).Grants.empty());
  CHECK(Owner.Teams[Beach].Running == 1);
  PoolWorker Back = worker(1, 2);
  setWorkers(Owner, std::span(&Back, 1));
  enqueue(Owner, demand(3, Beach), Start);
  CHECK(decide(Owner, Start, Later).Grants.size() == 1);
}

TEST_CASE("an adopted task counts against its slot and its team's allotment") {
  PoolOwner Owner = ownerWith({worker(1, 2)});
  setTeam(Owner, Beach, 1, 1, Start);
  RunningTask Task;
  Task.Id = {{9}, 1};
  Task.Team = Beach;
  Task.Worker = WorkerId{1};
  adopt(Owner, Task, Start);
  adopt(Owner, Task, Start);
  CHECK(Owner.Teams[Beach].Running == 1);
  enqueue(Owner, demand(1, Beach), Start);
  CHECK(decide(Owner, Start, Later).Grants.empty());
  CHECK(finish(Owner, Task.Id, 0s, Start));
  CHECK_FALSE(finish(Owner, Task.Id, 0s, Start));
  CHECK(decide(Owner, Start, Later).Grants.size() == 1);
}

TEST_CASE("a cancelled demand is removed from all queues") {
  PoolOwner Owner = ownerWith({worker(1, 1)});
  for (std::uint64_t N = 0; N < 5000; ++N)
    enqueue(Owner, demand(N, Beach), Start);
  for (std::uint64_t N = 0; N < 5000; ++N)
    CHECK(cancel(Owner, {{7}, N}));
  CHECK_FALSE(cancel(Owner, {{7}, 1}));
  CHECK(Owner.Waiting.empty());
  CHECK(Owner.Deadlines.empty());
  CHECK(Owner.ReadyTeams.empty());
  CHECK(Owner.Teams[Beach].Ordinary.empty());
}

TEST_CASE("the credit of a returning team is bounded") {
  FairClock Clock;
  Clock.CreditWindow = 10s;
  for (int Second = 0; Second <= 100; ++Second)
    advance(Clock, Second, Start + std::chrono::seconds(Second));
  CHECK(minReturnTime(Clock, Start + 100s) == doctest::Approx(90));
  Clock.CreditWindow = 0s;
  CHECK(minReturnTime(Clock, Start + 100s) == doctest::Approx(100));
}
