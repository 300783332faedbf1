#include "operators/Commands.h"
#include "operators/OperatorHarness.h"
#include "operators/Samples.h"
#include "operators/TextTable.h"

#include <CLI/CLI.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using namespace comfreydeck;
using namespace comfreydeck::tests;
using nlohmann::json;
using operators::ExitCode;

namespace {

struct CommandResult {
  ExitCode Exit = ExitCode::Ok;
  std::string Out;
  std::string Error;
};

/// Runs command lines, by default against the harness's first entry.
struct CommandLine {
  OperatorHarness &Harness;
  std::vector<std::string> Entries = {Harness.url(0)};
  std::string In = "";

  CommandResult operator()(const std::string &Line) const {
    CommandResult Result;
    std::stringstream Out;
    std::stringstream Input(In);
    operators::CommandContext Context{{Entries, Harness.bootstrapSecret()},
                                      operators::OutputFormat::Table,
                                      Out,
                                      Input,
                                      ExitCode::Ok};
    CLI::App App;
    App.require_subcommand(1);
    operators::addCommands(App, Context);
    try {
      App.parse(Line, false);
      Result.Exit = Context.Exit;
    } catch (const CLI::ParseError &E) {
      Result.Exit = ExitCode::Usage;
      Result.Error = E.what();
    } catch (const operators::OperatorError &E) {
      Result.Exit = E.exitCode();
      Result.Error = E.what();
    }
    Result.Out = Out.str();
    return Result;
  }

  /// Runs a command that changes the configuration, waits until the change is
  /// in force and returns the output.
  std::string change(const std::string &Line) const {
    std::uint64_t Before = Harness.versionAt(0);
    CommandResult Result = (*this)(Line);
    CAPTURE(Line);
    CAPTURE(Result.Error);
    REQUIRE((Result.Exit == ExitCode::Ok || Result.Exit == ExitCode::Pending));
    Harness.waitFor(Before + 1);
    return Result.Out;
  }
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// A file that is removed at the end of the scope.
struct TemporaryFile {
  explicit TemporaryFile(const std::string &Content) {
    char Pattern[] = "/tmp/comfreydeck-test-XXXXXX";
    int Handle = mkstemp(Pattern);
    REQUIRE(Handle >= 0);
    close(Handle);
    Name = Pattern;
    std::ofstream(Name) << Content;
  }
  ~TemporaryFile() { std::remove(Name.c_str()); }
  std::string Name;
};

} // namespace

TEST_CASE("a customer can be shown, copied, edited and removed") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  CommandLine Run{Harness};
  std::string Page = Run("customer show beach").Out;
  CHECK(contains(Page, "customer beach, from template rental"));
  CHECK(contains(Page, "beach-filing"));
  CommandResult Dry = Run("customer copy beach pier --set share=5 --dry-run");
  CHECK(Dry.Exit == ExitCode::Ok);
  CHECK(contains(Dry.Out, "customers touched: pier"));
  CHECK(contains(Dry.Out, "nothing was changed"));
  CHECK_FALSE(contains(Run("customer list").Out, "pier"));
  Run.change("customer copy beach pier --set share=5");
  CHECK(contains(Run("customer list").Out, "pier"));
  CHECK(contains(Run("customer diff beach pier").Out, "parameter share"));
  std::string Key = Run.change("key grant pier --label kiosk-1");
  CHECK(contains(Key, "secret cfd_"));
  CHECK(contains(Run("key list --team pier").Out, "kiosk-1"));
  CHECK_FALSE(contains(Run("key list").Out, "cfd_"));
  CHECK_FALSE(contains(Run("config show").Out, "cfd_"));
  json Keys = json::parse(Run("key list --output json").Out);
  Run.change("key withdraw " + Keys.at(0).at("id").dump());
  CHECK_FALSE(contains(Run("key list").Out, "kiosk-1"));
  Run.change("customer edit pier --unset share");
  CHECK(contains(Run("customer diff beach pier").Out, "nothing differs"));
  Run.change("customer remove pier");
  CHECK_FALSE(contains(Run("team list").Out, "pier"));
}

