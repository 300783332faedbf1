#include "codec/MaintenanceJson.h"

#include "codec/ConfigJson.h"

#include <nlohmann/json.hpp>

#include <array>

namespace comfreydeck::codec {

namespace {

using namespace core;
using nlohmann::json;

constexpr std::array<const char *, 4> StateNames = {"running", "paused",
                                                    "cancelled", "done"};
constexpr std::array<const char *, 6> HoldNames = {
    "none", "complete", "canary", "failures", "budget", "not-running"};
constexpr std::array<const char *, 4> ScopeNames = {"all", "pool", "rack",
                                                    "datacentre"};

template <typename T, std::size_t N>
T fromName(const std::array<const char *, N> &Names, std::string_view Text) {
  for (std::size_t I = 0; I < N; ++I)
    if (Text == Names[I])
      return static_cast<T>(I);
  throw CodecError("'" + std::string(Text) + "' is not known");
}

/// Parses \p Text, runs \p Read on it and rethrows the JSON library's errors as
/// CodecError.
template <typename F> auto parseRow(std::string_view Text, F Read) {
  try {
    return Read(json::parse(Text));
  } catch (const json::exception &E) {
    throw CodecError(E.what());
  }
}

std::string textOf(const json &J, const char *Name) {
  return J.at(Name).get<std::string>();
}

std::uint32_t numberOf(const json &J, const char *Name) {
  return J.at(Name).get<std::uint32_t>();
}

} // namespace

const char *nameOf(WaveState State) {
  return StateNames.at(static_cast<std::size_t>(State));
}

const char *nameOf(WaveHold Hold) {
  return HoldNames.at(static_cast<std::size_t>(Hold));
}

const char *nameOf(WaveScope Scope) {
  return ScopeNames.at(static_cast<std::size_t>(Scope));
}

WaveScope parseWaveScope(std::string_view Text) {
  return fromName<WaveScope>(ScopeNames, Text);
}

std::string toJson(const LedgerRow &Row) {
  json Permits = json::array();
  for (WorkerId Id : Row.Ledger.Permits)
    Permits.push_back(Id.Value);
  json J = {{"pool", Row.Ledger.Pool.Value},
            {"permits", Permits},
            {"change", Row.Change}};
  return J.dump();
}

LedgerRow parseLedgerRow(std::string_view Text) {
  return parseRow(Text, [](const json &J) {
    LedgerRow Row;
    Row.Ledger.Pool.Value = numberOf(J, "pool");
    for (const json &Id : J.at("permits"))
      Row.Ledger.Permits.insert(WorkerId{Id.get<std::uint32_t>()});
    Row.Change = textOf(J, "change");
    return Row;
  });
}

std::string toJson(const Wave &W) {
  json J = {{"wave", W.Id.Value},
            {"scope", nameOf(W.Scope)},
            {"name", W.Name},
            {"state", nameOf(W.State)},
            {"by", W.By},
            {"why", W.Why},
            {"started_unix_ms", W.StartedUnixMs},
            {"failures_after_unix_ms", W.FailuresAfterUnixMs}};
  return J.dump();
}

Wave parseWave(std::string_view Text) {
  return parseRow(Text, [](const json &J) {
    Wave W;
    W.Id.Value = numberOf(J, "wave");
    W.Scope = parseWaveScope(textOf(J, "scope"));
    W.Name = textOf(J, "name");
    W.State = fromName<WaveState>(StateNames, textOf(J, "state"));
    W.By = textOf(J, "by");
    W.Why = textOf(J, "why");
    W.StartedUnixMs = J.at("started_unix_ms").get<std::int64_t>();
    W.FailuresAfterUnixMs = J.at("failures_after_unix_ms").get<std::int64_t>();
    return W;
  });
}

std::string toJson(const WavePoolRow &Row) {
  json J = {{"wave", Row.Wave.Value},
            {"pool", Row.Pool.Value},
            {"total", Row.Progress.Total},
            {"done", Row.Progress.Done},
            {"active", Row.Progress.Active},
            {"warming", Row.Progress.Warming},
            {"failed", Row.Progress.Failed},
            {"hold", nameOf(Row.Hold)},
            {"why", Row.Why}};
  return J.dump();
}

WavePoolRow parseWavePoolRow(std::string_view Text) {
  return parseRow(Text, [](const json &J) {
    WavePoolRow Row;
    Row.Wave.Value = numberOf(J, "wave");
    Row.Pool.Value = numberOf(J, "pool");
    Row.Progress.Total = numberOf(J, "total");
    Row.Progress.Done = numberOf(J, "done");
    Row.Progress.Active = numberOf(J, "active");
    Row.Progress.Warming = numberOf(J, "warming");
    Row.Progress.Failed = numberOf(J, "failed");
    Row.Hold = fromName<WaveHold>(HoldNames, textOf(J, "hold"));
    Row.Why = textOf(J, "why");
    return Row;
  });
}

} // namespace comfreydeck::codec
