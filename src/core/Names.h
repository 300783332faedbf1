#ifndef COMFREYDECK_CORE_NAMES_H
#define COMFREYDECK_CORE_NAMES_H

#include "core/PoolOwner.h"

#include <optional>
#include <string>
#include <string_view>

/// Configured names, and incarnations and demands as text, for rows, headers
/// and logs.
namespace comfreydeck::core {

/// What is said of a name that \ref isName refuses.
constexpr std::string_view NameRule =
    "must have 1 to 64 of a-z, 0-9, '-', '_' and '.', a letter or digit first";

/// Whether a configured thing may have that name. Thread-safe.
bool isName(std::string_view Text);

/// 16 lower-case hex digits. Thread-safe.
std::string nameOf(Incarnation Id);

/// Nothing where \p Text is not such a name. Thread-safe.
std::optional<Incarnation> incarnationFrom(std::string_view Text);

/// The incarnation's name, a dash and the running number. It is the id of the
/// task that a demand starts at a worker. Thread-safe.
std::string nameOf(const DemandId &Id);

/// Nothing where \p Text is not such a name. Thread-safe.
std::optional<DemandId> demandFrom(std::string_view Text);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_NAMES_H
