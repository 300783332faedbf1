#ifndef COMFREYDECK_OPERATORS_EFFECTTEXT_P_H
#define COMFREYDECK_OPERATORS_EFFECTTEXT_P_H

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace comfreydeck::operators::detail {

/// What a change comes to, as an operator reads it. Thread-safe.
std::string effectText(const nlohmann::json &Effect);

/// A number of slots with at most two digits after the point. Thread-safe.
std::string slotsText(double Slots);

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_EFFECTTEXT_P_H
