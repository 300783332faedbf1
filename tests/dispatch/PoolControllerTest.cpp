#include "dispatch/PoolController.h"

#include "codec/JobJson.h"
#include "dispatch/Clock.h"
#include "dispatch/InMemoryStore.h"
#include "dispatch/LoopCalls.h"
#include "dispatch/SilentWorkers.h"
#include "net/HttpClient.h"

#include <doctest/doctest.h>

#include <mutex>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

namespace {

constexpr std::chrono::milliseconds PollEvery(20);
/// Begins a worker's row that tells its start time instead of its address.
constexpr std::string_view BornPrefix = "born ";

/// Lists no machine, so that no worker is left, or after the first list that of
/// worker w1. Or shows that one in its upkeep, once the test says so.
struct ListedMachines : MachineControl {
  std::atomic<std::uint32_t> Lists = 0;
  std::atomic<bool> OnlyFirstOmits = false;
  std::atomic<bool> IsInUpkeep = false;
  std::mutex Mutex;
  /// Lists of the upkeep that the test has not answered.
  std::vector<std::function<void(MachineList)>> Unanswered;

  void answer() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Machine M;
    M.Id = "m1";
    M.State = MachineState::Maintenance;
    M.Worker = "w1";
    MachineList List;
    List.Ok = true;
    List.Machines = {M};
    for (const auto &Done : std::exchange(Unanswered, {}))
      Done(List);
  }
  void list(std::function<void(MachineList)> Done) override {
    MachineList List;
    List.Ok = true;
    if (IsInUpkeep) {
      std::lock_guard<std::mutex> Lock(Mutex);
      Unanswered.push_back(std::move(Done));
      ++Lists;
      return;
    }
    if (++Lists > 1 && OnlyFirstOmits) {
      Machine M;
      M.Id = "m1";
      M.State = MachineState::Up;
      M.Worker = "w1";
      List.Machines.push_back(M);
    }
    Done(List);
  }
  void maintain(const std::string &, const std::string &, std::uint64_t,
                std::function<void(MachineOrderOutcome)>) override {}
  void move(const std::string &, const std::string &, std::uint64_t,
            std::function<void(MachineOrderOutcome)>) override {}
};

/// Workers that answer a report only when the test says so.
struct AnswerableWorkers : SilentWorkers {
  std::mutex Mutex;
  /// Requests wait to be sent until the test sends them. Set before the first
  /// one.
  bool KeepsBack = false;
  std::vector<SendMark> Marks;
  std::function<void(jobs::ReportResult)> Report;

  void report(const jobs::WorkerEntry &, std::uint64_t, const jobs::HoldOrder &,
              SendMark SentAt,
              std::function<void(jobs::ReportResult)> Done) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    Report = std::move(Done);
    Marks.push_back(SentAt);
    if (!KeepsBack)
      setSent(SentAt);
  }
  std::size_t requests() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Marks.size();
  }
  void sendLast() {
    std::lock_guard<std::mutex> Lock(Mutex);
    setSent(Marks.back());
  }
  /// Answers the last request, if there is one.
  bool answer(const jobs::ReportResult &Result) {
    std::function<void(jobs::ReportResult)> Done;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Done = std::exchange(Report, nullptr);
    }
    if (Done)
      Done(Result);
    return Done != nullptr;
  }
};

/// The owner of pool "p" on a store in memory, with one listed worker that
/// doesn't answer by itself.
struct ControllerFixture {
  settings::DispatchSettings Settings;
  net::Loop Loop;
  net::HttpClient Client{{}};
  InMemoryStore Store;
  AnswerableWorkers Workers;
  ListedMachines Machines;
  RowDecoder Rows = decoder();
  CallerCodec Codec;
  JobMetrics Count;
  Context Ctx{Settings,  Loop, Client, Store, Workers,
              &Machines, Rows, Codec,  Count, "1"};
  /// Accessed on the loop's thread only.
  std::shared_ptr<PoolController> Controller;
  /// Entries asked to give no more orders. Accessed on the loop's thread only.
  std::set<std::string> AskedToStop;
  bool IsTableRead = false;
  bool LostPool = false;
  FleetView View{Ctx, [this](ViewChange) {
                   if (Controller && Controller->isLoaded())
                     Controller->refresh();
                 }};
  TableFollower Jobs{
      Loop,
      Store,
      {rows::Jobs, {}, PollEvery, [] { return rows::jobParts(); }},
      {nullptr, [](const store::PartRow &) {}, nullptr}};
  JobTableReader JobTable{Loop, Store};

