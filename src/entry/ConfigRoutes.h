#ifndef COMFREYDECK_ENTRY_CONFIGROUTES_H
#define COMFREYDECK_ENTRY_CONFIGROUTES_H

#include "core/ConfigReport.h"
#include "entry/ConfigStore.h"
#include "entry/Fleet.h"
#include "entry/OperatorRoute.h"

/// The operators' calls about the configuration.
namespace comfreydeck::entry {

/// Reading, changing and the history. The parts must outlive the routes.
std::vector<OperatorRoute> configRoutes(ConfigStore &Config,
                                        const Fleet &Workers);

/// One customer's arrangement. The parts must outlive the routes.
std::vector<OperatorRoute> customerRoutes(ConfigStore &Config,
                                          const Fleet &Workers);

/// Slots by pool. On the control thread.
std::vector<core::PoolSize> poolSizes(const Fleet &Workers);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CONFIGROUTES_H
