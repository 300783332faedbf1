#include "settings/DispatchSettings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>

using namespace comfreydeck;

namespace {

std::string readDeployFile(const std::string &Name) {
  std::ifstream In(std::string(COMFREYDECK_DEPLOY) + '/' + Name);
  REQUIRE(In);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Fills in the template as the platform does: drops optional sections and
/// substitutes \p Values.
std::string filled(std::string Text,
                   const std::map<std::string, std::string> &Values) {
  static const std::regex Section(R"(\{\{#[^}]*\}\}[^]*?\{\{/[^}]*\}\})");
  Text = std::regex_replace(Text, Section, "");
  for (const auto &[Name, Value] : Values)
    for (std::size_t At = 0; (At = Text.find(Name, At)) != std::string::npos;)
      Text.replace(At, Name.size(), Value);
  return Text;
}

std::string portOf(const std::string &Address) {
  return Address.substr(Address.rfind(':') + 1);
}

} // namespace

// Guards against a metrics port in system.toml that the entry does not listen
// on. The platform fetches the metrics only while an incident is investigated,
// so the error would be noticed too late.
TEST_CASE(
    "metrics are served on the port named in system.toml, and it is free") {
  constexpr const char *FirstInternal = "7000";
  constexpr const char *LastInternal = "7015";
  std::string Text = filled(readDeployFile("entry.json.template"),
                            {{"{{NodeName|json}}", "\"e1\""},
                             {"{{Zone|json}}", "\"z1\""},
                             {"{{ListenAddresses.Frontend}}", "10.1.0.1:8340"},
                             {"{{ListenAddresses.Ready}}", "10.1.0.1:8343"},
                             {"{{IpAddress}}", "10.1.0.1"},
                             {"{{InternalPortRange.0}}", FirstInternal},
                             {"{{InternalPortRange.1}}", LastInternal},
                             {"{{platform.Address}}", "10.200.1.7:8344"},
                             {"{{Limits.CpuShare|json}}", "0.25"},
                             {"{{Limits.Cores|json}}", "1"},
                             {"{{Limits.LinkMbps|json}}", "1000.0"},
                             {"{{Bounds.RevocationMs|json}}", "5000"},
                             {"{{Bounds.MaxHoldMs|json}}", "10000"},
                             {"{{Bounds.StopTimeoutMs|json}}", "400"},
                             {"{{Bounds.GangTimeoutMs|json}}", "2500"},
                             {"{{Bounds.NoticeMs|json}}", "4500"},
                             {"{{Bounds.GracePeriodS|json}}", "6"},
                             {"{{Bounds.status_s|json}}", "120"}});
  settings::DispatchSettings Read = settings::parseDispatchSettings(Text);
  std::string System = readDeployFile("system.toml");
  std::smatch Metrics;
  REQUIRE(std::regex_search(System, Metrics,
                            std::regex("\nmetrics = \"([0-9]+)/metrics\"\n")));
  CHECK(portOf(Read.Metrics) == Metrics[1].str());
  CHECK(portOf(Read.Metrics) != portOf(Read.Peers));
  int Port = std::stoi(portOf(Read.Metrics));
  CHECK(Port >= std::stoi(FirstInternal));
  CHECK(Port <= std::stoi(LastInternal));
}