  /// \p SettledToken is the value of the row that names the settled owner; an
  /// empty one stands for no row.
  explicit ControllerFixture(const std::string &SettledToken = "",
                             bool KeepsBack = false,
                             const std::string &FirstRow = "") {
    Workers.KeepsBack = KeepsBack;
    if (!SettledToken.empty())
      Store.put({rows::Progress, rows::poolPart("p"), rows::SettledKey},
                SettledToken);
    Store.put({"servers", "", "w1"}, FirstRow);
    Loop.start();
    on([this] {
      View.start();
      View.followWorkersClosely(true);
    });
    on([this] {
      View.whenWorkersRead([this] {
        PoolTakeover Takeover{
            "p", 5, bootNow(), {{{"e1", 3}, {"e2", 4}}, true}};
        Controller = std::make_shared<PoolController>(
            Ctx, View, Jobs, JobTable, Takeover,
            [this](const std::string &Entry, const std::string &,
                   std::uint64_t Token,
                   const std::function<void(std::optional<core::Duration>)> &) {
              CHECK(Token == 5);
              AskedToStop.insert(Entry);
            },
            [this](const std::string &) { LostPool = true; });
        Controller->load([this](std::uint64_t) { IsTableRead = true; });
      });
    });
    waitUntil([this] { return Controller && Controller->isLoaded(); });
  }
  ~ControllerFixture() {
    on([this] { Controller->drop(); });
    Loop.stop();
    Client.stop();
  }

  static RowDecoder decoder() {
    RowDecoder Decoder;
    Decoder.OperatorTable = "op";
    Decoder.WorkerTable = "servers";
    Decoder.Operator = [](const store::PartRow &) { return OperatorRow(); };
    Decoder.WorkerWithoutHeartbeat = [](const std::string &Value) {
      return Value;
    };
    Decoder.Worker = [](const store::PartRow &Row) {
      jobs::WorkerEntry Entry;
      Entry.Id = Row.Where.Key;
      Entry.Pool = "p";
      Entry.Address = Row.Value;
      if (Row.Value.starts_with(BornPrefix))
        Entry.Born = std::stoll(Row.Value.substr(BornPrefix.size()));
      return Entry;
    };
    return Decoder;
  }
  void on(const std::function<void()> &Do) { runOn(Loop, Do); }
  void waitUntil(const std::function<bool()> &Condition) {
    tests::waitUntil(Loop, Condition);
  }
  bool isHeard(const std::string &Worker) const {
    return Controller->state().workers().at(Worker)->Heard;
  }
};

} // namespace

TEST_CASE("a worker that leaves the list after the takeover without having "
          "reported is looked up in the machine list") {
  ControllerFixture B;
  CHECK(B.Machines.Lists == 0);
  B.on([&] { CHECK_FALSE(B.isHeard("w1")); });
  B.Store.remove({"servers", "", "w1"});
  B.waitUntil([&] { return B.isHeard("w1"); });
  CHECK(B.Machines.Lists > 0);
}

TEST_CASE("a worker that one list of machines leaves out and the next one "
          "shows does not count as ended") {
  ControllerFixture B;
  B.Machines.OnlyFirstOmits = true;
  B.Store.remove({"servers", "", "w1"});
  B.waitUntil([&] { return B.Machines.Lists >= 3; });
  B.on([&] { CHECK_FALSE(B.isHeard("w1")); });
}

TEST_CASE(
    "a worker that is back after an upkeep gets nothing, since a late list "
    "of machines shows the upkeep") {
  ControllerFixture B("", false, "born 1");
  B.waitUntil([&] { return B.Workers.answer({}); });
  B.Machines.IsInUpkeep = true;
  B.Store.remove({"servers", "", "w1"});
  B.waitUntil([&] { return B.Machines.Lists > 0; });
  std::int64_t Born = 1;
  SUBCASE("in another incarnation") {
    Born = 2;
    B.Store.put({"servers", "", "w1"}, "born 2");
    B.waitUntil(
        [&] { return B.Controller->state().workers().at("w1")->Born == Born; });
  }
  SUBCASE("which goes on (control)") {}
  B.on([&] { B.Machines.answer(); });
  bool IsHeard = false;
  B.on([&] { IsHeard = B.isHeard("w1"); });
  CHECK(IsHeard == (Born == 1));
}

