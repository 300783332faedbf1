#ifndef COMFREYDECK_COMFREYDECK_H
#define COMFREYDECK_COMFREYDECK_H

#include <cstdint>
#include <functional>
#include <string>

/// Runs entries inside another program.
namespace comfreydeck {

/// Options of an entry.
struct Init {
  /// Path of the settings file.
  std::string SettingsFile = "entry.json";
  /// Whether \ref stop waits for requests in flight and hands over the entry's
  /// pools.
  bool GracefulStop = true;
  /// Called once, on a thread of the entry, when the other entries have fenced
  /// this one: it no longer serves and should be stopped and restarted.
  std::function<void()> OnFenced;
};

/// Identifies a running entry.
struct EntryHandle {
  static constexpr std::uint32_t InvalidValue = UINT32_MAX;

  std::uint32_t Value = InvalidValue;
};

/// Whether the handle was returned by \ref start. Thread-safe.
bool isValid(EntryHandle Handle);

/// Starts an entry with its own threads; it is listening when this returns.
/// Throws std::runtime_error if the settings are invalid or an address can't be
/// bound. Thread-safe.
EntryHandle start(const Init &Options);

/// Stops the entry and frees its handle. Blocks until the entry has stopped.
/// Throws std::invalid_argument if no entry has the handle. Thread-safe; call
/// once for each handle.
void stop(EntryHandle Handle);

} // namespace comfreydeck

#endif // COMFREYDECK_COMFREYDECK_H
