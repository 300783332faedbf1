#include "settings/ObjectReader_p.h"
#include "settings/SettingsFile_p.h"

namespace comfreydeck::settings {

namespace {

using detail::Need;
using detail::ObjectReader;
using nlohmann::json;

constexpr std::size_t MinTokenBytes = 16;
constexpr std::size_t KeyHashHexDigits = 64;

std::string describe(std::span<const SettingsFault> Faults,
                     std::string_view File) {
  std::string Text;
  for (const SettingsFault &Fault : Faults) {
    if (!Text.empty())
      Text += '\n';
    if (!File.empty())
      Text.append(File).append(": ");
    Text += Fault.Path.empty() ? "settings" : Fault.Path;
    Text += ' ' + Fault.Message;
  }
  return Text;
}

void readEntry(ObjectReader R, EntrySettings &Out) {
  R.text("name", Out.Name, Need::Required);
  R.text("datacentre", Out.DataCentre, Need::Required);
  R.address("listen", Out.Listen, Need::Required);
  R.address("peer_listen", Out.PeerListen, Need::Required);
  R.number("traffic_threads", Out.TrafficThreads, {1, 64});
  R.rejectUnknown();
}

void readPlatform(ObjectReader R, PlatformSettings &Out) {
  R.url("table_service", Out.TableService);
  R.url("object_store", Out.ObjectStore);
  R.url("instance_list", Out.InstanceList);
  R.milliseconds("call_limit_ms", Out.CallLimit, {100, 30000});
  R.rejectUnknown();
}

void readCluster(ObjectReader R, ClusterSettings &Out,
                 std::vector<SettingsFault> &Faults) {
  R.text("token", Out.Token, Need::Required);
  R.text("certificate_file", Out.CertificateFile, Need::Optional);
  R.text("key_file", Out.KeyFile, Need::Optional);
  R.text("authority_file", Out.AuthorityFile, Need::Optional);
  R.rejectUnknown();
  if (!Out.Token.empty() && Out.Token.size() < MinTokenBytes)
    Faults.push_back({"cluster.token", "must have at least 16 characters"});
  int Files = static_cast<int>(!Out.CertificateFile.empty()) +
              static_cast<int>(!Out.KeyFile.empty()) +
              static_cast<int>(!Out.AuthorityFile.empty());
  if (Files != 0 && Files != 3)
    Faults.push_back({"cluster", "must have all of certificate_file, key_file "
                                 "and authority_file, or none"});
}

void readLease(ObjectReader R, LeaseSettings &Out,
               std::vector<SettingsFault> &Faults) {
  R.milliseconds("freshness_ms", Out.Freshness, {200, 10000});
  R.milliseconds("store_grace_ms", Out.StoreGrace, {1000, 3600000});
  R.milliseconds("poll_every_ms", Out.PollEvery, {50, 5000});
  R.rejectUnknown();
  if (Out.PollEvery * 2 > Out.Freshness)
    Faults.push_back(
        {"lease.poll_every_ms", "must be at most half of lease.freshness_ms"});
}

void readTraffic(ObjectReader R, TrafficSettings &Out) {
  R.number("max_body_bytes", Out.MaxBodyBytes, {1024, 64 << 20});
  R.milliseconds("default_deadline_ms", Out.DefaultDeadline, {100, 3600000});
  R.milliseconds("max_deadline_ms", Out.MaxDeadline, {100, 3600000});
  R.milliseconds("leave_notice_ms", Out.LeaveNotice, {0, 600000});
  R.milliseconds("drain_limit_ms", Out.DrainLimit, {0, 3600000});
  R.rejectUnknown();
}

void readFleet(ObjectReader R, FleetSettings &Out) {
  R.milliseconds("warm_up_ms", Out.WarmUp, {100, 3600000});
  R.milliseconds("reboot_limit_ms", Out.RebootLimit, {1000, 86400000});
  R.rejectUnknown();
}

void readBootstrapKey(ObjectReader &R, Settings &Out,
                      std::vector<SettingsFault> &Faults) {
  constexpr const char *Field = "bootstrap_operator_key_hash";
  R.text(Field, Out.BootstrapOperatorKeyHash, Need::Optional);
  const std::string &Hash = Out.BootstrapOperatorKeyHash;
  bool Hex = Hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!Hash.empty() && (!Hex || Hash.size() != KeyHashHexDigits))
    Faults.push_back({Field, "must be 64 lower-case hex digits"});
}

} // namespace

SettingsError::SettingsError(std::vector<SettingsFault> Faults,
                             std::string_view File)
    : std::runtime_error(describe(Faults, File)), Faults_(std::move(Faults)) {}

Settings parseSettings(std::string_view Json) {
  json Document = detail::parseObject(Json);
  Settings Out;
  std::vector<SettingsFault> Faults;
  ObjectReader R(Document, "", Faults);
  readEntry(R.child("entry", Need::Required), Out.Entry);
  readPlatform(R.child("platform", Need::Required), Out.Platform);
  readCluster(R.child("cluster", Need::Required), Out.Cluster, Faults);
  readLease(R.child("lease", Need::Optional), Out.Lease, Faults);
  readTraffic(R.child("traffic", Need::Optional), Out.Traffic);
  readFleet(R.child("fleet", Need::Optional), Out.Fleet);
  readBootstrapKey(R, Out, Faults);
  R.rejectUnknown();
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
  return Out;
}

Settings loadSettings(const std::string &File) {
  return detail::parseFile(File, parseSettings);
}

} // namespace comfreydeck::settings