TEST_CASE("an owner requests no second report while the first request waits in "
          "its entry, and one once that has been sent and has no answer") {
  constexpr std::chrono::milliseconds Wait(700);
  ControllerFixture B("", true);
  B.waitUntil([&] { return B.Workers.requests() > 0; });
  std::this_thread::sleep_for(Wait);
  CHECK(B.Workers.requests() == 1);
  B.Workers.sendLast();
  std::this_thread::sleep_for(Wait);
  CHECK(B.Workers.requests() == 2);
}

TEST_CASE("a new owner asks the owners since the settled one to stop") {
  ControllerFixture B;
  std::set<std::string> Asked;
  B.on([&] { Asked = B.AskedToStop; });
  CHECK(Asked == std::set<std::string>{"e1", "e2"});
}

TEST_CASE("a new owner asks no owner before the settled one to stop") {
  ControllerFixture B("4");
  std::set<std::string> Asked;
  B.on([&] { Asked = B.AskedToStop; });
  CHECK(Asked == std::set<std::string>{"e2"});
}

TEST_CASE(
    "changes of jobs are followed from the read of the job table on, also "
    "while the pool's progress can't be read") {
  ControllerFixture B;
  B.waitUntil([&] { return B.IsTableRead; });
  B.Store.failReads(rows::Progress);
  bool IsRead = false;
  std::shared_ptr<PoolController> Other;
  B.on([&] {
    Other = std::make_shared<PoolController>(
        B.Ctx, B.View, B.Jobs, B.JobTable, PoolTakeover{"q", 6, bootNow(), {}},
        StopQuery(), [](const std::string &) {});
    Other->load([&](std::uint64_t) { IsRead = true; });
  });
  B.waitUntil([&] { return IsRead; });
  B.on([&] {
    CHECK_FALSE(Other->isLoaded());
    Other->drop();
  });
}

// A transaction whose answer was lost is sent again; the store then refuses the
// second one.
TEST_CASE("an owner keeps its pool when the store has applied a write whose "
          "answer was lost") {
  ControllerFixture B;
  jobs::JobSpec Spec;
  Spec.Id = "0000000000000001";
  Spec.Pool = "p";
  Spec.Steps.resize(1);
  Spec.AcceptedMs = wallMs();
  B.Store.repeatCommits({rows::Control, rows::poolPart("p"), rows::OwnerKey}, 5,
                        {rows::Progress, rows::poolPart("p"), rows::ChainKey});
  B.on([&] {
    B.Controller->addJob(Spec);
    B.Controller->cancelJob(Spec.Id);
    B.Controller->schedulePlan();
  });
  B.waitUntil([&] {
    const jobs::JobRecord *Job = B.Controller->state().findJob(Spec.Id);
    return Job && Job->Stored == jobs::JobState::Cancelled;
  });
  B.on([&] { CHECK_FALSE(B.LostPool); });
}

namespace {

/// Rows of one-task jobs of pool "p" that were accepted an hour ago.
struct OldJobs {
  static constexpr std::int64_t HourMs = 3600000;
  std::int64_t AcceptedMs = wallMs() - HourMs;

