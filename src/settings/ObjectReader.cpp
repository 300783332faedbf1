#include "settings/ObjectReader_p.h"

#include <arpa/inet.h>

#include <charconv>
#include <limits>

namespace comfreydeck::settings::detail {

namespace {

using nlohmann::json;

const json EmptyObject = json::object();

constexpr int MaxPort = 65535;

bool isIpNumber(const std::string &Host) {
  in6_addr Parsed{};
  return inet_pton(AF_INET, Host.c_str(), &Parsed) == 1 ||
         inet_pton(AF_INET6, Host.c_str(), &Parsed) == 1;
}

bool isPort(std::string_view Text) {
  int Port = -1;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Port);
  return Error == std::errc() && Rest == End && Port >= 0 && Port <= MaxPort;
}

bool isAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isPort(Text.substr(Colon + 1)))
    return false;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  return isIpNumber(std::string(Host));
}

} // namespace

ObjectReader::ObjectReader(const json &Object, std::string Path,
                           std::vector<SettingsFault> &Faults)
    : Object_(Object), Path_(std::move(Path)), Faults_(Faults) {}

void ObjectReader::addFault(const char *Field, std::string Message) {
  std::string Full = Path_.empty() ? Field : Path_ + "." + Field;
  Faults_.push_back({std::move(Full), std::move(Message)});
}

const json *ObjectReader::findField(const char *Field, Need Needed) {
  Known_.insert(Field);
  auto It = Object_.find(Field);
  if (It != Object_.end())
    return &*It;
  if (Needed == Need::Required)
    addFault(Field, "is missing");
  return nullptr;
}

void ObjectReader::text(const char *Field, std::string &Out, Need Needed) {
  const json *Value = findField(Field, Needed);
  if (!Value)
    return;
  if (!Value->is_string() || Value->get_ref<const std::string &>().empty()) {
    addFault(Field, "must be a non-empty string");
    return;
  }
  Out = Value->get<std::string>();
}

void ObjectReader::number(const char *Field, std::uint32_t &Out,
                          Range Allowed) {
  const json *Value = findField(Field, Need::Optional);
  if (!Value)
    return;
  bool Fits = Value->is_number_integer() &&
              Value->get<std::int64_t>() >= Allowed.Min &&
              Value->get<std::int64_t>() <= Allowed.Max;
  if (!Fits) {
    addFault(Field, "must be a whole number from " +
                        std::to_string(Allowed.Min) + " to " +
                        std::to_string(Allowed.Max));
    return;
  }
  Out = Value->get<std::uint32_t>();
}

void ObjectReader::milliseconds(const char *Field, core::Duration &Out,
                                Range Allowed) {
  auto Old = std::chrono::duration_cast<std::chrono::milliseconds>(Out);
  auto Ms = static_cast<std::uint32_t>(Old.count());
  number(Field, Ms, Allowed);
  Out = std::chrono::milliseconds(Ms);
}

void ObjectReader::real(const char *Field, double &Out, Range Allowed) {
  const json *Value = findField(Field, Need::Optional);
  if (!Value)
    return;
  double Number = Value->is_number() ? Value->get<double>()
                                     : std::numeric_limits<double>::quiet_NaN();
  bool Fits = Number >= static_cast<double>(Allowed.Min) &&
              Number <= static_cast<double>(Allowed.Max);
  if (!Fits) {
    addFault(Field, "must be a number from " + std::to_string(Allowed.Min) +
                        " to " + std::to_string(Allowed.Max));
    return;
  }
  Out = Number;
}

void ObjectReader::seconds(const char *Field, core::Duration &Out,
                           Range Allowed) {
  double Seconds = std::chrono::duration<double>(Out).count();
  real(Field, Seconds, Allowed);
  Out = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(Seconds));
}

void ObjectReader::address(const char *Field, std::string &Out, Need Needed) {
  const json *Value = findField(Field, Needed);
  if (!Value)
    return;
  if (!Value->is_string() || !isAddress(Value->get<std::string>())) {
    addFault(Field,
             "must be an IP address and port, for example 10.0.0.1:8080");
    return;
  }
  Out = Value->get<std::string>();
}

void ObjectReader::url(const char *Field, std::string &Out) {
  const json *Value = findField(Field, Need::Required);
  if (!Value)
    return;
  std::string Text = Value->is_string() ? Value->get<std::string>() : "";
  bool Plain = Text.starts_with("http://") && isAddress(Text.substr(7));
  bool Secure = Text.starts_with("https://") && isAddress(Text.substr(8));
  if (!Plain && !Secure) {
    addFault(Field,
             "must be http:// or https://, IP address and port, for example "
             "http://10.0.0.1:7000");
    return;
  }
  Out = std::move(Text);
}

ObjectReader ObjectReader::child(const char *Field, Need Needed) {
  const json *Value = findField(Field, Needed);
  std::string Path = Path_.empty() ? Field : Path_ + "." + Field;
  if (Value && !Value->is_object()) {
    addFault(Field, "must be an object");
    Value = nullptr;
  }
  return {Value ? *Value : EmptyObject, std::move(Path), Faults_};
}

void ObjectReader::rejectUnknown() {
  for (const auto &[Field, Value] : Object_.items())
    if (!Known_.contains(Field))
      addFault(Field.c_str(), "is not a known field");
}

} // namespace comfreydeck::settings::detail
