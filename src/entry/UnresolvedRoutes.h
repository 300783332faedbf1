#ifndef COMFREYDECK_ENTRY_UNRESOLVEDROUTES_H
#define COMFREYDECK_ENTRY_UNRESOLVEDROUTES_H

#include "entry/OperatorRoute.h"
#include "entry/UnresolvedStore.h"

namespace comfreydeck::entry {

/// Routes that list and resolve requests for which it is unknown whether they
/// ran. \p Store must outlive them.
std::vector<OperatorRoute> unresolvedRoutes(UnresolvedStore &Store);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_UNRESOLVEDROUTES_H
