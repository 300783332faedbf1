#ifndef COMFREYDECK_SETTINGS_OBJECTREADER_P_H
#define COMFREYDECK_SETTINGS_OBJECTREADER_P_H

#include "settings/Settings.h"

#include <nlohmann/json.hpp>

#include <set>

namespace comfreydeck::settings::detail {

/// Whether a field is required.
enum class Need : std::uint8_t { Required, Optional };

/// Inclusive bounds of a number.
struct Range {
  std::int64_t Min = 0;
  std::int64_t Max = 0;
};

/// Reads the fields of one JSON object and records every validation error.
class ObjectReader {
public:
  /// \p Object and \p Faults must outlive the reader. Not thread-safe.
  ObjectReader(const nlohmann::json &Object, std::string Path,
               std::vector<SettingsFault> &Faults);

  /// These read a field into \p Out, and leave \p Out unchanged if the field is
  /// absent or invalid.
  void text(const char *Field, std::string &Out, Need Needed);
  void number(const char *Field, std::uint32_t &Out, Range Allowed);
  void milliseconds(const char *Field, core::Duration &Out, Range Allowed);
  /// A number, integer or not.
  void real(const char *Field, double &Out, Range Allowed);
  /// A number of seconds, integer or not.
  void seconds(const char *Field, core::Duration &Out, Range Allowed);
  /// `IP:PORT`.
  void address(const char *Field, std::string &Out, Need Needed);
  /// `http://IP:PORT` or `https://IP:PORT`.
  void url(const char *Field, std::string &Out);

  /// Returns a reader for the object in \p Field, or for an empty object if the
  /// field is absent or invalid.
  ObjectReader child(const char *Field, Need Needed);

  /// Records an error for every field that was not read.
  void rejectUnknown();

private:
  const nlohmann::json *findField(const char *Field, Need Needed);
  void addFault(const char *Field, std::string Message);

  const nlohmann::json &Object_;
  std::string Path_;
  std::vector<SettingsFault> &Faults_;
  std::set<std::string> Known_;
};

} // namespace comfreydeck::settings::detail

#endif // COMFREYDECK_SETTINGS_OBJECTREADER_P_H
