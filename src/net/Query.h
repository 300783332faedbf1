#ifndef COMFREYDECK_NET_QUERY_H
#define COMFREYDECK_NET_QUERY_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreydeck::net {

/// The value of one query parameter, unescaped; nothing where there is none or
/// the query is malformed. Thread-safe.
std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name);

/// The same as a whole number; \p Default where the parameter is absent,
/// nothing where it is no number from \p Least to \p Most. Thread-safe.
std::optional<std::uint64_t>
queryNumber(std::string_view Query, std::string_view Name,
            std::uint64_t Default, std::uint64_t Least, std::uint64_t Most);

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_QUERY_H
