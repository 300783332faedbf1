#ifndef COMFREYDECK_SETTINGS_DISPATCHSETTINGS_H
#define COMFREYDECK_SETTINGS_DISPATCHSETTINGS_H

#include "settings/Settings.h"

namespace comfreydeck::settings {

/// Settings of an entry of the job path.
struct DispatchSettings {
  std::string Name;
  std::string DataCentre;
  /// IP address and port for callers.
  std::string Callers;
  /// IP address and port of the load balancer's readiness probe.
  std::string Readiness;
  /// IP address and port for the other entries.
  std::string Peers;
  /// IP address and port of the metrics endpoint; empty: metrics aren't served.
  std::string Metrics;

  /// Processor share of the entry, in cores; zero: unknown.
  double Cores = 0;
  /// Bandwidth of the entry's link in Mbit/s; zero: unknown.
  double LinkMbps = 0;

  /// Most bytes in a row of the store.
  std::uint32_t StoreRowBytes = 65536;

  std::string Store;
  /// IP address and port of the machine control; empty: the platform neither
  /// moves nor maintains machines.
  std::string Machines;
  /// IP address and port of the advisor, which approves workers for queues;
  /// empty: there is no advisor.
  std::string Advisor;

  /// Maximum time that a revoked key remains valid.
  core::Duration Revocation = std::chrono::seconds(5);
  /// Maximum lease that workers grant.
  core::Duration MaxLease = std::chrono::seconds(10);
  /// Maximum time that a worker takes to stop a task.
  core::Duration StopTime = std::chrono::milliseconds(400);
  /// How long a worker lets a member of a gang wait for the others.
  core::Duration GangTimeout = std::chrono::milliseconds(3000);
  /// A lasting task that is unavailable for longer counts as absent, whatever
  /// the cause.
  core::Duration AbsenceNotice = std::chrono::milliseconds(4500);
  /// How many times as long a task takes on another rack than that of its data,
  /// and tasks that want one rack on several.
  double RemoteFactor = 1;
  /// Time between the stop request and the end of the process.
  core::Duration Grace = std::chrono::seconds(6);
  /// How long the state of a finished job is kept.
  core::Duration KeepFinished = std::chrono::seconds(120);
};

/// Parses and validates a document. Throws SettingsError with all validation
/// errors. Thread-safe.
DispatchSettings parseDispatchSettings(std::string_view Json);

/// Reads, parses and validates a file. Throws SettingsError. Thread-safe.
DispatchSettings loadDispatchSettings(const std::string &File);

} // namespace comfreydeck::settings

#endif // COMFREYDECK_SETTINGS_DISPATCHSETTINGS_H
