#ifndef COMFREYDECK_DISPATCH_ORDERRELAY_H
#define COMFREYDECK_DISPATCH_ORDERRELAY_H

#include "codec/OrderJson.h"
#include "dispatch/JobMetrics.h"
#include "dispatch/Ports.h"
#include "jobs/SenderChoice.h"
#include "net/HttpClient.h"
#include "net/Loop.h"

#include <map>
#include <optional>
#include <set>

namespace comfreydeck::dispatch {

/// Name and incarnation of this process, as other entries see them.
struct EntryIdentity {
  std::string Name;
  std::string Life;
};

/// Sends an owner's orders to workers, some of them through other entries. The
/// owner alone decides: another entry only makes the calls. Each order carries
/// its fence, the end of the lease it grants and a time limit for its
/// sending; one that is carried out late is harmless for the same reasons as
/// one that the owner sent itself. Runs on the loop's thread.
class OrderRelay : public WorkerOrders {
public:
  /// Returns an entry's address for other entries; empty if it is unknown.
  using AddressOf =
      std::function<std::optional<std::string>(const std::string &Entry)>;

  /// \p LinkMbps is the entry's link in Mbit a second; zero if it is unknown.
  OrderRelay(net::Loop &Loop, net::HttpClient &Client, WorkerOrders &Direct,
             EntryIdentity Me, AddressOf Address, double LinkMbps);

  /// Begins to look for orders whose results are overdue.
  void begin();

  /// Replaces the pool's assignment of workers to sending entries.
  void setSenders(const std::string &Pool, jobs::Senders Chosen);
  bool isRelaying(const std::string &Pool) const;
  /// Whether the entry has recently failed to send for this one.
  bool isSuspended(const std::string &Entry) const;

  void start(const jobs::WorkerEntry &To, std::uint64_t Fence,
             const jobs::StartOrder &Order, SendMark SentAt,
             std::function<void(jobs::OrderResult)> Done) override;
  void stop(const jobs::WorkerEntry &To, std::uint64_t Fence,
            const jobs::StopOrder &Order,
            std::function<void(jobs::OrderResult)> Done) override;
  void report(const jobs::WorkerEntry &To, std::uint64_t Fence,
              const jobs::HoldOrder &Order, SendMark SentAt,
              std::function<void(jobs::ReportResult)> Done) override;
  void dropUnsent(const std::string &Pool) override;

  /// Applies results, which arrived at \p ReceivedAt, from an entry that sent
  /// orders. \p Known tells whether the entry has that name and incarnation.
  /// Returns the answer's status.
  int handleResults(const std::string &Body, core::TimePoint ReceivedAt,
                    const std::function<bool(const EntryIdentity &)> &Known);

  RelayCounters takeCounters();

private:
  using ResultCallback = std::function<void(const codec::RelayedResult &)>;

  /// An order given to another entry.
  struct Pending {
    std::string Pool;
    std::string Sender;
    core::TimePoint GivenAt;
    core::TimePoint ExpiresAt;
    /// Requests a report, and so keeps the worker's lease.
    bool IsHold = false;
    ResultCallback Done;
    SendMark SentAt;
    /// A start that was given without its payload.
    std::optional<codec::RelayedOrder> Whole;
  };
  /// Orders for one sending entry that are not in a batch yet.
  struct Outbox {
    std::vector<codec::RelayedOrder> Orders;
    bool Sending = false;
    bool Queued = false;
  };

  /// What is known of another entry's clock.
  struct PeerClock {
    std::string Life;
    /// By how much at least it was ahead of this one's at \ref At.
    core::Duration Lead{0};
    core::TimePoint At;

    core::Duration leadAt(core::TimePoint Now) const;
  };

  std::optional<codec::PeerTime> timeAt(const std::string &Entry,
                                        core::TimePoint Now) const;
  void recordClock(const codec::ResultBatch &Batch, core::TimePoint Now);
  const std::string *senderOf(const jobs::WorkerEntry &To) const;
  void give(const std::string &Sender, const jobs::WorkerEntry &To,
            codec::RelayedOrder Order, core::Duration Limit, SendMark SentAt,
            ResultCallback Done);
  void enqueue(const std::string &Sender, codec::RelayedOrder Order);
  bool mayOmitPayload(const std::string &Sender) const;
  bool takePayloadRoom(std::size_t Bytes);
  void sendWhole(std::uint64_t Id);
  void flush(const std::string &Sender);
  void onBatchAnswered(const std::string &Sender,
                       const std::vector<std::uint64_t> &Ids,
                       const net::HttpResult &Result,
                       std::optional<core::TimePoint> BegunAt);
  void setSent(std::span<const std::uint64_t> Ids, core::TimePoint At);
  void complete(std::uint64_t Id, const codec::RelayedResult &Result);
  void completeAll(std::span<const std::uint64_t> Ids,
                   jobs::OrderOutcome Outcome);
  void suspend(const std::string &Sender);
  void expire();

  net::Loop &Loop_;
  net::HttpClient &Client_;
  WorkerOrders &Direct_;
  EntryIdentity Me_;
  AddressOf Address_;
  /// Bytes of payloads that the link carries beside all else, in a second.
  double PayloadRate_;
  /// What is left of them, and since when.
  double PayloadRoom_;
  core::TimePoint PayloadRoomAt_;
  std::map<std::string, jobs::Senders> Senders_;
  std::map<std::string, Outbox> Outboxes_;
  std::unordered_map<std::uint64_t, Pending> Pending_;
  std::uint64_t NextId_ = 1;
  /// When an entry last failed to send.
  std::map<std::string, core::TimePoint> FailedAt_;
  /// When an entry last could not read a payload.
  std::map<std::string, core::TimePoint> PayloadMissingAt_;
  /// By entry, of those that have sent results lately.
  std::map<std::string, PeerClock> Clocks_;
  RelayCounters Counters_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_ORDERRELAY_H
