#include "core/Template.h"

#include <algorithm>
#include <array>

namespace comfreydeck::core {

namespace {

constexpr std::array<std::string_view, 5> KindNames = {
    "text", "number", "share", "names", "boolean"};

template <typename T>
const T *find(const std::vector<T> &Items, std::string_view Name) {
  auto It = std::find_if(Items.begin(), Items.end(),
                         [&](const T &Item) { return Item.Name == Name; });
  return It == Items.end() ? nullptr : &*It;
}

struct TextWriter {
  std::string operator()(const std::string &Value) const { return Value; }
  std::string operator()(std::uint32_t Value) const {
    return std::to_string(Value);
  }
  std::string operator()(bool Value) const { return Value ? "true" : "false"; }
  std::string operator()(const std::vector<std::string> &Value) const {
    std::string Text;
    for (const std::string &Name : Value)
      Text += (Text.empty() ? "" : ",") + Name;
    return Text;
  }
};

} // namespace

const Parameter *findParameter(const Template &T, std::string_view Name) {
  return find(T.Parameters, Name);
}

const Argument *findArgument(const Customer &C, std::string_view Name) {
  return find(C.Arguments, Name);
}

const ParameterValue *valueOf(const Template &T, const Customer &C,
                              std::string_view Name) {
  if (const Argument *Given = findArgument(C, Name))
    return &Given->Value;
  const Parameter *P = findParameter(T, Name);
  return P && P->Default ? &*P->Default : nullptr;
}

std::string_view nameOf(ParameterKind Kind) {
  return KindNames.at(static_cast<std::size_t>(Kind));
}

std::string textOf(const ParameterValue &Value) {
  return std::visit(TextWriter(), Value);
}

} // namespace comfreydeck::core
