#include "settings/DispatchSettings.h"

#include "settings/ObjectReader_p.h"
#include "settings/SettingsFile_p.h"

namespace comfreydeck::settings {

namespace {

using detail::Need;
using detail::ObjectReader;

void readEntry(ObjectReader R, DispatchSettings &Out) {
  R.text("name", Out.Name, Need::Required);
  R.text("data_centre", Out.DataCentre, Need::Required);
  R.address("callers", Out.Callers, Need::Required);
  R.address("readiness", Out.Readiness, Need::Required);
  R.address("peers", Out.Peers, Need::Required);
  R.address("metrics", Out.Metrics, Need::Optional);
  R.rejectUnknown();
}

void readPlatform(ObjectReader R, DispatchSettings &Out) {
  R.address("store", Out.Store, Need::Required);
  R.address("machines", Out.Machines, Need::Optional);
  R.address("advisor", Out.Advisor, Need::Optional);
  R.rejectUnknown();
}

void readLimits(ObjectReader R, DispatchSettings &Out) {
  constexpr std::int64_t MaxCores = 1024;
  constexpr std::int64_t MaxMbps = 10000000;
  double Share = 0;
  // `cores` is the speed of a core, as a multiple of a standard core's.
  double Speed = 1;
  R.real("cpu_share", Share, {0, MaxCores});
  R.real("cores", Speed, {0, MaxCores});
  R.real("link_mbps", Out.LinkMbps, {0, MaxMbps});
  R.number("store_row_bytes", Out.StoreRowBytes, {32768, 1048576});
  R.rejectUnknown();
  Out.Cores = Share * Speed;
}

void readBounds(ObjectReader R, DispatchSettings &Out) {
  constexpr std::int64_t MaxRemoteFactor = 1000;
  R.milliseconds("revocation_ms", Out.Revocation, {500, 600000});
  R.milliseconds("max_lease_ms", Out.MaxLease, {500, 600000});
  R.milliseconds("stop_ms", Out.StopTime, {0, 60000});
  R.milliseconds("gang_timeout_ms", Out.GangTimeout, {500, 600000});
  R.milliseconds("absence_ms", Out.AbsenceNotice, {0, 600000});
  R.real("remote_factor", Out.RemoteFactor, {1, MaxRemoteFactor});
  R.seconds("grace_s", Out.Grace, {1, 600});
  R.seconds("status_s", Out.KeepFinished, {1, 86400});
  R.rejectUnknown();
}

} // namespace

DispatchSettings parseDispatchSettings(std::string_view Json) {
  std::vector<SettingsFault> Faults;
  DispatchSettings Out;
  nlohmann::json Document = detail::parseObject(Json);
  ObjectReader R(Document, "", Faults);
  readEntry(R.child("entry", Need::Required), Out);
  readPlatform(R.child("platform", Need::Required), Out);
  readLimits(R.child("limits", Need::Optional), Out);
  readBounds(R.child("bounds", Need::Optional), Out);
  R.rejectUnknown();
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
  return Out;
}

DispatchSettings loadDispatchSettings(const std::string &File) {
  return detail::parseFile(File, parseDispatchSettings);
}

} // namespace comfreydeck::settings
