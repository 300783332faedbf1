#ifndef COMFREYDECK_DISPATCH_PEERMESSAGES_P_H
#define COMFREYDECK_DISPATCH_PEERMESSAGES_P_H

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <vector>

namespace comfreydeck::dispatch {

/// Removes the first \p Most elements and returns them.
template <typename T>
std::vector<T> takeFront(std::vector<T> &From, std::size_t Most) {
  auto End =
      From.begin() + static_cast<std::ptrdiff_t>(std::min(From.size(), Most));
  std::vector<T> Taken(std::make_move_iterator(From.begin()),
                       std::make_move_iterator(End));
  From.erase(From.begin(), End);
  return Taken;
}

} // namespace comfreydeck::dispatch

/// Paths of the calls between entries.
namespace comfreydeck::dispatch::paths {

/// Questions to a pool's owner.
inline constexpr const char *Pool = "/v1/pool";
/// Orders to be sent on behalf of an owner.
inline constexpr const char *Orders = "/v1/orders";
/// Results of such orders.
inline constexpr const char *Results = "/v1/results";

} // namespace comfreydeck::dispatch::paths

#endif // COMFREYDECK_DISPATCH_PEERMESSAGES_P_H
