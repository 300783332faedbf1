#ifndef COMFREYDECK_DISPATCH_PEERS_H
#define COMFREYDECK_DISPATCH_PEERS_H

#include "dispatch/Ownership.h"
#include "jobs/PoolSizes.h"
#include "net/HttpServer.h"

#include <optional>

namespace comfreydeck::dispatch {

/// What a pool's owner says of one job.
struct OwnerAnswer {
  /// The owner was reached and owns the pool.
  bool Answered = false;
  bool Known = false;
  jobs::JobState State = jobs::JobState::Queued;
  std::uint32_t Pending = 0;
  /// Closed workers that can be taken out.
  std::vector<std::string> Clear;
  /// The owner's token; zero: it gave none.
  std::uint64_t Token = 0;
  /// Age of the owner's last reading of the store.
  core::Duration StoreAge{0};
  jobs::PoolLoad Load;
};

/// What a pool's owner says of its load.
struct OwnerLoad {
  jobs::PoolLoad Load;
  core::TimePoint At;
};

/// What a pool's owner says of workers that it has closed.
struct CloseAnswer {
  /// Those that can be taken out, as long as the owner stays the same.
  std::vector<std::string> Clear;
  std::uint64_t Token = 0;
};

/// Asks the owners of pools, here or at other entries, and answers for the
/// pools owned here. On the loop's thread.
class Peers {
public:
  Peers(Context &Ctx, FleetView &View, Ownership &Owners);

  /// Tells the owner of a job that was accepted; a loss is made up for by the
  /// owner's own reading.
  void pushJob(const jobs::JobSpec &Spec);
  void pushCancel(const std::string &Pool, const std::string &JobId);
  void askState(const std::string &Pool, const std::string &JobId,
                std::function<void(OwnerAnswer)> Done);
  void askPending(const std::string &Pool, const std::string &Queue,
                  std::function<void(OwnerAnswer)> Done);

  /// Closes workers for a while.
  void askClose(const std::string &Pool, const CloseRequest &Request,
                std::function<void(const CloseAnswer &)> Done);

  /// Whether the pool's owner works on it and reaches the store.
  void askAlive(const std::string &Pool, std::function<void(bool)> Done);

  /// \p Done is called only if the owner answers.
  void askLoad(const std::string &Pool,
               std::function<void(const OwnerLoad &)> Done);

  /// Handles a call of another entry. On the loop's thread.
  net::HttpResponse handle(const net::HttpRequest &Request);

private:
  std::optional<std::string> addressOf(const std::string &Pool) const;
  void ask(const std::string &Pool, std::string Body,
           std::function<void(OwnerAnswer)> Done);
  OwnerAnswer answerHere(const PoolKeeper &Keeper, const std::string &JobId,
                         const std::string &Queue) const;

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_PEERS_H