  store::PartRow row(const std::string &Id) const {
    jobs::JobSpec Spec;
    Spec.Id = Id;
    Spec.Pool = "p";
    Spec.Steps.resize(1);
    Spec.AcceptedMs = AcceptedMs;
    return {{rows::Jobs, rows::jobPart(Id), Id}, codec::encodeJob(Spec), 1};
  }
};

/// Has the job end and waits until the owner has forgotten it.
void finishAndForget(ControllerFixture &B, const store::PartRow &Job) {
  const std::string &Id = Job.Where.Key;
  B.on([&] {
    B.Controller->applyJobRow(Job);
    REQUIRE(B.Controller->state().findJob(Id));
    B.Controller->cancelJob(Id);
  });
  B.waitUntil([&] { return !B.Controller->state().findJob(Id); });
}

/// Waits until the job \p Until is known; returns whether the job \p Id was
/// open in the meantime.
bool isOpened(ControllerFixture &B, const std::string &Id,
              const std::string &Until) {
  bool IsOpen = false;
  B.waitUntil([&] {
    const jobs::JobRecord *Job = B.Controller->state().findJob(Id);
    IsOpen = IsOpen || (Job && !jobs::isFinal(Job->Now));
    return B.Controller->state().findJob(Until) != nullptr;
  });
  return IsOpen;
}

} // namespace

// A full read of the job table, as after a loss of the change history, lists
// jobs that the owner has forgotten.
TEST_CASE(
    "a finished job that the owner has forgotten doesn't start again when "
    "its row is read again") {
  ControllerFixture B;
  OldJobs Jobs;
  store::PartRow Finished = Jobs.row("0000000000000001");
  store::PartRow Unknown = Jobs.row("0000000000000002");
  finishAndForget(B, Finished);
  B.on([&] {
    B.Controller->applyJobRow(Finished);
    B.Controller->applyJobRow(Unknown);
  });
  // An old job without stored progress has never been run.
  CHECK_FALSE(isOpened(B, Finished.Where.Key, Unknown.Where.Key));
}

TEST_CASE("a job that is cancelled while its stored progress is looked up "
          "doesn't start") {
  ControllerFixture B;
  OldJobs Jobs;
  store::PartRow Cancelled = Jobs.row("0000000000000002");
  store::PartRow Other = Jobs.row("0000000000000003");
  finishAndForget(B, Jobs.row("0000000000000001"));
  B.on([&] {
    B.Controller->applyJobRow(Cancelled);
    B.Controller->applyJobRow(Other);
    B.Controller->cancelJob(Cancelled.Where.Key);
  });
  CHECK_FALSE(isOpened(B, Cancelled.Where.Key, Other.Where.Key));
}

// The store refused the job's progress as too long, and the owner repeated the
// same batch for ever.
TEST_CASE("a job of 3,000 tasks that save their state doesn't stop a pool's "
          "record of ends") {
  constexpr std::uint32_t Tasks = 3000;
  ControllerFixture B;
  jobs::JobSpec Spec;
  Spec.Id = "0000000000000001";
  Spec.Pool = "p";
  Spec.Steps.resize(1);
  Spec.Steps[0].Tasks = Tasks;
  Spec.Steps[0].Checkpoints = true;
  Spec.AcceptedMs = wallMs();
  jobs::ReportResult Result;
  Result.Outcome = jobs::OrderOutcome::Accepted;
  Result.Report.ClockMs = 1000;
  for (std::uint32_t T = 1; T < Tasks; ++T)
    Result.Report.Running.push_back(
        {{Spec.Id, 0, 0, T}, T, "0123456789abcdef", 50, 0});
  Result.Report.Ended.push_back(
      {1, {Spec.Id, 0, 0, 0}, Tasks, jobs::RunEnd::Done, ""});
  B.on([&] { B.Controller->addJob(Spec); });
  B.waitUntil([&] { return B.Workers.answer(Result); });
  // A batch after the one with the end has all checkpoints.
  Result.Report.Ended = {{2, {Spec.Id, 0, 0, 1}, 1, jobs::RunEnd::Done, ""}};
  Result.Report.Running.erase(Result.Report.Running.begin());
  B.waitUntil([&] { return B.Workers.answer(Result); });
  B.waitUntil([&] {
    return B.Controller->state().workers().at("w1")->StoredUpTo == 2;
  });
  std::shared_ptr<PoolController> Next;
  B.on([&] {
    Next = std::make_shared<PoolController>(
        B.Ctx, B.View, B.Jobs, B.JobTable, PoolTakeover{"p", 6, bootNow(), {}},
        StopQuery(), [](const std::string &) {});
    B.Store.put({rows::Jobs, rows::jobPart(Spec.Id), Spec.Id},
                codec::encodeJob(Spec));
    Next->load([](std::uint64_t) {});
  });
  B.waitUntil([&] { return Next->isLoaded(); });
  B.on([&] {
    const jobs::JobRecord *Job = Next->state().findJob(Spec.Id);
    REQUIRE(Job);
    CHECK(Job->Tasks[0].Kept.Done);
    CHECK(Job->Tasks[1].Kept.Done);
    CHECK(Job->Tasks[Tasks - 1].Kept.Checkpoint == "0123456789abcdef");
    Next->drop();
  });
}

