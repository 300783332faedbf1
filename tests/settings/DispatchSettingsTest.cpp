#include "settings/DispatchSettings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace comfreydeck;
using namespace comfreydeck::settings;

namespace {

constexpr const char *Good = R"({
  "entry": {"name": "e1", "data_centre": "dc1", "callers": "127.0.0.1:1",
            "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3"},
  "platform": {"store": "127.0.0.1:4"},
  "bounds": {"revocation_ms": 5000, "grace_s": 6.5}})";

bool names(const SettingsError &E, const std::string &Path) {
  auto Faults = E.faults();
  return std::any_of(Faults.begin(), Faults.end(),
                     [&](const SettingsFault &F) { return F.Path == Path; });
}

} // namespace

TEST_CASE("absent fields of an entry's settings get their defaults") {
  DispatchSettings Read = parseDispatchSettings(Good);
  CHECK(Read.Name == "e1");
  CHECK(Read.Machines.empty());
  CHECK(Read.Grace == std::chrono::milliseconds(6500));
  CHECK(Read.MaxLease == std::chrono::seconds(10));
}

TEST_CASE("an entry's processor share and bandwidth are read") {
  std::string Text = Good;
  Text.insert(Text.find("\"bounds\""),
              R"("limits": {"cpu_share": 0.5, "cores": 2, "link_mbps": 10.5,
                    "store_row_bytes": 40000},)");
  DispatchSettings Read = parseDispatchSettings(Text);
  CHECK(Read.Cores == doctest::Approx(1.0));
  CHECK(Read.LinkMbps == doctest::Approx(10.5));
  CHECK(Read.StoreRowBytes == 40000);
  CHECK(parseDispatchSettings(Good).Cores == 0);
}

TEST_CASE("the time for which members of a gang wait for the others is not "
          "read") {
  std::string Text = Good;
  const std::string Bounds = "\"bounds\": {";
  Text.insert(Text.find(Bounds) + Bounds.size(), "\"gang_timeout_ms\": 1500, ");
  CHECK(parseDispatchSettings(Text).GangTimeout ==
        std::chrono::milliseconds(1500));
}

TEST_CASE(
    "the factor of remote tasks is read, and none below one is accepted") {
  std::string Text = Good;
  const std::string Bounds = "\"bounds\": {";
  Text.insert(Text.find(Bounds) + Bounds.size(), "\"remote_factor\": 2.5, ");
  CHECK(parseDispatchSettings(Text).RemoteFactor == doctest::Approx(2.5));
  CHECK(parseDispatchSettings(Good).RemoteFactor == 1);
  Text.replace(Text.find("2.5"), 3, "0.5");
  CHECK_THROWS_AS(parseDispatchSettings(Text), SettingsError);
}

TEST_CASE("all invalid fields are reported at once") {
  try {
    parseDispatchSettings(R"({"entry": {"name": "", "data_centre": "dc1",
      "callers": "nowhere", "readiness": "127.0.0.1:2"},
      "platform": {"store": "127.0.0.1:4", "stor": 1},
      "limits": {"cpu_share": "much"}, "bounds": {"grace_s": -1}})");
    FAIL("invalid settings were accepted");
  } catch (const SettingsError &E) {
    for (const char *Path :
         {"entry.name", "entry.callers", "entry.peers", "platform.stor",
          "limits.cpu_share", "bounds.grace_s"}) {
      CAPTURE(Path);
      CHECK(names(E, Path));
    }
  }
}

TEST_CASE("a document that is not a JSON object is rejected") {
  for (const char *Text : {"", "[]", "{", "7"})
    CHECK_THROWS_AS(parseDispatchSettings(Text), SettingsError);
}

TEST_CASE("each fault of a settings file is reported with the file's name") {
  auto Error = [](const std::string &File) -> std::string {
    try {
      loadDispatchSettings(File);
    } catch (const SettingsError &E) {
      return E.what();
    }
    return "";
  };
  std::filesystem::path Folder =
      std::filesystem::temp_directory_path() /
      ("comfreydeck-settings-" + std::to_string(::getpid()));
  std::filesystem::create_directory(Folder);
  std::string File = Folder / "entry.json";
  CHECK(Error(File) ==
        File + ": settings can't be read: No such file or directory");
  CHECK(Error(Folder) ==
        Folder.string() + ": settings can't be read: Is a directory");
  std::ofstream(File) << R"({"entry": {}, "platform": {})";
  std::string Syntax = Error(File);
  CHECK(Syntax.rfind(File + ": settings is not valid JSON: ", 0) == 0);
  CHECK(Syntax.find("line 1, column 29") != std::string::npos);
  std::ofstream(File) << R"({"entry": {"name": "a"}, "platform": {}})";
  std::stringstream Lines(Error(File));
  std::size_t Count = 0;
  for (std::string Line; std::getline(Lines, Line); ++Count)
    CHECK(Line.rfind(File + ": ", 0) == 0);
  CHECK(Count == 5);
  std::filesystem::remove_all(Folder);
}
