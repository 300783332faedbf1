#include "jobs/HistoryDigest.h"

namespace comfreydeck::jobs {

void HistoryDigest::add(std::uint64_t Number) {
  constexpr std::uint64_t Prime = 0x100000001b3;
  for (int Byte = 0; Byte < 8; ++Byte) {
    Value_ ^= (Number >> (8 * Byte)) & 0xff;
    Value_ *= Prime;
  }
}

void HistoryDigest::add(std::string_view Text) {
  add(std::uint64_t{Text.size()});
  for (char C : Text)
    add(std::uint64_t{static_cast<unsigned char>(C)});
}

void HistoryDigest::add(const TaskRef &Task) {
  add(std::string_view(Task.JobId));
  add(std::uint64_t{Task.Occurrence});
  add(std::uint64_t{Task.Step});
  add(std::uint64_t{Task.Index});
}

void HistoryDigest::add(const AnnouncedRun &Run) {
  add(Run.Run);
  add(std::string_view(Run.Worker));
  add(static_cast<std::uint64_t>(Run.Born));
  add(static_cast<std::uint64_t>(Run.Waited.count()));
}

void HistoryDigest::add(const TaskProgress &Task) {
  add(std::uint64_t{Task.Done});
  add(std::uint64_t{Task.FailedRuns.size()});
  for (RunId Run : Task.FailedRuns)
    add(Run);
  add(std::uint64_t{Task.CrashedRuns.size()});
  for (RunId Run : Task.CrashedRuns)
    add(Run);
  add(std::uint64_t{Task.Announced.has_value()});
  if (Task.Announced)
    add(*Task.Announced);
  add(std::uint64_t{Task.Unsettled.size()});
  for (const AnnouncedRun &Run : Task.Unsettled)
    add(Run);
  add(std::string_view(Task.Checkpoint));
}

void HistoryDigest::add(const WorkerEntry &Entry) {
  add(std::string_view(Entry.Id));
  add(std::string_view(Entry.Address));
  add(static_cast<std::uint64_t>(Entry.Born));
}

void HistoryDigest::add(const Orders &Out) {
  add(std::uint64_t{Out.Starts.size()});
  for (const StartOrder &Order : Out.Starts) {
    add(std::string_view(Order.Worker));
    add(Order.Task);
    add(Order.Run);
    add(std::string_view(Order.Payload));
    add(std::string_view(Order.Checkpoint));
    add(std::string_view(Order.Ticket));
    add(static_cast<std::uint64_t>(Order.DeadlineMs));
    add(Order.Fence);
  }
  add(std::uint64_t{Out.Stops.size()});
  for (const StopOrder &Order : Out.Stops) {
    add(std::string_view(Order.Worker));
    add(Order.Task);
    add(Order.Run);
    add(Order.Fence);
  }
  add(std::uint64_t{Out.Holds.size()});
  for (const HoldOrder &Order : Out.Holds) {
    add(std::string_view(Order.Worker));
    add(static_cast<std::uint64_t>(Order.DeadlineMs));
    add(Order.AcknowledgeUpTo);
    add(static_cast<std::uint64_t>(Order.Wait.count()));
    add(Order.Fence);
    add(Order.Number);
  }
  add(std::uint64_t{Out.StartsBounded});
}

void HistoryDigest::add(const ProgressBatch &Batch) {
  add(Batch.Mark);
  add(std::uint64_t{Batch.Writes.size()});
  for (const ProgressWrite &Write : Batch.Writes) {
    add(std::string_view(Write.JobId));
    add(static_cast<std::uint64_t>(Write.Progress.State));
    add(std::uint64_t{Write.Progress.Tasks.size()});
    for (const TaskProgress &Task : Write.Progress.Tasks)
      add(Task);
  }
  add(std::uint64_t{Batch.Enrolled.size()});
  for (const WorkerEntry &Entry : Batch.Enrolled)
    add(Entry);
  add(std::uint64_t{Batch.Unenrolled.size()});
  for (const std::string &Id : Batch.Unenrolled)
    add(std::string_view(Id));
  add(std::uint64_t{Batch.Settled});
}

} // namespace comfreydeck::jobs
