#include "codec/FieldReader_p.h"
#include "codec/KeyHash.h"

#include <algorithm>

namespace comfreydeck::codec::detail {

using nlohmann::json;

FieldReader::FieldReader(const json &Object, std::string Path,
                         std::vector<core::FieldFault> &Faults)
    : Object_(Object), Path_(std::move(Path)), Faults_(Faults),
      IsObject_(Object.is_object()) {
  if (!IsObject_)
    Faults_.push_back({Path_, "must be an object"});
}

std::string FieldReader::pathOf(const std::string &Field) const {
  return Path_.empty() ? Field : Path_ + "." + Field;
}

void FieldReader::addFault(const std::string &Field, std::string Message) {
  Faults_.push_back({pathOf(Field), std::move(Message)});
}

const json *FieldReader::take(const char *Field, Need Needed) {
  if (!IsObject_)
    return nullptr;
  Known_.insert(Field);
  auto It = Object_.find(Field);
  if (It != Object_.end())
    return &*It;
  if (Needed == Need::Required)
    addFault(Field, "is needed");
  return nullptr;
}

void FieldReader::text(const char *Field, std::string &Out, Need Needed) {
  const json *J = take(Field, Needed);
  if (!J)
    return;
  if (!J->is_string())
    return addFault(Field, "must be a text");
  Out = J->get<std::string>();
}

void FieldReader::flag(const char *Field, bool &Out) {
  const json *J = take(Field, Need::Optional);
  if (!J)
    return;
  if (!J->is_boolean())
    return addFault(Field, "must be true or false");
  Out = J->get<bool>();
}

void FieldReader::number(const char *Field, std::uint32_t &Out, Need Needed) {
  const json *J = take(Field, Needed);
  if (!J)
    return;
  constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
  if (!J->is_number_unsigned() || J->get<std::uint64_t>() > Max)
    return addFault(Field,
                    "must be a whole number from 0 to " + std::to_string(Max));
  Out = J->get<std::uint32_t>();
}

void FieldReader::number64(const char *Field, std::uint64_t &Out) {
  const json *J = take(Field, Need::Required);
  if (!J)
    return;
  if (!J->is_number_unsigned())
    return addFault(Field, "must be a whole number");
  Out = J->get<std::uint64_t>();
}

void FieldReader::signed64(const char *Field, std::int64_t &Out) {
  const json *J = take(Field, Need::Required);
  if (!J)
    return;
  if (!J->is_number_integer())
    return addFault(Field, "must be a whole number");
  Out = J->get<std::int64_t>();
}

const json *FieldReader::array(const char *Field, Need Needed) {
  const json *J = take(Field, Needed);
  if (!J || J->is_array())
    return J;
  addFault(Field, "must be a list");
  return nullptr;
}

void FieldReader::names(const char *Field, std::vector<std::string> &Out) {
  const json *List = array(Field, Need::Optional);
  if (!List)
    return;
  for (const json &J : *List)
    if (!J.is_string())
      return addFault(Field, "must be a list of texts");
  Out = List->get<std::vector<std::string>>();
}

void FieldReader::numbers(const char *Field, std::vector<std::uint32_t> &Out) {
  const json *List = array(Field, Need::Optional);
  if (!List)
    return;
  for (const json &J : *List)
    if (!J.is_number_unsigned())
      return addFault(Field, "must be a list of whole numbers");
  Out = List->get<std::vector<std::uint32_t>>();
}

void FieldReader::hash(const char *Field, core::KeyHash &Out) {
  std::string Hex;
  text(Field, Hex, Need::Required);
  try {
    Out = hashFromHex(Hex);
  } catch (const CodecError &E) {
    addFault(Field, E.what());
  }
}

void FieldReader::notOneOf(const char *Field, const std::string &Text,
                           std::span<const std::string_view> Names) {
  if (!IsObject_ || !Object_.contains(Field))
    return;
  std::string All;
  for (std::string_view Name : Names)
    All += (All.empty() ? "" : ", ") + std::string(Name);
  addFault(Field, "'" + Text + "' is none of " + All);
}

void FieldReader::rejectUnknown() {
  if (!IsObject_)
    return;
  for (const auto &[Field, Value] : Object_.items())
    if (!Known_.contains(Field))
      addFault(Field, "is not known");
}

} // namespace comfreydeck::codec::detail
