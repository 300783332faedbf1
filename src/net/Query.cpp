#include "net/Query.h"

#include <restinio/uri_helpers.hpp>

#include <charconv>

namespace comfreydeck::net {

std::optional<std::string> queryValue(std::string_view Query,
                                      std::string_view Name) {
  auto Parsed = restinio::try_parse_query<
      restinio::parse_query_traits::javascript_compatible>(
      restinio::string_view_t(Query.data(), Query.size()));
  if (!Parsed)
    return std::nullopt;
  auto Value =
      Parsed->get_param(restinio::string_view_t(Name.data(), Name.size()));
  if (!Value)
    return std::nullopt;
  return std::string(Value->data(), Value->size());
}

std::optional<std::uint64_t> queryNumber(std::string_view Query,
                                         std::string_view Name,
                                         std::uint64_t Default,
                                         std::uint64_t Min, std::uint64_t Max) {
  std::optional<std::string> Text = queryValue(Query, Name);
  if (!Text)
    return Default;
  std::uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  auto [Rest, Error] = std::from_chars(Text->data(), End, Value);
  bool Good =
      Error == std::errc() && Rest == End && Value >= Min && Value <= Max;
  return Good ? std::optional(Value) : std::nullopt;
}

} // namespace comfreydeck::net
