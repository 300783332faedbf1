#ifndef COMFREYDECK_SETTINGS_OBJECTREADER_P_H
#define COMFREYDECK_SETTINGS_OBJECTREADER_P_H

#include "settings/Settings.h"

#include <nlohmann/json.hpp>

#include <set>

namespace comfreydeck::settings::detail {

/// Whether a field has to be there.
enum class Need : std::uint8_t { Required, Optional };

/// Bounds of a whole number, both allowed.
struct Range {
  std::int64_t Least = 0;
  std::int64_t Most = 0;
};

/// Reads the fields of one JSON object and notes each fault.
class ObjectReader {
public:
  /// \p Object and \p Faults must outlive the reader. Not thread-safe.
  ObjectReader(const nlohmann::json &Object, std::string Path,
               std::vector<SettingsFault> &Faults);

  /// Each leaves \p Out as it is where the field is absent or wrong.
  void text(const char *Field, std::string &Out, Need Needed);
  void number(const char *Field, std::uint32_t &Out, Range Allowed);
  void milliseconds(const char *Field, core::Duration &Out, Range Allowed);
  /// A number, whole or not.
  void real(const char *Field, double &Out, Range Allowed);
  /// A number of seconds, whole or not.
  void seconds(const char *Field, core::Duration &Out, Range Allowed);
  /// An IP number with a port.
  void address(const char *Field, std::string &Out, Need Needed);
  /// `http://IP:PORT` or `https://IP:PORT`.
  void url(const char *Field, std::string &Out);

  /// The object in that field; an empty one where it is absent or wrong.
  ObjectReader child(const char *Field, Need Needed);

  /// Notes every field that was not asked for.
  void rejectUnknown();

private:
  const nlohmann::json *take(const char *Field, Need Needed);
  void fault(const char *Field, std::string Message);

  const nlohmann::json &Object_;
  std::string Path_;
  std::vector<SettingsFault> &Faults_;
  std::set<std::string> Known_;
};

} // namespace comfreydeck::settings::detail

#endif // COMFREYDECK_SETTINGS_OBJECTREADER_P_H