TEST_CASE("editing a template shows the effect and asks for confirmation") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  json Template = json::parse(
      CommandLine{Harness}("template show rental --output json").Out);
  Template["parameters"][0]["default"] = 7;
  TemporaryFile File(Template.dump());
  CommandLine No{Harness, {Harness.url(0)}, "n\n"};
  CommandResult Refused = No("template edit " + File.Name);
  CHECK(Refused.Exit == ExitCode::Failed);
  CHECK(contains(Refused.Out, "customers touched: beach"));
  CHECK(contains(No("team show beach").Out, "2 "));
  CommandLine Yes{Harness, {Harness.url(0)}, "y\n"};
  Yes.change("template edit " + File.Name);
  json Teams = json::parse(Yes("team list --output json").Out);
  CHECK(Teams.at(0).at("share") == 7);
  CHECK(No("template create " + File.Name).Exit == ExitCode::Failed);
}

TEST_CASE(
    "pools, teams, queues and data centres can be set one by one and listed") {
  OperatorHarness Harness(1);
  CommandLine Run{Harness};
  Run.change("pool create signing --absent-limit 2");
  Run.change("datacentre create dc1");
  Run.change("team set pier --share 3 --upper-limit 9");
  Run.change("queue set sign --pool signing --teams pier --idempotent true");
  Run.change("team set pier --upper-limit 12");
  CHECK(json::parse(Run("team show pier --output json").Out).at(0) ==
        json({{"name", "pier"},
              {"share", 3},
              {"upper_limit", 12},
              {"keys", 0},
              {"customer", nullptr}}));
  CHECK(contains(Run("queue show sign").Out, "signing"));
  CHECK(contains(Run("pool list").Out, "signing"));
  CHECK(contains(Run("datacentre list").Out, "dc1"));
  CHECK(contains(Run("operator list").Out, "ROLE"));
  CHECK(contains(Run("history").Out, "put-queue sign"));
  CHECK(contains(Run("history --last 1").Out, "put-team pier"));
  CHECK_FALSE(contains(Run("history --last 1").Out, "put-queue"));
  CHECK(contains(Run("status").Out, "entries"));
}

TEST_CASE(
    "failed commands report an exit code and a reason and change nothing") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  struct Case {
    const char *Line;
    ExitCode Exit;
    const char *Error;
  };
  const Case Cases[] = {
      {"", ExitCode::Usage, ""},
      {"customer", ExitCode::Usage, ""},
      {"customer copy beach", ExitCode::Usage, "name"},
      {"customer copy beach pier --set share", ExitCode::Usage,
       "PARAMETER=VALUE"},
      {"customer copy beach pier --set limit=many", ExitCode::Usage,
       "limit must be a whole number"},
      {"customer copy beach pier --set colour=red", ExitCode::Usage,
       "no parameter 'colour'"},
      {"customer copy beach pier --set limit=65", ExitCode::Failed,
       "must be from 0 to 64"},
      {"customer copy nobody pier", ExitCode::Failed, "no customer 'nobody'"},
      {"customer copy beach beach", ExitCode::Failed, "already"},
      {"customer show nobody", ExitCode::Failed, "no customer 'nobody'"},
      {"customer edit beach --unset share", ExitCode::Usage, "is not set"},
      {"team remove beach", ExitCode::Failed, "belongs to customer 'beach'"},
      {"team show nobody", ExitCode::Failed, "no team 'nobody'"},
      {"team set pier --share x", ExitCode::Usage, "x"},
      {"pool set nothing", ExitCode::Failed, "no pool 'nothing'"},
      {"pool remove signing", ExitCode::Failed, "still serves queue"},
      {"key grant nobody", ExitCode::Failed, "no team 'nobody'"},
      {"key withdraw 9999", ExitCode::Failed, "no key 9999"},
      {"operator grant ann --role king", ExitCode::Usage, "king"},
      {"operator grant ann --role read", ExitCode::Failed,
       "must have the role administer"},
      {"template edit /nowhere/file", ExitCode::Usage, "can't read"},
      {"config apply /nowhere/file", ExitCode::Usage, "can't read"},
      {"status --output xml", ExitCode::Usage, "xml"},
  };
  std::uint64_t Version = Harness.versionAt(0);
  CommandLine Run{Harness};
  for (const Case &C : Cases) {
    CAPTURE(C.Line);
    CommandResult Result = Run(C.Line);
    CAPTURE(Result.Error);
    CHECK(Result.Exit == C.Exit);
    CHECK(contains(Result.Error, C.Error));
  }
  CHECK(Harness.versionAt(0) == Version);
}

