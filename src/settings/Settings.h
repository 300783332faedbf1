#ifndef COMFREYDECK_SETTINGS_SETTINGS_H
#define COMFREYDECK_SETTINGS_SETTINGS_H

#include "core/Types.h"

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// Settings of an entry process, read from JSON at startup.
namespace comfreydeck::settings {

/// Identity and listen addresses of this entry.
struct EntrySettings {
  std::string Name;
  std::string DataCentre;
  /// IP address and port for callers and operators.
  std::string Listen = "127.0.0.1:8080";
  /// IP address and port for the other entries.
  std::string PeerListen = "127.0.0.1:9080";
  std::uint32_t TrafficThreads = 2;
};

/// URLs of the platform's services.
struct PlatformSettings {
  std::string TableService;
  std::string ObjectStore;
  std::string InstanceList;
  core::Duration CallLimit = std::chrono::milliseconds(1500);
};

/// Authentication and encryption of calls between entries.
struct ClusterSettings {
  /// Shared secret, the same for all entries.
  std::string Token;
  /// PEM files; all three or none.
  std::string CertificateFile;
  std::string KeyFile;
  std::string AuthorityFile;
};

/// Times of the lease under which an entry serves.
struct LeaseSettings {
  /// Maximum age of a proof.
  core::Duration Freshness = std::chrono::milliseconds(2000);
  /// How long proofs from peers may replace those from the store.
  core::Duration StoreGrace = std::chrono::minutes(15);
  core::Duration PollEvery = std::chrono::milliseconds(500);
};

/// Limits of callers' requests.
struct TrafficSettings {
  std::uint32_t MaxBodyBytes = 8 << 20;
  core::Duration DefaultDeadline = std::chrono::seconds(60);
  core::Duration MaxDeadline = std::chrono::minutes(30);
  /// How long an entry that shuts down still accepts requests, so that load
  /// balancers notice that it is not ready.
  core::Duration LeaveNotice = std::chrono::seconds(1);
  /// How long a graceful stop waits for requests in flight.
  core::Duration DrainLimit = std::chrono::seconds(60);
};

/// Times of machine maintenance.
struct FleetSettings {
  /// Time over which an instance that returns ramps up from its first task to
  /// all of its slots.
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
  /// Hash of the initial operator key, in hex; accepted only as long as no
  /// operator key has been granted.
  std::string BootstrapOperatorKeyHash;
};

/// One validation error of a settings document.
struct SettingsFault {
  /// Path of the field, for example `lease.freshness_ms`.
  std::string Path;
  std::string Message;
};

/// Carries all validation errors of a document.
class SettingsError : public std::runtime_error {
public:
  /// \p File is named before each fault; empty if the document is no file.
  explicit SettingsError(std::vector<SettingsFault> Faults,
                         std::string_view File = {});

  /// Never empty. Thread-safe.
  std::span<const SettingsFault> faults() const { return Faults_; }

private:
  std::vector<SettingsFault> Faults_;
};

/// Parses and validates a document. Throws SettingsError with all validation
/// errors. Thread-safe.
Settings parseSettings(std::string_view Json);

/// Reads, parses and validates a file. Throws SettingsError. Thread-safe.
Settings loadSettings(const std::string &File);

} // namespace comfreydeck::settings

#endif // COMFREYDECK_SETTINGS_SETTINGS_H
