#ifndef COMFREYDECK_ENTRY_POOLWIRE_P_H
#define COMFREYDECK_ENTRY_POOLWIRE_P_H

#include "Peer.pb.h"

#include "entry/OwnedPool.h"

/// Conversion of demands, grants and running tasks to and from messages.
namespace comfreydeck::entry::detail {

/// Times are sent as durations, since clocks differ. \p Now is the time of
/// sending or of receipt.
void fill(cluster::wire::DemandMessage &Out, const core::Demand &D,
          core::TimePoint Now);
core::Demand demandFrom(const cluster::wire::DemandMessage &In,
                        core::TimePoint Now);

void fill(cluster::wire::RunningMessage &Out, const core::RunningTask &Task,
          core::TimePoint Now);
core::RunningTask runningFrom(const cluster::wire::RunningMessage &In,
                              core::TimePoint Now);

cluster::wire::AcquireReply replyOf(const AcquireResult &Result,
                                    core::TimePoint Now);
AcquireResult resultFrom(const cluster::wire::AcquireReply &Reply,
                         core::TimePoint Now);

void fill(cluster::wire::ReleasedDemand &Out, core::DemandId Id,
          const DemandEnd &End);
DemandEnd endFrom(const cluster::wire::ReleasedDemand &In);

} // namespace comfreydeck::entry::detail

#endif // COMFREYDECK_ENTRY_POOLWIRE_P_H
