#ifndef COMFREYDECK_COMFREYDECK_H
#define COMFREYDECK_COMFREYDECK_H

#include <cstdint>
#include <functional>
#include <string>

/// Runs entries inside another program.
namespace comfreydeck {

/// What an entry is started with.
struct Init {
  /// The settings file.
  std::string SettingsFile = "entry.json";
  /// Whether \ref stop waits for requests in flight and hands over.
  bool GracefulStop = true;
  /// Called once, on a thread of the entry, when the other entries have fenced
  /// this one: it does nothing more and should be stopped and started anew.
  std::function<void()> OnFenced;
};

/// Names a running entry.
struct EntryHandle {
  static constexpr std::uint32_t InvalidValue = UINT32_MAX;

  std::uint32_t Value = InvalidValue;
};

/// Whether the handle was given out by \ref start. Thread-safe.
bool isValid(EntryHandle Handle);

/// Starts an entry with threads of its own; it listens when this returns.
/// Throws std::runtime_error where the settings are wrong or an address can't
/// be bound. Thread-safe.
EntryHandle start(const Init &Options);

/// Stops the entry and frees its handle. Blocks until it has left. Throws
/// std::invalid_argument where no entry has the handle. Thread-safe, but once
/// for each handle.
void stop(EntryHandle Handle);

} // namespace comfreydeck

#endif // COMFREYDECK_COMFREYDECK_H
