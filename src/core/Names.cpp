#include "core/Names.h"

#include "core/ConfigLimits.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace comfreydeck::core {

namespace {

constexpr std::size_t IncarnationDigits = 16;
constexpr int Hex = 16;
constexpr int Decimal = 10;

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value, Base);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Value;
}

bool isLetterOrDigit(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
}

bool isNameCharacter(char C) {
  return isLetterOrDigit(C) || C == '-' || C == '_' || C == '.';
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         isLetterOrDigit(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

std::string nameOf(Incarnation Id) {
  std::array<char, IncarnationDigits> Digits{};
  auto [End, Error] =
      std::to_chars(Digits.begin(), Digits.end(), Id.Value, Hex);
  auto Length = static_cast<std::size_t>(End - Digits.begin());
  std::string Text(IncarnationDigits - Length, '0');
  return Text.append(Digits.data(), Length);
}

std::optional<Incarnation> parseIncarnation(std::string_view Text) {
  if (Text.size() != IncarnationDigits)
    return std::nullopt;
  std::optional<std::uint64_t> Value = parseNumber(Text, Hex);
  if (!Value || *Value == 0)
    return std::nullopt;
  return Incarnation{*Value};
}

std::string nameOf(const DemandId &Id) {
  return nameOf(Id.From) + "-" + std::to_string(Id.Number);
}

std::optional<DemandId> parseDemandId(std::string_view Text) {
  std::size_t Dash = Text.find('-');
  if (Dash == std::string_view::npos)
    return std::nullopt;
  std::optional<Incarnation> From = parseIncarnation(Text.substr(0, Dash));
  std::optional<std::uint64_t> Number =
      parseNumber(Text.substr(Dash + 1), Decimal);
  if (!From || !Number)
    return std::nullopt;
  return DemandId{*From, *Number};
}

} // namespace comfreydeck::core
