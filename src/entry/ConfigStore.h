#ifndef COMFREYDECK_ENTRY_CONFIGSTORE_H
#define COMFREYDECK_ENTRY_CONFIGSTORE_H

#include "core/ConfigChange.h"
#include "entry/Membership.h"

#include <deque>
#include <mutex>

namespace comfreydeck::entry {

/// A configuration change requested by an operator.
struct ConfigProposal {
  /// The version that the change is based on; without it, the change applies
  /// to any version.
  std::optional<core::ConfigVersion> Expected;
  std::vector<core::ConfigEdit> Edits;
  std::string By;
};

enum class ProposalOutcome : std::uint8_t {
  /// Committed, and in force at every entry.
  InForce,
  /// Committed, but not yet in force everywhere.
  Pending,
  /// Another change was committed first; nothing was written.
  Conflict,
  /// The change is invalid; nothing was written.
  Invalid,
  /// The store is unavailable; nothing was written.
  Unavailable,
  /// The store's response was lost, and whether the change was committed could
  /// not be determined yet.
  Unknown,
};

struct ProposalResult {
  ProposalOutcome Outcome = ProposalOutcome::Unavailable;
  /// The version created by the change, or the current one after a conflict.
  core::ConfigVersion Version;
  std::string Message;
};

/// A page of the configuration log.
struct LogPage {
  /// False if the store could not be read.
  bool Available = false;
  std::vector<core::ConfigChange> Changes;
  /// Whether the log has further changes after this page.
  bool More = false;
};

/// A change in the log, serialized as JSON.
struct LogEntry {
  core::ConfigVersion Version;
  std::string Text;
};

/// The configuration log in the table service, and this entry's copy of the
/// configuration.
///
/// The log has one row for each change. The head row holds the latest version
/// and the version of the latest snapshot in the object store. Each commit is
/// conditional on the head row being unchanged.
class ConfigStore {
public:
  /// \p Members must outlive the store.
  ConfigStore(const Context &C, Membership &Members);

  /// Starts following the log. \p OnChange is called on the control thread
  /// after each new version. Call once, on that thread, before
  /// Membership::start.
  void start(std::function<void()> OnChange);

  /// This entry's copy of the configuration. Never null. Thread-safe.
  std::shared_ptr<const core::Configuration> current() const;

  /// Commits a change. \p Done is called on the control thread once the change
  /// is in force everywhere, has failed, or has timed out after some seconds.
  /// Call on the control thread.
  void propose(ConfigProposal Proposal,
               std::function<void(ProposalResult)> Done);

  /// Reads changes after \p After from the store, oldest first. \p Done is
  /// called on the control thread. \p Limit is from 1 to 1000. Call on the
  /// control thread.
  void readLog(core::ConfigVersion After, std::uint32_t Limit,
               std::function<void(LogPage)> Done);

  /// Whether a version is in force everywhere: InForce or Pending, or Invalid
  /// if the version does not exist yet. Call on the control thread.
  ProposalResult progressOf(core::ConfigVersion Version) const;

private:
  struct PendingProposal;

  void onHead(core::ConfigVersion Head);
  void readLog();
  void onLog(const store::ScanResult &Result);
  void onRows(const std::vector<store::Row> &Rows);
  void readSnapshot();
  void onChanges(const std::vector<std::string> &Changes);
  std::vector<std::string> changesAfter(core::ConfigVersion Version) const;
  void applyNext(const core::ConfigChange &Change, std::string Text);
  void replace(core::Configuration Next);

  void readHead(std::shared_ptr<PendingProposal> P);
  void prepare(const std::shared_ptr<PendingProposal> &P);
  void commit(const std::shared_ptr<PendingProposal> &P);
  void onCommitted(const std::shared_ptr<PendingProposal> &P,
                   store::CommitOutcome Outcome);
  void readBack(const std::shared_ptr<PendingProposal> &P);
  void onReadBack(const std::shared_ptr<PendingProposal> &P,
                  const store::ReadResult &Result);
  void retryFromHead(const std::shared_ptr<PendingProposal> &P);
  void finish(const std::shared_ptr<PendingProposal> &P);
  void awaitInForce(const std::shared_ptr<PendingProposal> &P);

  void snapshot();
  void trim(LogHead Head, core::ConfigVersion Snapshot);

  Context Context_;
  Membership &Members_;
  std::function<void()> OnChange_;
  mutable std::mutex Mutex_;
  std::shared_ptr<const core::Configuration> Current_;
  core::ConfigVersion Head_;
  /// The latest changes, oldest first, to be sent to other entries.
  std::deque<LogEntry> Recent_;
  bool IsReading_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CONFIGSTORE_H
