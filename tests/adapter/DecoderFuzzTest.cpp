#include "Rows.h"
#include "settings/DispatchSettings.h"

#include <doctest/doctest.h>

#include <random>

using namespace comfreydeck;

namespace {

constexpr std::uint32_t Seed = 20261205;
constexpr int Mutations = 20000;

constexpr const char *ConfigRow =
    R"({"Version":3,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/q/",
    "ServiceName":"p","MaxAttempts":3,"Priority":1,"SlackFactor":2.5,
    "TargetDurationMs":900,"Advisor":{"DecisionMs":5}}],"Services":[{"Name":"p",
    "Standby":true}],"Tenants":[{"Name":"t","ApiKeys":["k"],"Weight":2,
    "MaxCount":{"Cpu":1000}}],"Limits":{"MaxBodyBytes":1000}})";
constexpr const char *WaveRow =
    R"({"Wave":4,"Machines":["m1","m2"],"DurationS":12.5,"MaxCount":2})";
constexpr const char *WorkerRow =
    R"({"ServiceName":"p","Address":"127.0.0.1:80","Zone":"z","State":"ready",
    "ColdRemainingMs":5,"Sequence":8,"ClockMs":9,"born":1700000000000,
    "Labels":["a","r1-1"],"Capacity":{"Cpu":8000,"MemoryRequestMb":8000}})";
constexpr const char *JobBody =
    R"({"TaskSpec":"x","Steps":[{"TaskCount":2,"Cpu":1000,"EstimatedMs":150,
    "MemoryRequestMb":100,"AntiAffinity":1,"Image":"i"},{"TaskCount":1,
    "After":[0],"Perpetual":true,"MissAllowance":1}],"Repetitions":2,
    "FirstRunMs":1700000000000,"IntervalMs":100})";
constexpr const char *Settings =
    R"({"entry":{"name":"e","data_centre":"z","callers":"127.0.0.1:1",
    "readiness":"127.0.0.1:2","peers":"127.0.0.1:3"},"platform":{"store":
    "127.0.0.1:4"},"limits":{"cpu_share":0.25,"cores":1},"bounds":{
    "revocation_ms":5000,"grace_s":6}})";

/// Calls \p Decode with mutations of \p Text: cut, changed, repeated in part,
/// or with a number that fits nowhere.
template <typename Function>
void mutate(std::string_view Text, Function Decode) {
  std::mt19937 Random(Seed);
  for (int N = 0; N < Mutations; ++N) {
    std::string Mutated(Text);
    for (std::uint32_t Left = 1 + Random() % 3; Left > 0; --Left) {
      std::size_t At = Random() % Mutated.size();
      std::size_t Digit = Mutated.find_first_of("0123456789", At);
      switch (Random() % 5) {
      case 0:
        Mutated.resize(At + 1);
        break;
      case 1:
        Mutated.insert(At, Mutated.substr(At / 2, Random() % 40));
        break;
      case 2:
        if (Digit != std::string::npos)
          Mutated.replace(Digit, 1, Random() % 2 == 0 ? "-1e300" : "9e18");
        break;
      default:
        Mutated[At] = static_cast<char>(Random() % 256);
      }
    }
    CAPTURE(Mutated);
    Decode(Mutated);
  }
}

store::PartRow rowOf(const char *Table, const char *Key, std::string Value) {
  store::PartRow Row;
  Row.Where = {Table, "", Key};
  Row.Value = std::move(Value);
  return Row;
}

/// Whether the decoder returned or threw what ends a single call.
template <typename Function> bool endsAtMostItsCall(Function Decode) {
  try {
    Decode();
    return true;
  } catch (const std::exception &) {
    return true;
  } catch (...) {
    return false;
  }
}

} // namespace

TEST_CASE("mutated rows of the platform end at most their reading") {
  dispatch::RowDecoder Decoder = platform::makeRowDecoder();
  mutate(ConfigRow, [&](const std::string &Text) {
    CHECK(endsAtMostItsCall(
        [&] { Decoder.Operator(rowOf("op", "config", Text)); }));
  });
  mutate(WaveRow, [&](const std::string &Text) {
    CHECK(endsAtMostItsCall(
        [&] { Decoder.Operator(rowOf("op", "wave/4", Text)); }));
  });
  mutate(WorkerRow, [&](const std::string &Text) {
    CHECK(endsAtMostItsCall([&] {
      Decoder.WorkerWithoutHeartbeat(Text);
      Decoder.Worker(rowOf("servers", "w", Text));
    }));
  });
}

TEST_CASE("mutated bodies of callers end at most their call") {
  dispatch::CallerCodec Codec = platform::makeCallerWire();
  mutate(JobBody, [&](const std::string &Text) {
    CHECK(endsAtMostItsCall([&] {
      jobs::JobSpec Spec;
      Codec.Job(Text, Spec);
      jobs::validationError(Spec);
    }));
  });
}

TEST_CASE("mutated settings are read or refused with all their faults") {
  mutate(Settings, [](const std::string &Text) {
    try {
      settings::parseDispatchSettings(Text);
    } catch (const settings::SettingsError &E) {
      CHECK(std::string_view(E.what()).size() > 0);
    }
  });
}
