#ifndef COMFREYDECK_DISPATCH_ORDERSENDER_H
#define COMFREYDECK_DISPATCH_ORDERSENDER_H

#include "dispatch/Context.h"
#include "dispatch/PoolEventLog.h"
#include "dispatch/PoolHost.h"
#include "jobs/OwnerPace.h"

namespace comfreydeck::dispatch {

/// Sends the orders of one owned pool to its workers, and tells the pool's
/// state which were sent and what was answered. Bounds the starts that are not
/// answered. Runs on the loop's thread.
class OrderSender {
public:
  /// \p Host is the pool's owner, of which this is a part.
  OrderSender(Context &Ctx, jobs::PoolState &State, const PoolEventLog &Log,
              PoolHost &Host);

  /// Number of starts that the next planning round may order.
  std::size_t startRoom() const {
    return jobs::roomIn(Window_, UnansweredStarts_);
  }
  /// Number of starts that may be sent and not answered.
  std::size_t startWindow() const { return jobs::roomIn(Window_, 0); }
  /// Starts that were sent and not answered.
  std::size_t unansweredStarts() const { return UnansweredStarts_; }

  /// Call before each planning round. Tells the state which orders still wait
  /// to be sent and which have been sent since the last round.
  void recordSending();
  /// Sends the orders of one planning round; those to workers that the state
  /// doesn't know are left out. Answers may change the state at any later time,
  /// also after the pool was given up.
  void send(const jobs::Orders &Orders);

private:
  const jobs::WorkerEntry *entryOf(const std::string &Worker) const;
  void sendStop(const jobs::StopOrder &Order);
  void sendStart(const jobs::StartOrder &Order, core::TimePoint GivenAt);
  void sendHold(const jobs::HoldOrder &Order, core::TimePoint GivenAt);
  void onReported(const jobs::HoldOrder &Order,
                  const jobs::ReportResult &Result, core::TimePoint GivenAt);
  void onStartAnswered(const jobs::StartOrder &Order,
                       const jobs::OrderResult &Result, core::TimePoint GivenAt,
                       const SendMark &SentAt);

  /// An order that was given and not known to be sent in the last planning
  /// round.
  struct GivenOrder {
    /// Expires with the order's callback.
    std::weak_ptr<net::BeginTime> SentAt;
    std::variant<jobs::StartOrder, jobs::HoldOrder> Order;
    /// The state knows that the order waits.
    bool Waits = false;
  };

  Context &Ctx_;
  jobs::PoolState &State_;
  const PoolEventLog &Log_;
  PoolHost &Host_;
  jobs::StartWindow Window_;
  std::size_t UnansweredStarts_ = 0;
  std::vector<GivenOrder> Given_;
  /// The last planning pass left tasks waiting for \ref Window_.
  bool StartsBounded_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_ORDERSENDER_H
