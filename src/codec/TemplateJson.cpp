#include "codec/ConfigItemsJson_p.h"

namespace comfreydeck::codec::detail {

using namespace core;
using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 5> KindNames = {
    "text", "number", "share", "names", "boolean"};

json write(const ParameterValue &Value) {
  return std::visit([](const auto &V) { return json(V); }, Value);
}

/// Returns nullopt if \p J is not a parameter's value.
std::optional<ParameterValue> readValue(const json &J) {
  constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
  if (J.is_string())
    return J.get<std::string>();
  if (J.is_boolean())
    return J.get<bool>();
  if (J.is_number_unsigned() && J.get<std::uint64_t>() <= Most)
    return J.get<std::uint32_t>();
  bool IsNames =
      J.is_array() && std::all_of(J.begin(), J.end(),
                                  [](const json &I) { return I.is_string(); });
  if (IsNames)
    return J.get<std::vector<std::string>>();
  return std::nullopt;
}

constexpr const char *ValueRule =
    "must be a text, a whole number up to 4294967295, true, false or a list of "
    "texts";

template <typename T> json write(const PatternField<T> &Field) {
  if (!Field.Parameter.empty())
    return {{"parameter", Field.Parameter}};
  return Field.Value;
}

bool hasType(const json &J, const std::string &) { return J.is_string(); }
bool hasType(const json &J, bool) { return J.is_boolean(); }
bool hasType(const json &J, std::uint32_t) {
  constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
  return J.is_number_unsigned() && J.get<std::uint64_t>() <= Most;
}

constexpr const char *kindOf(const std::string &) { return "a text"; }
constexpr const char *kindOf(bool) { return "true, false"; }
constexpr const char *kindOf(std::uint32_t) { return "a whole number"; }

template <typename T>
void readField(FieldReader &R, const char *Name, PatternField<T> &Out) {
  const json *J = R.take(Name, Need::Optional);
  if (!J)
    return;
  if (hasType(*J, Out.Value)) {
    Out.Value = J->get<T>();
    return;
  }
  bool IsReference = J->is_object() && J->size() == 1 &&
                     J->contains("parameter") &&
                     (*J)["parameter"].is_string() &&
                     !(*J)["parameter"].get<std::string>().empty();
  if (!IsReference)
    return R.addFault(Name, std::string("must be ") + kindOf(Out.Value) +
                                " or {\"parameter\": NAME}");
  Out.Value = T();
  Out.Parameter = (*J)["parameter"].get<std::string>();
}

json write(const Parameter &P) {
  json J = {{"name", P.Name},
            {"kind", KindNames.at(static_cast<std::size_t>(P.Kind))},
            {"help", P.Help},
            {"least", P.Least},
            {"most", P.Most}};
  if (P.Default)
    J["default"] = write(*P.Default);
  return J;
}

void read(FieldReader &R, Parameter &P) {
  R.text("name", P.Name, Need::Required);
  R.oneOf("kind", P.Kind, KindNames);
  R.text("help", P.Help, Need::Optional);
  R.number("least", P.Least, Need::Optional);
  R.number("most", P.Most, Need::Optional);
  const json *Default = R.take("default", Need::Optional);
  if (!Default)
    return;
  P.Default = readValue(*Default);
  if (!P.Default)
    R.addFault("default", ValueRule);
}

json write(const TeamPattern &P) {
  return {{"suffix", P.Suffix},
          {"share", write(P.Share)},
          {"upper_limit", write(P.UpperLimit)},
          {"takes_keys", write(P.TakesKeys)}};
}

void read(FieldReader &R, TeamPattern &P) {
  R.text("suffix", P.Suffix, Need::Optional);
  readField(R, "share", P.Share);
  readField(R, "upper_limit", P.UpperLimit);
  readField(R, "takes_keys", P.TakesKeys);
}

json write(const QueuePattern &P) {
  return {{"suffix", P.Suffix},      {"for_each", P.ForEach},
          {"pool", write(P.Pool)},   {"open", write(P.Open)},
          {"open_team", P.OpenTeam}, {"idempotent", write(P.Idempotent)},
          {"teams", P.Teams}};
}

void read(FieldReader &R, QueuePattern &P) {
  R.text("suffix", P.Suffix, Need::Optional);
  R.text("for_each", P.ForEach, Need::Optional);
  readField(R, "pool", P.Pool);
  readField(R, "open", P.Open);
  R.text("open_team", P.OpenTeam, Need::Optional);
  readField(R, "idempotent", P.Idempotent);
  R.names("teams", P.Teams);
}

template <typename T> json writeAll(const std::vector<T> &Items) {
  json List = json::array();
  for (const T &Item : Items)
    List.push_back(write(Item));
  return List;
}

} // namespace

json fieldsOf(const Template &T) {
  return {{"name", T.Name},
          {"help", T.Help},
          {"parameters", writeAll(T.Parameters)},
          {"teams", writeAll(T.Teams)},
          {"queues", writeAll(T.Queues)}};
}

void readFields(FieldReader &R, Template &T) {
  R.text("name", T.Name, Need::Required);
  R.text("help", T.Help, Need::Optional);
  R.list("parameters", T.Parameters, Need::Optional,
         [](FieldReader &Inner, Parameter &P) { read(Inner, P); });
  R.list("teams", T.Teams, Need::Required,
         [](FieldReader &Inner, TeamPattern &P) { read(Inner, P); });
  R.list("queues", T.Queues, Need::Optional,
         [](FieldReader &Inner, QueuePattern &P) { read(Inner, P); });
}

json argumentsOf(const std::vector<Argument> &Arguments) {
  json J = json::object();
  for (const Argument &A : Arguments)
    J[A.Name] = write(A.Value);
  return J;
}

void readArguments(FieldReader &R, std::vector<Argument> &Arguments) {
  const json *J = R.take("arguments", Need::Optional);
  if (!J)
    return;
  if (!J->is_object())
    return R.addFault("arguments", "must be an object");
  for (const auto &[Name, Value] : J->items()) {
    std::optional<ParameterValue> Read = readValue(Value);
    if (Read)
      Arguments.push_back({Name, std::move(*Read)});
    else
      R.addFault("arguments." + Name, ValueRule);
  }
}

} // namespace comfreydeck::codec::detail
