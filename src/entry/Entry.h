#ifndef COMFREYDECK_ENTRY_ENTRY_H
#define COMFREYDECK_ENTRY_ENTRY_H

#include "settings/Settings.h"

#include <functional>
#include <memory>

namespace comfreydeck::entry {

/// An entry with all its components, threads and listeners.
class Entry {
public:
  /// \p OnFenced is called once, on the control thread, when the other entries
  /// have fenced this one and it may never serve again. It must not block.
  explicit Entry(settings::Settings Settings,
                 std::function<void()> OnFenced = {});
  /// Stops immediately if the entry is still running.
  ~Entry();

  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Starts listening and registers the entry. Throws std::runtime_error if an
  /// address can't be bound. Call once.
  void start();

  /// Reports that it is not ready, stops accepting connections, answers the
  /// requests it has received, hands over its pools and deregisters. Blocks;
  /// call once, after \ref start.
  void stopGracefully();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_ENTRY_H
