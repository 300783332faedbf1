#ifndef COMFREYDECK_OPERATORS_EFFECTTEXT_P_H
#define COMFREYDECK_OPERATORS_EFFECTTEXT_P_H

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace comfreydeck::operators::detail {

/// Formats the effect of a change for an operator. Thread-safe.
std::string effectText(const nlohmann::json &Effect);

/// Formats a number of slots with at most two decimal places. Thread-safe.
std::string slotsText(double Slots);

} // namespace comfreydeck::operators::detail

#endif // COMFREYDECK_OPERATORS_EFFECTTEXT_P_H
