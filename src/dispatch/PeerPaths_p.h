#ifndef COMFREYDECK_DISPATCH_PEERPATHS_P_H
#define COMFREYDECK_DISPATCH_PEERPATHS_P_H

/// Paths of the calls between entries.
namespace comfreydeck::dispatch::paths {

/// Questions to a pool's owner.
inline constexpr const char *Pool = "/v1/pool";
/// Orders to be sent on behalf of an owner.
inline constexpr const char *Orders = "/v1/orders";
/// Results of such orders.
inline constexpr const char *Results = "/v1/results";

} // namespace comfreydeck::dispatch::paths

#endif // COMFREYDECK_DISPATCH_PEERPATHS_P_H
