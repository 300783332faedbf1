#ifndef COMFREYDECK_ENTRY_CONFIGSTORE_H
#define COMFREYDECK_ENTRY_CONFIGSTORE_H

#include "core/ConfigChange.h"
#include "entry/Context.h"

#include <mutex>

namespace comfreydeck::entry {

/// A change that an operator asks for.
struct ConfigProposal {
  /// The version that the operator saw; any, where there is none.
  std::optional<core::ConfigVersion> Expected;
  std::vector<core::ConfigEdit> Edits;
  std::string By;
};

enum class ProposalOutcome : std::uint8_t {
  /// Committed, and in force at every entry.
  InForce,
  /// Committed, but not yet in force everywhere.
  Pending,
  /// Another change came first; nothing was written.
  Conflict,
  /// The change can't be applied; nothing was written.
  Invalid,
  /// The store is away; nothing was written.
  Unavailable,
  /// The store's answer was lost and could not be read back yet.
  Unknown,
};

struct ProposalResult {
  ProposalOutcome Outcome = ProposalOutcome::Unavailable;
  /// The version made, or the present one after a conflict.
  core::ConfigVersion Version;
  std::string Message;
};

/// Part of the log.
struct LogPage {
  /// False where the store is away.
  bool Available = false;
  std::vector<core::ConfigChange> Changes;
  /// Whether later changes were left out.
  bool More = false;
};

/// The configuration's log in the table service, and this entry's copy of it.
class ConfigStore {
public:
  explicit ConfigStore(const Context &C);

  /// Follows the log from now on. \p OnChange is called on the control thread
  /// after each new version. Call once, on that thread.
  void start(std::function<void()> OnChange);

  /// This entry's copy. Never null. Thread-safe.
  std::shared_ptr<const core::Configuration> current() const;

  /// Commits a change; \p Done comes on the control thread. On the control
  /// thread.
  void propose(ConfigProposal Proposal,
               std::function<void(ProposalResult)> Done);

  /// Reads changes after \p After from the store, oldest first; \p Done comes
  /// on the control thread. \p Limit is from 1 to 1000. On the control thread.
  void readLog(core::ConfigVersion After, std::uint32_t Limit,
               std::function<void(LogPage)> Done);

private:
  void poll();
  void onScan(platform::ScanResult Result);
  void replace(core::Configuration Next);

  Context Context_;
  std::function<void()> OnChange_;
  mutable std::mutex Mutex_;
  std::shared_ptr<const core::Configuration> Current_;
  bool Polling_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CONFIGSTORE_H
