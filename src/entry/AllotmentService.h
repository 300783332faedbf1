#ifndef COMFREYDECK_ENTRY_ALLOTMENTSERVICE_H
#define COMFREYDECK_ENTRY_ALLOTMENTSERVICE_H

#include "core/Allotment.h"
#include "core/Configuration.h"
#include "entry/Context.h"

#include <set>

namespace comfreydeck::entry {

/// An owned pool and the version of its ownership row, on which each of its
/// writes is conditional.
struct PoolTerm {
  core::PoolId Pool;
  std::uint64_t RowVersion = 0;
};

/// Maintains the allotments of the pools that this entry owns. Control thread
/// only.
class AllotmentService {
public:
  explicit AllotmentService(const Context &C);

  /// Starts polling the rows. \p OnChange is called after each view update.
  void start(std::function<void()> OnChange);

  /// Resets the state of a newly owned pool: its shares are zero until a scan
  /// started after this call has completed.
  void begin(core::PoolId Pool);

  /// Drops the state of a pool that is no longer owned.
  void end(core::PoolId Pool);

  /// How many tasks of the team may run in an owned pool.
  std::uint32_t usable(core::PoolId Pool, const core::Team &T) const;

  /// Writes the next row if the team's use requires a change. One write is in
  /// flight at a time, and writes are rate limited.
  void update(const PoolTerm &Term, const core::Team &T,
              const core::PoolUse &Use);

private:
  using ViewKey = std::pair<core::PoolId, core::TeamId>;

  /// One pool's view of one team's row.
  struct View {
    core::AllotmentView Seen;
    bool Writing = false;
    /// Nothing if the next write must not wait.
    std::optional<core::TimePoint> LastWrite;
    /// Recent maximum of running plus waiting tasks.
    std::uint32_t Peak = 0;
    core::TimePoint PeakAt;
  };

  void poll();
  void onScan(core::TimePoint Sent, const store::ScanResult &Result);
  void readPage(core::TimePoint Sent, std::string After);
  void write(const PoolTerm &Term, core::TeamId Team,
             const core::AllotmentRow &Row, std::uint64_t Version);
  void onWritten(const ViewKey &Key, const core::AllotmentRow &Row,
                 const store::CommitResult &Result);
  static std::uint32_t updatePeak(View &V, const core::PoolUse &Use);

  Context Context_;
  std::function<void()> OnChange_;
  /// When each owned pool was taken over; scans started earlier are ignored.
  std::map<core::PoolId, core::TimePoint> TakenOverAt_;
  std::map<ViewKey, View> Views_;
  std::map<core::TeamId, std::pair<core::AllotmentRow, std::uint64_t>> Rows_;
  std::map<core::TeamId, std::pair<core::AllotmentRow, std::uint64_t>> NewRows_;
  /// Pools whose rows have been read since they were taken over.
  std::set<core::PoolId> ReadPools_;
  bool Polling_ = false;
  bool PollAgain_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_ALLOTMENTSERVICE_H
