#ifndef COMFREYDECK_ENTRY_CONFIGROUTES_H
#define COMFREYDECK_ENTRY_CONFIGROUTES_H

#include "core/ConfigReport.h"
#include "entry/ConfigStore.h"
#include "entry/Fleet.h"
#include "entry/OperatorRoute.h"

/// Operator routes for the configuration.
namespace comfreydeck::entry {

/// Routes that read and change the configuration and list its history. The
/// arguments must outlive the routes.
std::vector<OperatorRoute> configRoutes(ConfigStore &Config,
                                        const Fleet &Workers);

/// The route that reports on one customer. The arguments must outlive the
/// routes.
std::vector<OperatorRoute> customerRoutes(ConfigStore &Config,
                                          const Fleet &Workers);

/// Total slots of each pool. Call on the control thread.
std::vector<core::PoolSize> poolSizes(const Fleet &Workers);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CONFIGROUTES_H
