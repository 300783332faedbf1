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

/// The allotments of the pools that this entry owns. Only on the control
/// thread.
class AllotmentService {
public:
  explicit AllotmentService(const Context &C);

  /// Reads the rows from now on. \p OnChange is called after each new view.
  void start(std::function<void()> OnChange);

  /// Begins anew with a pool that was just taken: its parts are zero until the
  /// rows have been read after this call.
  void begin(core::PoolId Pool);

  /// Forgets a pool that is not owned any more.
  void end(core::PoolId Pool);

  /// How many tasks of the team may run in an owned pool.
  std::uint32_t usable(core::PoolId Pool, const core::Team &T) const;

  /// Writes the next row where the team's use asks for one, one write at a time
  /// and not too often.
  void update(const PoolTerm &Term, const core::Team &T,
              const core::PoolUse &Use);

private:
  using ViewKey = std::pair<core::PoolId, core::TeamId>;

  /// One pool's view of one team's row.
  struct View {
    core::AllotmentView Seen;
    bool Writing = false;
    core::TimePoint LastWrite;
    /// Most that ran and waited of late.
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
  static std::uint32_t peakOf(View &V, const core::PoolUse &Use);

  Context Context_;
  std::function<void()> OnChange_;
  /// When each owned pool began; older readings are not good for it.
  std::map<core::PoolId, core::TimePoint> Begun_;
  std::map<ViewKey, View> Views_;
  std::map<core::TeamId, std::pair<core::AllotmentRow, std::uint64_t>> Rows_;
  std::map<core::TeamId, std::pair<core::AllotmentRow, std::uint64_t>> Reading_;
  /// Pools whose rows have been read since they began.
  std::set<core::PoolId> Read_;
  bool Polling_ = false;
  bool PollAgain_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_ALLOTMENTSERVICE_H
