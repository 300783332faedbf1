#include "entry/PoolWire_p.h"

#include <algorithm>

namespace comfreydeck::entry::detail {

namespace {

using namespace cluster;

/// Maximum validity of a grant made by another entry.
constexpr core::Duration GrantValidity = std::chrono::seconds(3);

std::uint64_t toMicroseconds(core::Duration D) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(D.count(), 0));
}

core::Duration toDuration(std::uint64_t Us) {
  return core::Duration(static_cast<std::int64_t>(Us));
}

} // namespace

void fill(wire::DemandMessage &Out, const core::Demand &D,
          core::TimePoint Now) {
  Out.set_from_incarnation(D.Id.From.Value);
  Out.set_number(D.Id.Number);
  Out.set_team(D.Team.Value);
  Out.set_queue(D.Queue.Value);
  Out.mutable_size()->set_milli_cpus(D.Size.MilliCpus);
  Out.mutable_size()->set_memory_mb(D.Size.MemoryMb);
  Out.mutable_size()->set_accelerators(D.Size.Accelerators);
  Out.set_run_us(toMicroseconds(D.Run));
  Out.set_urgent(D.Urgent);
  if (D.Deadline)
    Out.set_deadline_in_us(
        std::max<std::uint64_t>(toMicroseconds(*D.Deadline - Now), 1));
  Out.set_waited_us(toMicroseconds(Now - D.Arrived));
}

core::Demand demandFrom(const wire::DemandMessage &In, core::TimePoint Now) {
  core::Demand D;
  D.Id.From.Value = In.from_incarnation();
  D.Id.Number = In.number();
  D.Team.Value = In.team();
  D.Queue.Value = In.queue();
  D.Size = {In.size().milli_cpus(), In.size().memory_mb(),
            In.size().accelerators()};
  D.Run = toDuration(In.run_us());
  D.Urgent = In.urgent();
  D.Arrived = Now - toDuration(In.waited_us());
  if (In.deadline_in_us() > 0)
    D.Deadline = Now + toDuration(In.deadline_in_us());
  return D;
}

void fill(wire::RunningMessage &Out, const core::RunningTask &Task,
          core::TimePoint Now) {
  core::Demand D;
  D.Id = Task.Id;
  D.Team = Task.Team;
  D.Queue = Task.Queue;
  D.Size = Task.Size;
  D.Run = Task.Run;
  D.Urgent = Task.Urgent;
  D.Arrived = Now;
  fill(*Out.mutable_demand(), D, Now);
  Out.set_worker(Task.Worker.Value);
  Out.set_running_us(toMicroseconds(Now - Task.Started));
}

core::RunningTask runningFrom(const wire::RunningMessage &In,
                              core::TimePoint Now) {
  core::Demand D = demandFrom(In.demand(), Now);
  core::RunningTask Task;
  Task.Id = D.Id;
  Task.Team = D.Team;
  Task.Worker.Value = In.worker();
  Task.Size = D.Size;
  Task.Started = Now - toDuration(In.running_us());
  Task.Queue = D.Queue;
  Task.Run = D.Run;
  Task.NotAfter = Now + GrantValidity;
  Task.Urgent = D.Urgent;
  return Task;
}

wire::AcquireReply replyOf(const AcquireResult &Result, core::TimePoint Now) {
  wire::AcquireReply Reply;
  Reply.set_granted(Result.Refused == core::Reason::None);
  Reply.set_refusal_reason(static_cast<std::uint32_t>(Result.Refused));
  Reply.set_worker(Result.Worker.Value);
  Reply.set_worker_address(Result.WorkerAddress);
  Reply.set_valid_for_us(toMicroseconds(Result.SendBy - Now));
  Reply.set_not_after_worker_ms(Result.NotAfterWorkerMs);
  return Reply;
}

AcquireResult resultFrom(const wire::AcquireReply &Reply, core::TimePoint Now) {
  AcquireResult Result;
  bool IsKnown =
      Reply.refusal_reason() < static_cast<std::uint32_t>(core::Reason::Count);
  Result.Refused = IsKnown ? static_cast<core::Reason>(Reply.refusal_reason())
                           : core::Reason::NoOwner;
  Result.Worker.Value = Reply.worker();
  Result.WorkerAddress = Reply.worker_address();
  // SendBy ignores the answer's transit time; NotAfterWorkerMs accounts for it.
  Result.SendBy = Now + toDuration(Reply.valid_for_us());
  Result.NotAfterWorkerMs = Reply.not_after_worker_ms();
  return Result;
}

void fill(wire::ReleasedDemand &Out, core::DemandId Id, const DemandEnd &End) {
  Out.set_from_incarnation(Id.From.Value);
  Out.set_number(Id.Number);
  Out.set_ending(static_cast<std::uint32_t>(End.Outcome));
  Out.set_ran_us(toMicroseconds(End.Ran));
  Out.set_target_failed(End.TargetFailed);
}

DemandEnd endFrom(const wire::ReleasedDemand &In) {
  // An unrecognized value counts as an unknown end.
  DemandOutcome Outcome =
      In.ending() > static_cast<std::uint32_t>(DemandOutcome::Unknown)
          ? DemandOutcome::Unknown
          : static_cast<DemandOutcome>(In.ending());
  return {Outcome, toDuration(In.ran_us()), In.target_failed()};
}

} // namespace comfreydeck::entry::detail
