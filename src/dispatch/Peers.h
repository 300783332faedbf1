#ifndef COMFREYDECK_DISPATCH_PEERS_H
#define COMFREYDECK_DISPATCH_PEERS_H

#include "dispatch/Ownership.h"
#include "jobs/PoolSizes.h"
#include "net/HttpServer.h"

#include <optional>

namespace comfreydeck::dispatch {

/// A pool owner's answer to a call of another entry.
struct OwnerAnswer {
  /// The owner was reached and owns the pool.
  bool Answered = false;
  bool Known = false;
  jobs::JobState State = jobs::JobState::Queued;
  std::uint32_t Pending = 0;
  ClosedWorkers Closed;
  /// The owner's token; zero if it sent none.
  std::uint64_t Token = 0;
  /// Age of the owner's last read of the store.
  core::Duration StoreAge{0};
  /// How long ago the entry gave its last order for the pool, if it was asked
  /// to give none.
  std::optional<core::Duration> StoppedFor;
  jobs::PoolLoad Load;
};

/// Load that a pool's owner reported, and when.
struct OwnerLoad {
  jobs::PoolLoad Load;
  core::TimePoint At;
};

/// A pool owner's answer to a close request.
struct CloseAnswer {
  ClosedWorkers Closed;
  /// Zero if there was no answer.
  std::uint64_t Token = 0;
};

/// Sends requests to pool owners, locally or at other entries, and answers
/// other entries for the pools owned here. Runs on the loop's thread.
class Peers {
public:
  Peers(Context &Ctx, FleetView &View, Ownership &Owners);

  /// Notifies the owner of an accepted job. If the notification is lost, the
  /// owner finds the job in its own read of the store.
  void pushJob(const jobs::JobSpec &Spec);
  void pushCancel(const std::string &Pool, const std::string &JobId);
  void askState(const std::string &Pool, const std::string &JobId,
                std::function<void(OwnerAnswer)> Done);
  void askPending(const std::string &Pool, const std::string &Queue,
                  std::function<void(OwnerAnswer)> Done);

  /// Closes workers for a limited time; repeat the request to keep them closed.
  void askClose(const std::string &Pool, const CloseRequest &Request,
                std::function<void(const CloseAnswer &)> Done);

  /// Asks whether the pool's owner works on it and reaches the store.
  void probeOwner(const std::string &Pool, std::function<void(bool)> Done);

  /// Asks an entry to give no more orders for the pool as an owner before
  /// \p Token. \p Done gets the time since its last such order; nothing if it
  /// did not answer or goes on.
  void askToStop(const std::string &Entry, const std::string &Pool,
                 std::uint64_t Token,
                 std::function<void(std::optional<core::Duration>)> Done);

  /// \p Done is called only if the owner answers.
  void askLoad(const std::string &Pool,
               std::function<void(const OwnerLoad &)> Done);

  /// Handles a call from another entry. Runs on the loop's thread.
  net::HttpResponse handle(const net::HttpRequest &Request);

private:
  std::optional<std::string> addressOf(const std::string &Pool) const;
  void ask(const std::string &Pool, std::string Body, core::Duration Limit,
           std::function<void(OwnerAnswer)> Done);
  void send(const std::string &Address, std::string Body, core::Duration Limit,
            std::function<void(OwnerAnswer)> Done);
  net::HttpResponse answerStop(const std::string &Pool, std::uint64_t Token);
  OwnerAnswer answerHere(const PoolController &Controller,
                         const std::string &JobId,
                         const std::string &Queue) const;

  Context &Ctx_;
  FleetView &View_;
  Ownership &Owners_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_PEERS_H
