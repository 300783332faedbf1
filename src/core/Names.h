#ifndef COMFREYDECK_CORE_NAMES_H
#define COMFREYDECK_CORE_NAMES_H

#include "core/PoolOwner.h"

#include <optional>
#include <string>
#include <string_view>

/// Validates configured names, and converts incarnations and demand ids to and
/// from text for rows, headers and logs.
namespace comfreydeck::core {

/// Message for a name that \ref isName rejects.
constexpr std::string_view NameRule =
    "must have 1 to 64 of a-z, 0-9, '-', '_' and '.', a letter or digit first";

/// Whether \p Text is a valid name of a configured item. Thread-safe.
bool isName(std::string_view Text);

/// 16 lower-case hex digits. Thread-safe.
std::string nameOf(Incarnation Id);

/// Parses the result of nameOf; empty if \p Text is malformed. Thread-safe.
std::optional<Incarnation> parseIncarnation(std::string_view Text);

/// The incarnation's name, a dash and the sequence number. Also the id of the
/// task that the demand starts at a worker. Thread-safe.
std::string nameOf(const DemandId &Id);

/// Parses the result of nameOf; empty if \p Text is malformed. Thread-safe.
std::optional<DemandId> parseDemandId(std::string_view Text);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_NAMES_H
