#ifndef COMFREYDECK_PLATFORM_URL_P_H
#define COMFREYDECK_PLATFORM_URL_P_H

#include <string>
#include <string_view>

namespace comfreydeck::platform::detail {

/// Percent-encodes one part of a URL. Thread-safe.
std::string escape(std::string_view Part);

} // namespace comfreydeck::platform::detail

#endif // COMFREYDECK_PLATFORM_URL_P_H
