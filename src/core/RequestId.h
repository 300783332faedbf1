#ifndef COMFREYDECK_CORE_REQUESTID_H
#define COMFREYDECK_CORE_REQUESTID_H

#include "core/Types.h"

#include <optional>
#include <string>
#include <string_view>

/// The id of a request, by which callers ask for its outcome and cancel it.
namespace comfreydeck::core {

/// Names a request: the entry that issued the id, a running number there, and
/// a tag that only that entry can make, so that ids can't be guessed.
struct RequestId {
  Incarnation From;
  std::uint64_t Number = 0;
  std::uint64_t Tag = 0;
  auto operator<=>(const RequestId &) const = default;
};

/// `INCARNATION-NUMBER-TAG`. Thread-safe.
std::string nameOf(const RequestId &Id);

/// Nothing where \p Text is not such a name. Thread-safe.
std::optional<RequestId> requestFrom(std::string_view Text);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_REQUESTID_H
