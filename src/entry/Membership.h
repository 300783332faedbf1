#ifndef COMFREYDECK_ENTRY_MEMBERSHIP_H
#define COMFREYDECK_ENTRY_MEMBERSHIP_H

#include "entry/Context.h"

#include <atomic>

namespace comfreydeck::entry {

/// A registered entry, this one included.
struct Member {
  core::Incarnation Id;
  std::string Name;
  std::string DataCentre;
  /// IP:PORT for gRPC.
  std::string PeerAddress;
  /// IP:PORT for callers and operators.
  std::string HttpAddress;
};

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

  /// Registers and keeps the lease from then on. \p OnChange is called on the
  /// control thread when the members change. Call once, on that thread.
  void start(std::function<void()> OnChange);

  /// Removes the registration; \p Done comes on the control thread, with or
  /// without success. On the control thread.
  void leave(std::function<void()> Done);

  /// The time from which this entry may no longer serve. Thread-safe.
  core::TimePoint currentUntil() const;

  /// Whether this entry may serve at \p Now. Thread-safe.
  bool isCurrent(core::TimePoint Now) const { return Now < currentUntil(); }

  /// Commits a fence on another entry's session; \p Done comes on the control
  /// thread, with success only once that entry can't be current any more. On
  /// the control thread.
  void fence(core::Incarnation Id, std::function<void(FenceOutcome)> Done);

  /// All registered entries as last read. On the control thread.
  std::span<const Member> members() const { return Members_; }

  /// Nothing where it isn't registered. On the control thread.
  const Member *find(core::Incarnation Id) const;

private:
  void registerSelf();
  void poll();
  void onScan(core::TimePoint Sent, platform::ScanResult Result);
  std::string rowKey() const;

  Context Context_;
  std::function<void()> OnChange_;
  std::vector<Member> Members_;
  std::atomic<std::int64_t> CurrentUntilUs_ = 0;
  bool Polling_ = false;
  bool Leaving_ = false;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_MEMBERSHIP_H
