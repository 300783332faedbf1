#ifndef COMFREYDECK_JOBS_KEPTPLACE_H
#define COMFREYDECK_JOBS_KEPTPLACE_H

#include "jobs/Worker.h"

namespace comfreydeck::jobs {

/// The next place of a lasting task that leaves its worker or has no run. It
/// is kept in memory only: the next owner seeks places anew.
struct KeptPlace {
  /// Worker on which room is kept; empty if there is none yet.
  std::string Worker;
  core::Resources Need;
  /// Since when the task's step lets it leave, or since when it has no run.
  core::TimePoint WantedSince;
  core::TimePoint KeptSince;
  /// Its step lets the task leave next; else others of the step go before.
  bool InTurn = true;
  /// Some usable worker could hold the task if its short runs ended.
  bool Suits = false;
  /// The worker has room for it now.
  bool HasRoom = false;
};

/// What became of the room that was kept for a task, for logs.
enum class PlaceChange : std::uint8_t {
  Kept,
  /// The task has started.
  Taken,
  /// Its worker takes no starts any more, or can't hold the task.
  WorkerLost,
  /// Another worker had room sooner.
  FoundSooner,
  /// The task stays, has ended or may not start.
  NotNeeded,
};

const char *nameOf(PlaceChange Change);

struct PlaceEvent {
  TaskRef Task;
  std::string Worker;
  PlaceChange Change = PlaceChange::Kept;
  /// Time for which the room has been kept.
  core::Duration Kept{0};
  /// Time for which a place has been wanted.
  core::Duration Wanted{0};
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_JOBS_KEPTPLACE_H
