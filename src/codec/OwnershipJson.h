#ifndef COMFREYDECK_CODEC_OWNERSHIPJSON_H
#define COMFREYDECK_CODEC_OWNERSHIPJSON_H

#include "core/Allotment.h"

#include <string>
#include <string_view>

/// Rows of pool ownership and of allotments as JSON text.
namespace comfreydeck::codec {

/// A pool's owner, as stored in its row.
struct OwnershipRow {
  core::PoolId Pool;
  core::Incarnation Owner;
  core::Epoch Term;
};

/// Thread-safe.
std::string toJson(const OwnershipRow &Row);

/// Throws std::runtime_error if \p Text is not an ownership row. Thread-safe.
OwnershipRow parseOwnership(std::string_view Text);

/// Thread-safe.
std::string toJson(const core::AllotmentRow &Row);

/// Throws std::runtime_error if \p Text is not an allotment row. Thread-safe.
core::AllotmentRow parseAllotment(std::string_view Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_OWNERSHIPJSON_H
