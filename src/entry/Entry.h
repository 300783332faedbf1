#ifndef COMFREYDECK_ENTRY_ENTRY_H
#define COMFREYDECK_ENTRY_ENTRY_H

#include "settings/Settings.h"

#include <memory>

namespace comfreydeck::entry {

/// One whole entry process.
class Entry {
public:
  explicit Entry(settings::Settings Settings);
  /// Stops at once where it still runs.
  ~Entry();

  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Listens and registers. Throws std::runtime_error where an address can't be
  /// bound. Call once.
  void start();

  /// Says that it is not ready, takes no new connection, answers what it has
  /// received, hands over what it owns and leaves. Blocks; call once, after
  /// \ref start.
  void stopGracefully();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_ENTRY_H
