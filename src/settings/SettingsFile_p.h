#ifndef COMFREYDECK_SETTINGS_SETTINGSFILE_P_H
#define COMFREYDECK_SETTINGS_SETTINGSFILE_P_H

#include "settings/Settings.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::settings::detail {

/// Parses a document that must be a JSON object. Throws SettingsError with the
/// position of the first error of syntax. Thread-safe.
nlohmann::json parseObject(std::string_view Json);

/// Reads a whole file. Throws SettingsError with the system's reason.
/// Thread-safe.
std::string readFile(const std::string &File);

/// Reads the file and parses it with \p Parse, whose faults are reported with
/// the file's name. Throws SettingsError.
template <typename ParseFunction>
auto parseFile(const std::string &File, ParseFunction Parse) {
  std::string Content = readFile(File);
  try {
    return Parse(Content);
  } catch (const SettingsError &E) {
    std::span<const SettingsFault> Faults = E.faults();
    throw SettingsError({Faults.begin(), Faults.end()}, File);
  }
}

} // namespace comfreydeck::settings::detail

#endif // COMFREYDECK_SETTINGS_SETTINGSFILE_P_H
