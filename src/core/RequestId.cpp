#include "core/RequestId.h"

#include "core/Names.h"

namespace comfreydeck::core {

namespace {

/// Formats a tag like an incarnation, as 16 hex digits.
std::string tagName(std::uint64_t Tag) { return nameOf(Incarnation{Tag}); }

} // namespace

std::string nameOf(const RequestId &Id) {
  return nameOf(DemandId{Id.From, Id.Number}) + "-" + tagName(Id.Tag);
}

std::optional<RequestId> requestFrom(std::string_view Text) {
  std::size_t Dash = Text.rfind('-');
  if (Dash == std::string_view::npos)
    return std::nullopt;
  std::optional<DemandId> Front = parseDemandId(Text.substr(0, Dash));
  std::optional<Incarnation> Tag = parseIncarnation(Text.substr(Dash + 1));
  if (!Front || !Tag)
    return std::nullopt;
  return RequestId{Front->From, Front->Number, Tag->Value};
}

} // namespace comfreydeck::core