namespace {

/// Two one-task jobs of pool "p" whose tasks end on worker w1, first that of
/// the second job.
struct TwoEndedJobs {
  static constexpr const char *First = "0000000000000001";
  static constexpr const char *Second = "0000000000000002";
  ControllerFixture &B;

  explicit TwoEndedJobs(ControllerFixture &Fixture) : B(Fixture) {
    B.on([&] {
      for (const char *Id : {First, Second}) {
        jobs::JobSpec Spec;
        Spec.Id = Id;
        Spec.Pool = "p";
        Spec.Steps.resize(1);
        Spec.AcceptedMs = wallMs();
        B.Controller->addJob(Spec);
      }
    });
  }
  static store::PartKey rowOf(const std::string &Key) {
    return {rows::Progress, rows::poolPart("p"), Key};
  }
  void end() {
    jobs::ReportResult Result;
    Result.Outcome = jobs::OrderOutcome::Accepted;
    Result.Report.ClockMs = 1000;
    Result.Report.Ended = {{1, {Second, 0, 0, 0}, 1, jobs::RunEnd::Done, ""},
                           {2, {First, 0, 0, 0}, 2, jobs::RunEnd::Done, ""}};
    B.waitUntil([&] { return B.Workers.answer(Result); });
  }
  bool isShownCompleted(const char *Id) const {
    const jobs::JobRecord *Job = B.Controller->state().findJob(Id);
    return Job &&
           jobs::PoolState::shownState(*Job) == jobs::JobState::Completed;
  }
  std::uint64_t storedUpTo() const {
    return B.Controller->state().workers().at("w1")->StoredUpTo;
  }
  /// Adds worker w2 and waits until it is in the stored roster.
  void enrolAnother() {
    B.Store.put({"servers", "", "w2"}, "127.0.0.1:2");
    B.waitUntil([&] {
      auto At = B.Controller->state().workers().find("w2");
      return At != B.Controller->state().workers().end() &&
             At->second->Enrolled;
    });
  }
  std::string metrics() const { return B.Count.text(); }
};

} // namespace

TEST_CASE("a job whose progress the store refuses for good doesn't stop the "
          "pool's record of ends and its enrolment of workers") {
  ControllerFixture B;
  TwoEndedJobs Jobs(B);
  B.Store.refuseRow(TwoEndedJobs::rowOf(TwoEndedJobs::First));
  Jobs.end();
  B.waitUntil([&] { return Jobs.isShownCompleted(TwoEndedJobs::Second); });
  Jobs.enrolAnother();
  B.on([&] {
    CHECK_FALSE(Jobs.isShownCompleted(TwoEndedJobs::First));
    CHECK(Jobs.storedUpTo() == 1);
  });
  CHECK(Jobs.metrics().find(
            "comfreydeck_job_refused_rows_total{kind=\"job\"} 1") !=
        std::string::npos);
  B.Store.acceptAllRows();
  B.waitUntil([&] { return Jobs.isShownCompleted(TwoEndedJobs::First); });
  B.on([&] { CHECK(Jobs.storedUpTo() == 2); });
}

TEST_CASE("a worker whose roster row the store refuses for good doesn't stop "
          "the pool's record of ends, and is enrolled once it is accepted") {
  ControllerFixture B;
  TwoEndedJobs Jobs(B);
  B.Store.refuseRow(
      TwoEndedJobs::rowOf(std::string(rows::RosterPrefix) + "w2"));
  B.Store.put({"servers", "", "w2"}, "127.0.0.1:2");
  B.waitUntil([&] { return B.Controller->state().workers().count("w2") != 0; });
  B.on([&] { B.Controller->cancelJob(TwoEndedJobs::Second); });
  B.waitUntil([&] {
    const jobs::JobRecord *Job =
        B.Controller->state().findJob(TwoEndedJobs::Second);
    return jobs::isFinal(Job->Stored);
  });
  B.on(
      [&] { CHECK_FALSE(B.Controller->state().workers().at("w2")->Enrolled); });
  B.Store.acceptAllRows();
  Jobs.enrolAnother();
}