TEST_CASE("a refused grant prints no secret") {
  OperatorHarness Harness(1);
  CommandLine Run{Harness};
  for (const char *Line : {"key grant nobody", "operator grant a --role read"})
    CHECK(Run(Line).Out == "");
}

TEST_CASE(
    "a change based on an old version is refused and the newer change shown") {
  OperatorHarness Harness(1);
  Harness.apply(SampleEdits);
  Harness.apply(R"([{"edit":"put-team","name":"pier"}])");
  TemporaryFile File(
      R"({"expected_version":1,"edits":[{"edit":"put-team","name":"late"}]})");
  CommandResult Result = CommandLine{Harness}("config apply " + File.Name);
  CHECK(Result.Exit == ExitCode::Conflict);
  CHECK(contains(Result.Error, "version 2"));
  CHECK(contains(Result.Error, "bootstrap"));
  CHECK(contains(Result.Error, "put-team pier"));
}

TEST_CASE("the next entry is tried if one can't be reached") {
  OperatorHarness Harness(1);
  CommandLine Run{Harness, {"http://127.0.0.1:1", Harness.url(0)}};
  CHECK(Run("status").Exit == ExitCode::Ok);
  CommandLine Unreachable{Harness, {"http://127.0.0.1:1"}};
  CommandResult Result = Unreachable("status");
  CHECK(Result.Exit == ExitCode::Failed);
  CHECK(contains(Result.Error, "no answer from http://127.0.0.1:1"));
}

TEST_CASE("a table is aligned and control characters are replaced") {
  CHECK(operators::format({{"name", "n"}, {{"a", "1"}, {"long one", ""}}}) ==
        "NAME      N\na         1\nlong one  -\n");
  CHECK(operators::format({{"a"}, {{"x\x1b[2J\n"}}}) == "A\nx?[2J?\n");
  CHECK(operators::format({{"a", "b"}, {{"é", "1"}, {"ab", "2"}}}) ==
        "A   B\né   1\nab  2\n");
}

namespace {

void parse(std::vector<const char *> Arguments) {
  operators::CommandContext Context;
  CLI::App App;
  App.require_subcommand(1);
  operators::addCommands(App, Context);
  Arguments.insert(Arguments.begin(), "comfreydeck");
  operators::parseCommandLine(App, static_cast<int>(Arguments.size()),
                              Arguments.data());
}

} // namespace

TEST_CASE("an unknown command is named, not reported as a missing command") {
  CHECK_THROWS_WITH_AS(parse({"frobnicate"}), "There is no command frobnicate",
                       CLI::ExtrasError);
  CHECK_THROWS_WITH_AS(parse({"team", "frobnicate"}),
                       "There is no command frobnicate", CLI::ExtrasError);
  CHECK_THROWS_AS(parse({}), CLI::RequiredError);
}

TEST_CASE("the help names the values of an option as they are written") {
  operators::CommandContext Context;
  CLI::App App;
  operators::addCommands(App, Context);
  std::string Help = App.help();
  CHECK(Help.find("--output table|json ") != std::string::npos);
  CHECK(Help.find("ENUM") == std::string::npos);
}

TEST_CASE("an unknown command is an error also beside --help") {
  auto Parse = parse;
  CHECK_THROWS_AS(Parse({"frobnicate", "--help"}), CLI::ExtrasError);
  CHECK_THROWS_AS(Parse({"--help", "frobnicate"}), CLI::ExtrasError);
  CHECK_THROWS_AS(Parse({"team", "frobnicate", "--help"}), CLI::ExtrasError);
  CHECK_THROWS_AS(Parse({"--help"}), CLI::CallForHelp);
  CHECK_THROWS_AS(Parse({"team", "--help"}), CLI::CallForHelp);
  CHECK_THROWS_AS(Parse({"team", "list", "--help"}), CLI::CallForHelp);
}
