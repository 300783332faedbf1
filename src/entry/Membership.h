#ifndef COMFREYDECK_ENTRY_MEMBERSHIP_H
#define COMFREYDECK_ENTRY_MEMBERSHIP_H

#include "core/ServingLease.h"
#include "entry/Context.h"
#include "entry/ProofExchange.h"
#include "entry/Sessions.h"

#include <atomic>
#include <set>

namespace comfreydeck::entry {

/// What came of fencing an entry.
enum class FenceOutcome : std::uint8_t {
  /// The entry can't be current any more.
  Fenced,
  /// The fence could not be committed; nothing changed.
  Failed,
};

/// This entry's registration and its serving lease.
class Membership {
public:
  explicit Membership(const Context &C);

  /// What \ref ConfigStore does for the lease. Call once, before \ref start.
  /// \p OnHead is called on the control thread with the head of each reading.
  void setLog(LogAccess Log, std::function<void(core::ConfigVersion)> OnHead);

  /// Called once on the control thread when this entry turns out to be fenced.
  /// Call before \ref start.
  void setOnFenced(std::function<void()> OnFenced);

  /// Registers and keeps the lease from then on. \p OnChange is called on the
  /// control thread when the members change. Call once, on that thread.
  void start(std::function<void()> OnChange);

  /// Ends the lease, tells the others and removes the registration; \p Done
  /// comes on the control thread, with or without success. On that thread.
  void leave(std::function<void()> Done);

  /// The time from which this entry may no longer serve. Thread-safe.
  core::TimePoint currentUntil() const;

  /// Whether this entry may serve at \p Now. Thread-safe.
  bool isCurrent(core::TimePoint Now) const { return Now < currentUntil(); }

  /// Commits a fence on another entry's session; \p Done comes on the control
  /// thread, with success only once that entry can't be current any more, nor
  /// ever again. On the control thread.
  void fence(core::Incarnation Id, std::function<void(FenceOutcome)> Done);

  /// The registered entries that may be current, as last read. On the control
  /// thread.
  std::span<const Member> members() const { return Members_; }

  /// Nothing where it isn't registered or can't be current any more. On the
  /// control thread.
  const Member *find(core::Incarnation Id) const;

  /// A version is applied here and in use. On the control thread.
  void applied(core::ConfigVersion Version);

  /// How far a version has come. On the control thread.
  core::InForceCount countInForce(core::ConfigVersion Version) const;

  /// Sends the latest changes to the others and reads the store soon. On the
  /// control thread.
  void pushChanges();

  /// The other entries' calls. On the control thread.
  ProofExchange &exchange() { return Exchange_; }

private:
  void registerSelf();
  void scheduleRead();
  void read();
  void onScan(core::TimePoint Sent, const store::ScanResult &Result);
  bool takeRows(const std::vector<store::Row> &Rows);
  void publish();
  void updateMembers();
  void readList();
  void onList(const store::ListResult &Result);
  void endReplaced();
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
  /// Names of entries that the platform's list has had.
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