TEST_CASE("a store that refuses every write of a pool gets few calls, and all "
          "rows once it accepts them") {
  constexpr std::chrono::milliseconds Refusing(2500);
  constexpr std::uint32_t MostCalls = 6;
  ControllerFixture B;
  TwoEndedJobs Jobs(B);
  B.Store.refuseRow(TwoEndedJobs::rowOf(rows::ChainKey));
  Jobs.end();
  B.waitUntil([&] { return B.Store.refusedCommits() > 0; });
  std::this_thread::sleep_for(Refusing);
  CHECK(B.Store.refusedCommits() <= MostCalls);
  B.on([&] { CHECK(Jobs.storedUpTo() == 0); });
  B.Store.acceptAllRows();
  B.waitUntil([&] {
    return Jobs.isShownCompleted(TwoEndedJobs::First) &&
           Jobs.isShownCompleted(TwoEndedJobs::Second);
  });
  CHECK(Jobs.metrics().find("comfreydeck_job_refused_rows_total{") ==
        std::string::npos);
}

namespace {

/// The owner of a pool on a store that loses commits.
struct LossMeasure {
  static constexpr std::uint32_t Rounds = 12;
  ControllerFixture B;
  std::vector<core::Duration> Ends;
  std::vector<core::Duration> Enrolments;

  explicit LossMeasure(const std::function<CommitFate(std::uint32_t)> &FateOf) {
    B.Store.loseCommits(B.Loop, FateOf);
  }
  /// Waits until the condition holds on the loop; returns how long that took.
  core::Duration timeUntil(const std::function<bool()> &Condition) {
    constexpr std::chrono::milliseconds Step(2);
    constexpr std::chrono::seconds WaitLimit(20);
    core::TimePoint Since = bootNow();
    bool Holds = false;
    while (!Holds) {
      REQUIRE(bootNow() - Since < WaitLimit);
      B.on([&] { Holds = Condition(); });
      if (!Holds)
        std::this_thread::sleep_for(Step);
    }
    return bootNow() - Since;
  }
  bool hasRow(const std::string &Key) const {
    return B.Store.find({rows::Progress, rows::poolPart("p"), Key}).has_value();
  }
  /// Ends a job and enrols a worker in each round, and checks that neither is
  /// acknowledged before its row is in the store.
  void play() {
    constexpr std::uint32_t FirstId = 100;
    for (std::uint32_t N = 0; N < Rounds; ++N) {
      jobs::JobSpec Spec;
      Spec.Id = "0000000000000" + std::to_string(FirstId + N);
      Spec.Pool = "p";
      Spec.Steps.resize(1);
      Spec.AcceptedMs = wallMs();
      B.on([&] {
        B.Controller->addJob(Spec);
        B.Controller->cancelJob(Spec.Id);
      });
      Ends.push_back(timeUntil([&] {
        const jobs::JobRecord *Job = B.Controller->state().findJob(Spec.Id);
        bool IsStored = Job && Job->Stored == jobs::JobState::Cancelled;
        if (IsStored)
          CHECK(hasRow(Spec.Id));
        return IsStored;
      }));
      std::string Worker = "x" + std::to_string(N);
      B.Store.put({"servers", "", Worker}, "127.0.0.1:2");
      Enrolments.push_back(timeUntil([&] {
        auto At = B.Controller->state().workers().find(Worker);
        bool IsEnrolled =
            At != B.Controller->state().workers().end() && At->second->Enrolled;
        if (IsEnrolled)
          CHECK(hasRow(rows::RosterPrefix + Worker));
        return IsEnrolled;
      }));
    }
    B.on([&] { CHECK_FALSE(B.LostPool); });
    print("ends", Ends);
    print("enrolments", Enrolments);
  }
  static void print(const std::string &What,
                    std::vector<core::Duration> Times) {
    std::sort(Times.begin(), Times.end());
    MESSAGE(What << " stored after, in ms: median "
                 << core::inMs(Times[Times.size() / 2]) << ", most "
                 << core::inMs(Times.back()));
  }
};

} // namespace

