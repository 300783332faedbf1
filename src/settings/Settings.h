#ifndef COMFREYDECK_SETTINGS_SETTINGS_H
#define COMFREYDECK_SETTINGS_SETTINGS_H

#include "core/Types.h"

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// The settings of one entry process, read once from JSON.
namespace comfreydeck::settings {

/// Who this entry is and where it listens.
struct EntrySettings {
  std::string Name;
  std::string DataCentre;
  /// IP number and port for callers and operators.
  std::string Listen = "127.0.0.1:8080";
  /// IP number and port for the other entries.
  std::string PeerListen = "127.0.0.1:9080";
  std::uint32_t TrafficThreads = 2;
};

/// Where the platform's services are.
struct PlatformSettings {
  std::string TableService;
  std::string ObjectStore;
  std::string InstanceList;
  core::Duration CallLimit = std::chrono::milliseconds(1500);
};

/// How entries speak with one another.
struct ClusterSettings {
  /// The same at every entry.
  std::string Token;
  /// PEM files; all three or none.
  std::string CertificateFile;
  std::string KeyFile;
  std::string AuthorityFile;
};

/// Bounds of the serving lease.
struct LeaseSettings {
  /// How old a proof may be.
  core::Duration Freshness = std::chrono::milliseconds(2000);
  /// How long proofs of peers may stand in for the store.
  core::Duration StoreGrace = std::chrono::minutes(15);
  core::Duration PollEvery = std::chrono::milliseconds(500);
};

/// Bounds on callers' requests.
struct TrafficSettings {
  std::uint32_t MaxBodyBytes = 8 << 20;
  core::Duration DefaultDeadline = std::chrono::seconds(60);
  core::Duration MaxDeadline = std::chrono::minutes(30);
  /// How long a leaving entry still takes requests, so that callers' balancers
  /// see that it is not ready.
  core::Duration LeaveNotice = std::chrono::seconds(1);
  /// How long a graceful stop waits for requests in flight.
  core::Duration DrainLimit = std::chrono::seconds(60);
};

/// Times of maintenance.
struct FleetSettings {
  /// From the first task on a returning instance to all of its slots.
  core::Duration WarmUp = std::chrono::seconds(30);
  /// A reboot that takes longer has failed.
  core::Duration RebootLimit = std::chrono::minutes(15);
};

struct Settings {
  EntrySettings Entry;
  PlatformSettings Platform;
  ClusterSettings Cluster;
  LeaseSettings Lease;
  TrafficSettings Traffic;
  FleetSettings Fleet;
  /// Hash of the first operator's key as hex; used while no operator key is
  /// granted.
  std::string BootstrapOperatorKeyHash;
};

/// One fault of a settings document.
struct SettingsFault {
  /// Path of the field, as in `lease.freshness_ms`.
  std::string Path;
  std::string Message;
};

/// All faults of a document at once.
class SettingsError : public std::runtime_error {
public:
  explicit SettingsError(std::vector<SettingsFault> Faults);

  /// Never empty. Thread-safe.
  std::span<const SettingsFault> faults() const { return Faults_; }

private:
  std::vector<SettingsFault> Faults_;
};

/// Checks a whole document. Throws SettingsError with every fault in it.
/// Thread-safe.
Settings parseSettings(std::string_view Json);

/// Reads and checks a file. Throws SettingsError. Thread-safe.
Settings loadSettings(const std::string &File);

} // namespace comfreydeck::settings

#endif // COMFREYDECK_SETTINGS_SETTINGS_H
