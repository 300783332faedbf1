#ifndef COMFREYDECK_CORE_REQUESTID_H
#define COMFREYDECK_CORE_REQUESTID_H

#include "core/Types.h"

#include <optional>
#include <string>
#include <string_view>

/// The id of a request, which callers use to query its outcome and to cancel
/// it.
namespace comfreydeck::core {

/// Identifies a request: the entry that issued the id, a sequence number of
/// that entry, and a tag that only that entry can create, so that ids can't be
/// guessed.
struct RequestId {
  Incarnation From;
  std::uint64_t Number = 0;
  std::uint64_t Tag = 0;
  auto operator<=>(const RequestId &) const = default;
};

/// Formats an id as `INCARNATION-NUMBER-TAG`. Thread-safe.
std::string nameOf(const RequestId &Id);

/// Parses an id; std::nullopt if \p Text is malformed. Thread-safe.
std::optional<RequestId> requestFrom(std::string_view Text);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_REQUESTID_H