// The pool's ends and roster rows waited for the time limit of each write
// without an answer.
TEST_CASE("a write without an answer holds up the pool's record for its time "
          "limit") {
  // Three in ten, and all attempts of some batches.
  LossMeasure Lossy([](std::uint32_t N) {
    constexpr CommitFate Fates[] = {
        CommitFate::Answered, CommitFate::Done,     CommitFate::Answered,
        CommitFate::Answered, CommitFate::Late,     CommitFate::Answered,
        CommitFate::Answered, CommitFate::NotDone,  CommitFate::Late,
        CommitFate::Answered, CommitFate::Answered, CommitFate::Answered,
        CommitFate::Answered};
    return Fates[N % std::size(Fates)];
  });
  Lossy.play();
  LostCommits Lost = Lossy.B.Store.lostCommits();
  MESSAGE("commits " << Lost.Commits << ", unanswered " << Lost.Unanswered
                     << ", repeated while open " << Lost.RepeatedWhileOpen);
  CHECK(Lost.Unanswered > 0);
  CHECK(Lost.RepeatedWhileOpen == Lost.Unanswered);
}

TEST_CASE("a write that is done late, after the one that repeats it, changes "
          "nothing") {
  LossMeasure Late([](std::uint32_t N) {
    return N % 2 == 1 ? CommitFate::Late : CommitFate::Answered;
  });
  Late.play();
  Late.B.waitUntil([&] {
    LostCommits Lost = Late.B.Store.lostCommits();
    return Lost.LateApplied + Lost.LateRefused == Lost.Unanswered;
  });
  CHECK(Late.B.Store.lostCommits().LateApplied == 0);
}

namespace {

/// Loads another owner of pool "p" with the job of the row in the job table.
struct NextOwner {
  ControllerFixture &B;
  std::shared_ptr<PoolController> Owner;

  NextOwner(ControllerFixture &Fixture, const store::PartRow &Job,
            const std::string &Progress)
      : B(Fixture) {
    B.Store.put(Job.Where, Job.Value);
    if (!Progress.empty())
      B.Store.put(progressKey(Job.Where.Key), Progress);
    B.on([&] {
      Owner = std::make_shared<PoolController>(
          B.Ctx, B.View, B.Jobs, B.JobTable,
          PoolTakeover{"p", 6, bootNow(), {}}, StopQuery(),
          [](const std::string &) {});
      Owner->load([](std::uint64_t) {});
    });
    B.waitUntil([this] { return Owner->isLoaded(); });
  }
  ~NextOwner() {
    B.on([this] { Owner->drop(); });
  }
  static store::PartKey progressKey(const std::string &Id) {
    return {rows::Progress, rows::poolPart("p"), Id};
  }
  /// The number of its jobs that are not applied for the reason.
  std::uint64_t unapplied(UnappliedReason Reason) {
    std::uint64_t Count = 0;
    B.on([&] {
      Count = Owner->unapplied()
                  .stats(bootNow())
                  .Jobs[static_cast<std::size_t>(Reason)];
    });
    return Count;
  }
};

/// Of a job whose row or progress a later version of the program has written.
constexpr const char *UnreadableId = "0000000000000001";
constexpr const char *UnreadableJob = R"({"id":7,"pool":"p"})";
constexpr const char *UnreadableProgress = R"({"state":"running"})";

} // namespace

TEST_CASE("a job whose row or progress a new owner can't read is in none of "
          "its pool's figures") {
  OldJobs Jobs;
  store::PartRow Row = Jobs.row(UnreadableId);
  SUBCASE("its row") {
    ControllerFixture B;
    Row.Value = UnreadableJob;
    NextOwner Next(B, Row, "");
    CHECK(Next.unapplied(UnappliedReason::JobRow) == 1);
  }
  SUBCASE("its progress") {
    ControllerFixture B;
    NextOwner Next(B, Row, UnreadableProgress);
    CHECK(Next.unapplied(UnappliedReason::ProgressRow) == 1);
  }
}

