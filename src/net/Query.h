#ifndef COMFREYDECK_NET_QUERY_H
#define COMFREYDECK_NET_QUERY_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreydeck::net {

/// Returns the decoded value of a query parameter, or std::nullopt if it is
/// absent or the query is malformed. Thread-safe.
std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name);

/// Returns a query parameter as an integer: \p Default if it is absent or the
/// query is malformed, std::nullopt if its value is not an integer from
/// \p Min to \p Max. Thread-safe.
std::optional<std::uint64_t> queryNumber(std::string_view Query,
                                         std::string_view Name,
                                         std::uint64_t Default,
                                         std::uint64_t Min, std::uint64_t Max);

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_QUERY_H
