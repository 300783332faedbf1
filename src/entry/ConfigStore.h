#ifndef COMFREYDECK_ENTRY_CONFIGSTORE_H
#define COMFREYDECK_ENTRY_CONFIGSTORE_H

#include "core/ConfigChange.h"
#include "entry/Membership.h"

#include <deque>
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

/// One change of the log as JSON.
struct LogEntry {
  core::ConfigVersion Version;
  std::string Text;
};

/// The configuration's log in the table service, and this entry's copy of it.
///
/// The log has one row for each change; the head's row names the latest version
/// and the latest snapshot in the object store. A commit has the head's row as
/// its condition.
class ConfigStore {
public:
  /// \p Members must outlive the store.
  ConfigStore(const Context &C, Membership &Members);

  /// Follows the log from now on. \p OnChange is called on the control thread
  /// after each new version. Call once, on that thread, before the membership's
  /// start.
  void start(std::function<void()> OnChange);

  /// This entry's copy. Never null. Thread-safe.
  std::shared_ptr<const core::Configuration> current() const;

  /// Commits a change; \p Done comes on the control thread when the change is
  /// in force everywhere, or is not after some seconds. On the control thread.
  void propose(ConfigProposal Proposal,
               std::function<void(ProposalResult)> Done);

  /// Reads changes after \p After from the store, oldest first; \p Done comes
  /// on the control thread. \p Limit is from 1 to 1000. On the control thread.
  void readLog(core::ConfigVersion After, std::uint32_t Limit,
               std::function<void(LogPage)> Done);

  /// How far a version has come by now; Pending or InForce, or Invalid where
  /// there is no such version yet. On the control thread.
  ProposalResult progressOf(core::ConfigVersion Version) const;

private:
  struct Proposed;

  void onHead(core::ConfigVersion Head);
  void readLog();
  void onLog(const store::ScanResult &Result);
  void onRows(const std::vector<store::Row> &Rows);
  void readSnapshot();
  void onChanges(const std::vector<std::string> &Changes);
  std::vector<std::string> changesAfter(core::ConfigVersion Version) const;
  void applyNext(const core::ConfigChange &Change, std::string Text);
  void replace(core::Configuration Next);

  void readHead(std::shared_ptr<Proposed> P);
  void prepare(const std::shared_ptr<Proposed> &P);
  void commit(const std::shared_ptr<Proposed> &P);
  void onCommitted(const std::shared_ptr<Proposed> &P,
                   store::CommitOutcome Outcome);
  void readBack(const std::shared_ptr<Proposed> &P);
  void onReadBack(const std::shared_ptr<Proposed> &P,
                  const store::ReadResult &Result);
  void startAgain(const std::shared_ptr<Proposed> &P);
  void finish(const std::shared_ptr<Proposed> &P);
  void awaitInForce(const std::shared_ptr<Proposed> &P);

  void snapshot();
  void trim(LogHead Head, core::ConfigVersion Snapshot);

  Context Context_;
  Membership &Members_;
  std::function<void()> OnChange_;
  mutable std::mutex Mutex_;
  std::shared_ptr<const core::Configuration> Current_;
  core::ConfigVersion Head_;
  /// The latest changes as JSON, oldest first, for the other entries.
  std::deque<LogEntry> Recent_;
  bool Reading_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CONFIGSTORE_H
