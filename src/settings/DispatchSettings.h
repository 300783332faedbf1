#ifndef COMFREYDECK_SETTINGS_DISPATCHSETTINGS_H
#define COMFREYDECK_SETTINGS_DISPATCHSETTINGS_H

#include "settings/Settings.h"

namespace comfreydeck::settings {

/// The settings of an entry of the job path.
struct DispatchSettings {
  std::string Name;
  std::string DataCentre;
  /// IP number and port for callers.
  std::string Callers;
  /// IP number and port of the balancer's probe.
  std::string Readiness;
  /// IP number and port for the other entries.
  std::string Peers;
  /// IP number and port of the counters; empty: not served.
  std::string Metrics;

  /// Processor share of the entry, in cores; zero: not told.
  double Cores = 0;
  /// Bandwidth of the entry's link in Mbit/s; zero: not told.
  double LinkMbps = 0;

  std::string Store;
  /// Empty: the platform moves and maintains no machines.
  std::string Machines;
  /// Empty: no queue is advised.
  std::string Advisor;

  /// A key that was taken away works no longer than this.
  core::Duration Revocation = std::chrono::seconds(5);
  /// Longest lease that workers grant.
  core::Duration MaxLease = std::chrono::seconds(10);
  /// Longest time that a worker takes for a stop.
  core::Duration StopTime = std::chrono::milliseconds(400);
  /// A lasting task away for longer counts as absent for any cause.
  core::Duration AbsenceNotice = std::chrono::milliseconds(4500);
  /// From the order to stop to the end of the process.
  core::Duration Grace = std::chrono::seconds(6);
  /// How long the state of a finished job is kept.
  core::Duration KeepFinished = std::chrono::seconds(120);
};

/// Checks a whole document. Throws SettingsError with every fault in it.
/// Thread-safe.
DispatchSettings parseDispatchSettings(std::string_view Json);

/// Reads and checks a file. Throws SettingsError. Thread-safe.
DispatchSettings loadDispatchSettings(const std::string &File);

} // namespace comfreydeck::settings

#endif // COMFREYDECK_SETTINGS_DISPATCHSETTINGS_H
