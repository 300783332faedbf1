#ifndef COMFREYDECK_DISPATCH_OWNERSHIP_H
#define COMFREYDECK_DISPATCH_OWNERSHIP_H

#include "dispatch/PoolKeeper.h"

namespace comfreydeck::dispatch {

/// Shows this entry's sign of life, takes pools that have no living owner and
/// gives them away at the end. On the loop's thread.
class Ownership {
public:
  Ownership(Context &Ctx, FleetView &View);

  void start();
  /// Looks at who owns what: the view changed, or time has passed.
  void review();
  /// Workers, configuration or closed data centres changed.
  void refreshKeepers();

  /// Null: the pool is not owned here, or not loaded yet.
  std::shared_ptr<PoolKeeper> keeper(const std::string &Pool) const;
  const std::map<std::string, std::shared_ptr<PoolKeeper>> &keepers() const {
    return Keepers_;
  }
  /// The token under which this entry maintains machines; zero: it doesn't.
  std::uint64_t fleetToken() const { return FleetToken_; }
  /// Whether an earlier process of this entry held that duty last.
  bool isFleetTakenBack() const { return FleetTakenBack_; }

  /// Asks a pool's owner, as the store names it, whether it still works on the
  /// pool and reaches the store.
  using AskOwner =
      std::function<void(const std::string &Pool, std::function<void(bool)>)>;
  /// Call before \ref start.
  void setAsk(AskOwner Ask) { Ask_ = std::move(Ask); }
  /// Whether this entry works on the pool, or is about to.
  bool isOwned(const std::string &Pool) const;

  /// Gives all pools away; then \p Done is called.
  void leave(std::function<void()> Done);

private:
  void beat();
  void writeBeat();
  jobs::EntryView self() const;
  void choose();
  void takeBack();
  bool wasJustLost(const std::string &Pool) const;
  bool mayAnswer(const jobs::PoolView &Pool) const;
  void askOwner(const std::string &Pool);
  std::uint64_t endedOwner(const jobs::PoolView *Row) const;
  void take(const std::string &Pool);
  void taken(PoolTaking Taking, std::uint64_t Token);
  void checkTake(const PoolTaking &Taking);
  void dropForeign();
  void takeJobRow(const store::PartRow &Row);
  void follow(std::uint64_t Version);
  void release(const std::string &Pool, std::uint64_t Token,
               std::function<void()> Done);

  Context &Ctx_;
  FleetView &View_;
  Follower Jobs_;
  std::map<std::string, std::shared_ptr<PoolKeeper>> Keepers_;
  AskOwner Ask_;
  std::set<std::string> Taking_;
  std::set<std::string> Asking_;
  /// When owners that seemed lost have answered.
  std::map<std::string, core::TimePoint> AnsweredAt_;
  std::map<std::string, core::TimePoint> LostAt_;
  std::uint64_t FleetToken_ = 0;
  bool FleetTakenBack_ = false;
  std::uint64_t Beats_ = 0;
  std::size_t MostEntries_ = 0;
  /// When more entries than ever before were seen.
  core::TimePoint NewestSeenAt_;
  bool Registered_ = false;
  bool BeatInFlight_ = false;
  bool Leaving_ = false;
  core::TimePoint StartedAt_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_OWNERSHIP_H
