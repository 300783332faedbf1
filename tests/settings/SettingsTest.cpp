#include "settings/Settings.h"

#include <doctest/doctest.h>

#include <string>

using namespace comfreydeck::settings;

namespace {

const std::string Good = R"({
  "entry": {"name": "e1", "datacentre": "dc1",
            "listen": "127.0.0.1:8080", "peer_listen": "127.0.0.1:9080"},
  "platform": {"table_service": "http://127.0.0.1:7000",
               "object_store": "http://127.0.0.1:7000",
               "instance_list": "http://127.0.0.1:7000"},
  "cluster": {"token": "0123456789abcdef"}
})";

std::string replaced(const std::string &From, const std::string &To) {
  std::string Text = Good;
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

struct BadSettings {
  const char *From;
  const char *To;
  const char *Path;
};

constexpr BadSettings Cases[] = {
    {R"("name": "e1", )", "", "entry.name"},
    {R"("name": "e1")", R"("name": 5)", "entry.name"},
    {"127.0.0.1:8080", "localhost:8080", "entry.listen"},
    {"127.0.0.1:9080", "127.0.0.1:99999", "entry.peer_listen"},
    {R"("datacentre": "dc1")", R"("datacentre": "dc1", "rack": "r1")",
     "entry.rack"},
    {R"("entry")", R"("entity")", "entity"},
    {"0123456789abcdef", "short", "cluster.token"},
    {R"("http://127.0.0.1:7000")", R"("ftp://127.0.0.1:7000")",
     "platform.table_service"},
    {R"("cluster":)", R"("lease": {"freshness_ms": 1}, "cluster":)",
     "lease.freshness_ms"},
};

} // namespace

TEST_CASE("absent fields of a valid document get their defaults") {
  Settings S = parseSettings(Good);
  CHECK(S.Entry.Name == "e1");
  CHECK(S.Lease.Freshness == std::chrono::seconds(2));
}

TEST_CASE("each error is reported with the path of its field") {
  for (const BadSettings &Case : Cases) {
    CAPTURE(Case.To);
    bool Named = false;
    try {
      parseSettings(replaced(Case.From, Case.To));
    } catch (const SettingsError &E) {
      for (const SettingsFault &Fault : E.faults())
        Named = Named || Fault.Path == Case.Path;
    }
    CHECK(Named);
  }
}

TEST_CASE("all errors are reported at once") {
  try {
    parseSettings("{}");
    FAIL("empty settings were accepted");
  } catch (const SettingsError &E) {
    CHECK(E.faults().size() == 11);
  }
  CHECK_THROWS_AS(parseSettings("{"), SettingsError);
  CHECK_THROWS_AS(parseSettings("[]"), SettingsError);
}