TEST_CASE("a job whose row a new owner can't read is in its pool, with its "
          "progress, soon after it can be read") {
  ControllerFixture B;
  store::PartRow Row = OldJobs{wallMs()}.row(UnreadableId);
  store::PartRow Unreadable = Row;
  Unreadable.Value = UnreadableJob;
  NextOwner Next(B, Unreadable, R"({"state":1,"done":"1"})");
  B.on([&] { CHECK_FALSE(Next.Owner->state().findJob(UnreadableId)); });
  bool IsCancelled = false;
  SUBCASE("as it was") {}
  SUBCASE("and cancelled meanwhile") {
    IsCancelled = true;
    B.on([&] { Next.Owner->cancelJob(UnreadableId); });
  }
  B.Store.put(Row.Where, Row.Value);
  B.waitUntil([&] { return Next.Owner->state().findJob(UnreadableId); });
  B.on([&] {
    const jobs::JobRecord *Job = Next.Owner->state().findJob(UnreadableId);
    CHECK(Job->Tasks[0].Kept.Done);
    CHECK((Job->Now == jobs::JobState::Cancelled) == IsCancelled);
  });
  CHECK(Next.unapplied(UnappliedReason::JobRow) == 0);
}

TEST_CASE("a job whose progress can't be read does not count as never run") {
  ControllerFixture B;
  SUBCASE("at a takeover") {
    NextOwner Next(B, OldJobs().row(UnreadableId), UnreadableProgress);
    B.on([&] {
      const jobs::JobRecord *Job = Next.Owner->state().findJob(UnreadableId);
      REQUIRE(Job);
      CHECK(Job->ProgressUnread);
    });
    B.Store.put(NextOwner::progressKey(UnreadableId),
                R"({"state":1,"done":"1"})");
    B.waitUntil([&] {
      return !Next.Owner->state().findJob(UnreadableId)->ProgressUnread;
    });
    B.on([&] {
      CHECK(Next.Owner->state().findJob(UnreadableId)->Tasks[0].Kept.Done);
    });
    CHECK(Next.unapplied(UnappliedReason::ProgressRow) == 0);
  }
  SUBCASE("when it is looked up") {
    OldJobs Jobs;
    finishAndForget(B, Jobs.row("0000000000000002"));
    B.Store.put(NextOwner::progressKey(UnreadableId), UnreadableProgress);
    B.on([&] { B.Controller->applyJobRow(Jobs.row(UnreadableId)); });
    B.waitUntil([&] { return B.Controller->state().findJob(UnreadableId); });
    B.on([&] {
      CHECK(B.Controller->state().findJob(UnreadableId)->ProgressUnread);
    });
  }
}

TEST_CASE("jobs that can't be read are read again ever more rarely, a few at a "
          "time") {
  constexpr std::size_t Most = 4;
  constexpr std::uint32_t Jobs = 10;
  UnappliedJobs Unapplied;
  core::TimePoint Now{};
  for (std::uint32_t Job = 0; Job < Jobs; ++Job)
    Unapplied.add(std::to_string(Job), UnappliedReason::JobRow, "", Now);
  CHECK(Unapplied.takeDue(Now, Most).empty());
  core::Duration Longest{0};
  std::map<std::string, core::TimePoint> TriedAt;
  for (int Round = 0; Round < 400; ++Round) {
    Now += std::chrono::milliseconds(100);
    std::vector<std::string> Due = Unapplied.takeDue(Now, Most);
    CHECK(Due.size() <= Most);
    for (const std::string &Id : Due) {
      if (TriedAt.count(Id) != 0)
        Longest = std::max<core::Duration>(Longest, Now - TriedAt[Id]);
      TriedAt[Id] = Now;
      Unapplied.add(Id, UnappliedReason::JobRow, "", Now);
    }
  }
  CHECK(TriedAt.size() == Jobs);
  CHECK(Longest >= std::chrono::milliseconds(3000));
  CHECK(Longest <= std::chrono::milliseconds(3300));
  CHECK(Unapplied.takeDue(Now + std::chrono::seconds(9), Jobs).size() == Jobs);
  CHECK(Unapplied.takeDue(Now + std::chrono::seconds(9), Jobs).empty());
}
