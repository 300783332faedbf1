#ifndef COMFREYDECK_STORE_URL_P_H
#define COMFREYDECK_STORE_URL_P_H

#include <string>
#include <string_view>

namespace comfreydeck::store::detail {

/// Percent-encodes one component of a URL. Thread-safe.
std::string escape(std::string_view Part);

} // namespace comfreydeck::store::detail

#endif // COMFREYDECK_STORE_URL_P_H
