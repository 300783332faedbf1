#include "comfreydeck/comfreydeck.h"
#include "entry/Entry.h"

#include <map>
#include <mutex>
#include <stdexcept>

namespace comfreydeck {

namespace {

struct RunningEntry {
  std::unique_ptr<entry::Entry> Process;
  bool GracefulStop = true;
};

/// The running entries of this process by handle.
struct Registry {
  std::mutex Mutex;
  std::uint32_t Next = 0;
  std::map<std::uint32_t, RunningEntry> Running;
};

Registry &registry() {
  static Registry Instance;
  return Instance;
}

RunningEntry take(EntryHandle Handle) {
  Registry &R = registry();
  std::lock_guard<std::mutex> Lock(R.Mutex);
  auto It = R.Running.find(Handle.Value);
  if (It == R.Running.end())
    throw std::invalid_argument("no entry has this handle");
  RunningEntry Taken = std::move(It->second);
  R.Running.erase(It);
  return Taken;
}

} // namespace

bool isValid(EntryHandle Handle) {
  return Handle.Value != EntryHandle::InvalidValue;
}

EntryHandle start(const Init &Options) {
  RunningEntry Started{
      std::make_unique<entry::Entry>(
          settings::loadSettings(Options.SettingsFile), Options.OnFenced),
      Options.GracefulStop};
  Started.Process->start();
  Registry &R = registry();
  std::lock_guard<std::mutex> Lock(R.Mutex);
  EntryHandle Handle{R.Next++};
  R.Running.emplace(Handle.Value, std::move(Started));
  return Handle;
}

void stop(EntryHandle Handle) {
  RunningEntry Stopping = take(Handle);
  if (Stopping.GracefulStop)
    Stopping.Process->stopGracefully();
}

} // namespace comfreydeck
