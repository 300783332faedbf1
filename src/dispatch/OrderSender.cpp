#include "dispatch/OrderSender.h"

#include "dispatch/Clock.h"

namespace comfreydeck::dispatch {

OrderSender::OrderSender(Context &Ctx, jobs::PoolState &State,
                         const PoolEventLog &Log, PoolHost &Host)
    : Ctx_(Ctx), State_(State), Log_(Log), Host_(Host) {}

const jobs::WorkerEntry *OrderSender::entryOf(const std::string &Worker) const {
  auto It = State_.workers().find(Worker);
  return It == State_.workers().end() ? nullptr : &It->second->Entry;
}

void OrderSender::send(const jobs::Orders &Orders) {
  StartsBounded_ = Orders.StartsBounded;
  core::TimePoint GivenAt = bootNow();
  for (const jobs::StopOrder &Order : Orders.Stops)
    sendStop(Order);
  for (const jobs::StartOrder &Order : Orders.Starts)
    sendStart(Order, GivenAt);
  for (const jobs::HoldOrder &Order : Orders.Holds)
    sendHold(Order, GivenAt);
}

void OrderSender::sendStop(const jobs::StopOrder &Order) {
  const jobs::WorkerEntry *To = entryOf(Order.Worker);
  if (!To)
    return;
  Ctx_.Workers.stop(
      *To, Order.Fence, Order,
      [this, Keep = Host_.keep(), Order](jobs::OrderResult Result) {
        Ctx_.Loop.post([this, Keep, Order, Result] {
          State_.onStop(Order, Result, bootNow());
          Host_.schedulePlan();
        });
      });
}

void OrderSender::sendStart(const jobs::StartOrder &Order,
                            core::TimePoint GivenAt) {
  const jobs::WorkerEntry *To = entryOf(Order.Worker);
  if (!To)
    return;
  ++UnansweredStarts_;
  // Only the order's identity is needed once it has been sent.
  jobs::StartOrder Sent;
  Sent.Worker = Order.Worker;
  Sent.Task = Order.Task;
  Sent.Run = Order.Run;
  Sent.Fence = Order.Fence;
  auto SentAt = std::make_shared<net::BeginTime>();
  Given_.push_back({SentAt, Sent});
  Ctx_.Workers.start(*To, Order.Fence, Order, SentAt,
                     [this, Keep = Host_.keep(), Sent = std::move(Sent),
                      GivenAt, SentAt](jobs::OrderResult Result) {
                       Ctx_.Loop.post(
                           [this, Keep, Sent, GivenAt, SentAt, Result] {
                             onStartAnswered(Sent, Result, GivenAt, SentAt);
                           });
                     });
}

void OrderSender::sendHold(const jobs::HoldOrder &Order,
                           core::TimePoint GivenAt) {
  const jobs::WorkerEntry *To = entryOf(Order.Worker);
  if (!To)
    return;
  auto SentAt = std::make_shared<net::BeginTime>();
  Given_.push_back({SentAt, Order});
  Ctx_.Workers.report(
      *To, Order.Fence, Order, SentAt,
      [this, Keep = Host_.keep(), Order, GivenAt](jobs::ReportResult Result) {
        Ctx_.Loop.post([this, Keep, Order, GivenAt, Result] {
          onReported(Order, Result, GivenAt);
        });
      });
}

/// Orders that were answered meanwhile don't matter.
void OrderSender::recordSending() {
  std::erase_if(Given_, [this](GivenOrder &Given) {
    std::shared_ptr<net::BeginTime> Mark = Given.SentAt.lock();
    if (!Mark)
      return true;
    std::optional<core::TimePoint> SentAt = Mark->get();
    if (SentAt || !Given.Waits)
      std::visit([&](const auto &Order) { State_.onSending(Order, SentAt); },
                 Given.Order);
    Given.Waits = !SentAt;
    return SentAt.has_value();
  });
}

void OrderSender::onReported(const jobs::HoldOrder &Order,
                             const jobs::ReportResult &Result,
                             core::TimePoint GivenAt) {
  auto At = State_.workers().find(Order.Worker);
  bool FirstAnswer = At != State_.workers().end() && !At->second->Heard;
  if (FirstAnswer && Result.Outcome == jobs::OrderOutcome::OtherIncarnation)
    Log_.logReplaced(*At->second);
  State_.onReport(Order, Result, GivenAt, bootNow());
  Host_.schedulePlan();
}

void OrderSender::onStartAnswered(const jobs::StartOrder &Order,
                                  const jobs::OrderResult &Result,
                                  core::TimePoint GivenAt,
                                  const SendMark &SentAt) {
  core::TimePoint Now = bootNow();
  --UnansweredStarts_;
  jobs::recordAnswer(Window_, Now - GivenAt, Now);
  std::optional<core::TimePoint> At = SentAt->get();
  if (Result.Outcome == jobs::OrderOutcome::Unknown && At)
    State_.onSending(Order, At);
  State_.onStart(Order, Result, Now);
  if (Result.Outcome != jobs::OrderOutcome::Accepted)
    Log_.logStartRefused(Order, Result.Outcome);
  if (StartsBounded_ || Result.Outcome != jobs::OrderOutcome::Accepted)
    Host_.schedulePlan();
}

} // namespace comfreydeck::dispatch
