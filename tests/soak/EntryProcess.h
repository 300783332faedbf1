#ifndef COMFREYDECK_TESTS_SOAK_ENTRYPROCESS_H
#define COMFREYDECK_TESTS_SOAK_ENTRYPROCESS_H

#include "core/Types.h"

#include <atomic>
#include <cstdint>
#include <string>

#include <sys/types.h>

namespace comfreydeck::soak {

struct EntryPorts {
  std::uint16_t Callers = 0;
  std::uint16_t Readiness = 0;
  std::uint16_t Peers = 0;
};

/// The loopback address of the entries that this process starts. Each soak has
/// its own, so that an entry that restarts finds its ports free and callers
/// never reach the entries of another soak. Thread-safe.
std::string entryAddress();

/// One process of the program, which may be ended and started again. Signals
/// come from one thread; the other methods are thread-safe.
class EntryProcess {
public:
  /// \p Number is the entry's own in this process. Writes the settings and the
  /// output to files in \p Directory.
  EntryProcess(std::string Program, std::string Directory, std::size_t Number,
               std::uint16_t StorePort);
  /// Ends the process at once.
  ~EntryProcess();

  EntryProcess(const EntryProcess &) = delete;
  EntryProcess &operator=(const EntryProcess &) = delete;

  /// Throws std::system_error if the process can't be started.
  void start();
  /// Does nothing if there is no process.
  void signal(int Signal);
  /// Whether the process has ended since the last \ref start; if so, it is
  /// collected. \p Status is then its status as of waitpid.
  bool hasEnded(int &Status);

  bool isRunning() const { return Pid_ != 0; }
  /// Whether SIGTERM was sent since the last \ref start.
  bool isLeaving() const { return Leaving_; }
  /// Latest time at which the process was started, killed, paused or continued.
  core::TimePoint disturbedAt() const { return DisturbedAt_; }
  const std::string &name() const { return Name_; }
  const EntryPorts &ports() const { return Ports_; }
  /// Resident memory in bytes; zero if there is no process.
  std::size_t residentBytes() const;

private:
  std::string Program_;
  std::string Directory_;
  std::string Name_;
  EntryPorts Ports_;
  std::atomic<pid_t> Pid_ = 0;
  std::atomic<bool> Leaving_ = false;
  std::atomic<core::TimePoint> DisturbedAt_{};
};

} // namespace comfreydeck::soak

#endif // COMFREYDECK_TESTS_SOAK_ENTRYPROCESS_H
