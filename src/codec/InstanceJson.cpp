#include "codec/InstanceJson.h"

#include "codec/ConfigJson.h"

#include <nlohmann/json.hpp>

#include <array>

namespace comfreydeck::codec {

namespace {

using namespace core;
using nlohmann::json;

constexpr std::array<const char *, 6> StateNames = {
    "serving", "draining", "empty", "rebooting", "warming", "failed"};

InstanceState stateFrom(const std::string &Text) {
  for (std::size_t I = 0; I < StateNames.size(); ++I)
    if (Text == StateNames[I])
      return static_cast<InstanceState>(I);
  throw CodecError("'" + Text + "' is not a state of an instance");
}

Instance instanceFrom(const json &J) {
  Instance I;
  I.Id.Value = J.at("id").get<std::uint32_t>();
  I.Name = J.at("name").get<std::string>();
  I.Pool.Value = J.at("pool").get<std::uint32_t>();
  I.State = stateFrom(J.at("state").get<std::string>());
  I.DataCentre = J.at("datacentre").get<std::string>();
  I.Rack = J.at("rack").get<std::string>();
  I.Address = J.at("address").get<std::string>();
  I.Slots = J.at("slots").get<std::uint32_t>();
  I.Total.MilliCpus = J.at("milli_cpus").get<std::uint32_t>();
  I.Total.MemoryMb = J.at("memory_mb").get<std::uint32_t>();
  I.Total.Accelerators = J.at("accelerators").get<std::uint32_t>();
  I.MoveTo.Value = J.value("move_to", PoolId::InvalidValue);
  I.RebootWhenEmpty = J.value("reboot_when_empty", false);
  I.Joining = J.value("joining", false);
  I.Wave.Value = J.value("wave", WaveId::InvalidValue);
  I.LastWave.Value = J.value("last_wave", WaveId::InvalidValue);
  I.BootId = J.value("boot_id", "");
  I.MaintainedUnixMs = J.value("maintained_unix_ms", std::int64_t{0});
  I.SinceUnixMs = J.value("since_unix_ms", std::int64_t{0});
  return I;
}

} // namespace

const char *nameOf(InstanceState State) {
  return StateNames.at(static_cast<std::size_t>(State));
}

std::string toJson(const Instance &I) {
  json J = {{"id", I.Id.Value},
            {"name", I.Name},
            {"pool", I.Pool.Value},
            {"state", nameOf(I.State)},
            {"datacentre", I.DataCentre},
            {"rack", I.Rack},
            {"address", I.Address},
            {"slots", I.Slots},
            {"milli_cpus", I.Total.MilliCpus},
            {"memory_mb", I.Total.MemoryMb},
            {"accelerators", I.Total.Accelerators},
            {"reboot_when_empty", I.RebootWhenEmpty},
            {"joining", I.Joining},
            {"boot_id", I.BootId},
            {"maintained_unix_ms", I.MaintainedUnixMs},
            {"since_unix_ms", I.SinceUnixMs}};
  if (I.MoveTo.isValid())
    J["move_to"] = I.MoveTo.Value;
  if (I.Wave.isValid())
    J["wave"] = I.Wave.Value;
  if (I.LastWave.isValid())
    J["last_wave"] = I.LastWave.Value;
  return J.dump();
}

Instance parseInstance(std::string_view Text) {
  try {
    return instanceFrom(json::parse(Text));
  } catch (const json::exception &E) {
    throw CodecError(E.what());
  }
}

} // namespace comfreydeck::codec
