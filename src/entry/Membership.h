#ifndef COMFREYDECK_ENTRY_MEMBERSHIP_H
#define COMFREYDECK_ENTRY_MEMBERSHIP_H

#include "core/ServingLease.h"
#include "entry/Context.h"
#include "entry/ProofExchange.h"
#include "entry/Sessions.h"

#include <atomic>
#include <set>

namespace comfreydeck::entry {

/// The outcome of fencing an entry.
enum class FenceOutcome : std::uint8_t {
  /// The entry can no longer be current.
  Fenced,
  /// The fence was not committed.
  Failed,
};

/// This entry's registration and its serving lease.
class Membership {
public:
  explicit Membership(const Context &C);

  /// Connects the lease to the log of \ref ConfigStore. Call once, before
  /// \ref start. \p OnHead is called on the control thread with the head
  /// version of each read.
  void setLog(LogAccess Log, std::function<void(core::ConfigVersion)> OnHead);

  /// Called once on the control thread when this entry turns out to be fenced.
  /// Call before \ref start.
  void setOnFenced(std::function<void()> OnFenced);

  /// Registers this entry and starts renewing the lease. \p OnChange is called
  /// on the control thread when the members change. Call once, on that thread.
  void start(std::function<void()> OnChange);

  /// Ends the lease, notifies the other entries and removes the registration.
  /// \p Done is called on the control thread, whether this succeeded or not. On
  /// the control thread.
  void leave(std::function<void()> Done);

  /// The time from which this entry may no longer serve. Thread-safe.
  core::TimePoint currentUntil() const;

  /// Whether this entry may serve at \p Now. Thread-safe.
  bool isCurrent(core::TimePoint Now) const { return Now < currentUntil(); }

  /// Commits a fence on another entry's session. \p Done is called on the
  /// control thread, with success only once that entry can never be current
  /// again. On the control thread.
  void fence(core::Incarnation Id, std::function<void(FenceOutcome)> Done);

  /// The registered entries that may be current, as last read. On the control
  /// thread.
  std::span<const Member> members() const { return Members_; }

  /// Null if the entry is not registered or can no longer be current. On the
  /// control thread.
  const Member *find(core::Incarnation Id) const;

  /// Records that a version is applied and in use here. On the control thread.
  void applied(core::ConfigVersion Version);

  /// Counts the entries that use a version. On the control thread.
  core::InForceCount countInForce(core::ConfigVersion Version) const;

  /// Sends the latest changes to the other entries and reads the store soon. On
  /// the control thread.
  void pushChanges();

  /// Serves the calls of other entries. On the control thread.
  ProofExchange &exchange() { return Exchange_; }

private:
  void registerSelf();
  void scheduleRead();
  void read();
  void onScan(core::TimePoint Sent, const store::ScanResult &Result);
  bool parseRows(const std::vector<store::Row> &Rows);
  void publish();
  void updateMembers();
  void readList();
  void onList(const store::ListResult &Result);
  void dropReplaced();
  void cleanUp();
  void commitFence(core::Incarnation Id, core::TimePoint Asked, int TriesLeft,
                   std::function<void(FenceOutcome)> Done);
  void retryFence(core::Incarnation Id, core::TimePoint Asked, int TriesLeft,
                  std::function<void(FenceOutcome)> Done);
  void awaitFence(core::Incarnation Id, std::function<void(FenceOutcome)> Done);
  void removeRow(core::Incarnation Id);

  Context Context_;
  std::function<void()> OnChange_;
  std::function<void()> OnFenced_;
  std::function<void(core::ConfigVersion)> OnHead_;
  core::ServingLease Lease_;
  ProofExchange Exchange_;
  SessionRows Rows_;
  std::vector<Member> Members_;
  std::atomic<std::int64_t> CurrentUntilUs_ = 0;
  /// Names of entries that the platform's list has ever contained.
  std::set<std::string> Listed_;
  std::set<core::Incarnation> Fencing_;
  std::set<core::Incarnation> Removing_;
  int FailedReads_ = 0;
  bool Reading_ = false;
  bool ReadAgain_ = false;
  bool Leaving_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_MEMBERSHIP_H
