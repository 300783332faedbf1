#ifndef COMFREYDECK_TESTS_JOBS_HISTORYDIGEST_H
#define COMFREYDECK_TESTS_JOBS_HISTORYDIGEST_H

#include "jobs/PoolState.h"

#include <string_view>

namespace comfreydeck::jobs {

/// Digest of all that an owner orders and stores, in order. Two owners with the
/// same digest decided alike; it is the same on each machine.
class HistoryDigest {
public:
  void add(const Orders &Out);
  void add(const ProgressBatch &Batch);
  std::uint64_t value() const { return Value_; }

private:
  void add(std::uint64_t Number);
  void add(std::string_view Text);
  void add(const TaskRef &Task);
  void add(const AnnouncedRun &Run);
  void add(const TaskProgress &Task);
  void add(const WorkerEntry &Entry);

  /// FNV-1a, 64 bits.
  std::uint64_t Value_ = 0xcbf29ce484222325;
};

} // namespace comfreydeck::jobs

#endif // COMFREYDECK_TESTS_JOBS_HISTORYDIGEST_H
