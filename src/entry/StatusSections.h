#ifndef COMFREYDECK_ENTRY_STATUSSECTIONS_H
#define COMFREYDECK_ENTRY_STATUSSECTIONS_H

#include "entry/PoolService.h"
#include "entry/StatusBoard.h"

namespace comfreydeck::entry {

/// The components that the sections read. They must outlive the board.
struct StatusSources {
  const Membership &Members;
  const ConfigStore &Config;
  const Fleet &Workers;
  const PoolService &Pools;
};

/// Adds the sections for pools, teams, data centres and entries. Call before
/// the entry starts.
void addStatusSections(StatusBoard &Board, const StatusSources &Sources);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_STATUSSECTIONS_H
