#ifndef COMFREYDECK_TESTS_JOBS_CRASHFIXTURE_H
#define COMFREYDECK_TESTS_JOBS_CRASHFIXTURE_H

#include "jobs/JobSamples.h"

#include <algorithm>

namespace comfreydeck::jobs {

/// An owner whose workers accept every start and answer every report. The test
/// crashes them.
struct CrashFixture {
  OwnerFixture B;
  std::map<std::string, std::int64_t> Born;
  std::map<std::string, std::vector<StartOrder>> Running;
  /// Workers that give no answer.
  std::set<std::string> Silent;
  bool Stores = true;
  /// From one start of a worker to the next; negative as its clock goes back.
  std::int64_t BirthStep = 1;
  std::uint32_t Writes = 0;
  std::vector<StartOrder> LastStarts;

  explicit CrashFixture(std::vector<std::string> Ids, std::uint64_t Token = 7)
      : B(Token) {
    B.advance(std::chrono::seconds(10));
    B.listWorkers(Ids);
    for (const std::string &Id : Ids)
      Born[Id] = 1;
  }

  void report(const std::string &Worker) {
    HoldOrder Order;
    Order.Worker = Worker;
    ReportResult Result;
    if (Silent.count(Worker) == 0) {
      Result.Outcome = OrderOutcome::Accepted;
      Result.Report = {B.clockMs(), Born[Worker], {}, {}};
      for (const StartOrder &Start : Running[Worker])
        Result.Report.Running.push_back(runReportOf(Start, 50));
    }
    B.Owner.onReport(Order, Result, B.Now, B.Now);
  }

  /// Stores what has changed; returns what was stored of the job.
  std::optional<JobProgress> store(const std::string &Id) {
    std::optional<JobProgress> Stored;
    for (;;) {
      ProgressBatch Batch = B.Owner.takeChanges(10);
      if (Batch.isEmpty())
        return Stored;
      for (const ProgressWrite &Write : Batch.Writes) {
        ++Writes;
        if (Write.JobId == Id)
          Stored = Write.Progress;
      }
      B.Owner.onStored(Batch.Mark);
    }
  }

  void turn(milliseconds Time = milliseconds(100)) {
    B.advance(Time);
    Orders Out = B.plan();
    LastStarts = Out.Starts;
    for (const StartOrder &Start : Out.Starts) {
      Running[Start.Worker].push_back(Start);
      B.answer(Start, OrderOutcome::Accepted);
    }
    if (Stores)
      store("");
    for (const HoldOrder &Hold : Out.Holds)
      report(Hold.Worker);
  }

  /// Turns until the task has a run, for at most \p Most; returns its worker.
  std::string workerOf(const TaskRef &Task,
                       milliseconds Most = milliseconds(3000)) {
    for (milliseconds Passed(0); Passed <= Most; Passed += milliseconds(100)) {
      for (const auto &[Id, Starts] : Running)
        for (const StartOrder &Start : Starts)
          if (Start.Task == Task)
            return Id;
      turn();
    }
    return "";
  }

  void crash(const std::string &Worker) {
    Running[Worker].clear();
    Born[Worker] += BirthStep;
    listBirths();
  }

  void listBirths() {
    for (WorkerEntry &Entry : B.Entries)
      Entry.Born = Born[Entry.Id];
    B.Owner.setWorkers(B.Entries, B.Now);
  }

  void list(const std::vector<std::string> &Ids) {
    std::vector<WorkerEntry> Entries;
    for (const WorkerEntry &Entry : B.Entries)
      if (std::count(Ids.begin(), Ids.end(), Entry.Id) != 0)
        Entries.push_back(Entry);
    B.Owner.setWorkers(Entries, B.Now);
  }

  void finish(const TaskRef &Task) {
    for (auto &[Id, Starts] : Running)
      for (std::size_t N = 0; N < Starts.size(); ++N)
        if (Starts[N].Task == Task) {
          EndReport End =
              endReportOf(++Ends, Task, Starts[N].Run, RunEnd::Done);
          Starts.erase(Starts.begin() + static_cast<std::ptrdiff_t>(N));
          HoldOrder Order;
          Order.Worker = Id;
          ReportResult Result;
          Result.Outcome = OrderOutcome::Accepted;
          Result.Report = {B.clockMs(), Born[Id], {}, {End}};
          for (const StartOrder &Start : Starts)
            Result.Report.Running.push_back(runReportOf(Start, 50));
          B.Owner.onReport(Order, Result, B.Now, B.Now);
          return;
        }
  }

  const JobRecord &job(unsigned Number) {
    return *B.Owner.findJob(jobId(Number));
  }
  std::size_t crashes(unsigned Number, std::uint32_t Task = 0) {
    return PoolState::countCrashes(job(Number), Task);
  }

  std::uint64_t Ends = 0;
};

inline TaskRef taskOf(unsigned Job, std::uint32_t Index = 0) {
  return {jobId(Job), 0, 0, Index};
}

inline const std::vector<std::string> FourWorkers = {"w1", "w2", "w3", "w4"};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_TESTS_JOBS_CRASHFIXTURE_H
