#include "dispatch/OrderForwarder.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"
#include "dispatch/PeerMessages_p.h"

namespace comfreydeck::dispatch {

using jobs::OrderOutcome;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConnectLimit(250);
constexpr milliseconds ReturnLimit(600);
/// The owner has given up batches that were under way for longer.
constexpr milliseconds MaxTransit(1000);
/// Results for one owner are returned at least this far apart, so that batches
/// grow under load.
constexpr milliseconds ReturnGap(8);
/// Results that could not be returned are dropped after this time: the owner
/// has given them up by then.
constexpr milliseconds ReturnFor(1500);
/// Bounds the memory of orders in flight.
constexpr std::size_t MaxInFlight = 4000;
/// Bounds the size of one message.
constexpr std::size_t BatchResults = 200;
constexpr int StatusOk = 200;
constexpr int StatusBad = 400;
constexpr int StatusForbidden = 403;
constexpr int StatusUnavailable = 503;

/// When the batch was sent, or an earlier time; nothing if that isn't known on
/// the clock of this process. The batch may have waited while it was paused.
std::optional<core::TimePoint> sentAt(const codec::OrderBatch &Batch,
                                      const std::string &Life,
                                      core::TimePoint ReceivedAt) {
  if (!Batch.SentAt || Batch.SentAt->Life != Life)
    return std::nullopt;
  return std::min(core::TimePoint(milliseconds(Batch.SentAt->Ms)), ReceivedAt);
}

} // namespace

OrderForwarder::OrderForwarder(net::Loop &Loop, net::HttpClient &Client,
                               store::PartitionedStore &Store,
                               WorkerOrders &Workers, EntryIdentity Me,
                               OrderRelay::AddressOf Address)
    : Loop_(Loop), Client_(Client), Workers_(Workers), Me_(std::move(Me)),
      Address_(std::move(Address)), Payloads_(Loop, Store) {}

int OrderForwarder::handleOrders(
    const std::string &Body, core::TimePoint ReceivedAt,
    const std::function<bool(const EntryIdentity &)> &Known) {
  codec::OrderBatch Batch;
  try {
    Batch = codec::decodeOrders(Body);
  } catch (const std::invalid_argument &E) {
    ++Counters_.Refused;
    logEvent("relayed_orders_unreadable", {{"error", E.what()}});
    return StatusBad;
  }
  EntryIdentity Owner = {Batch.From, Batch.Life};
  if (!Known(Owner)) {
    ++Counters_.Refused;
    logEvent("relayed_orders_refused", {{"entry", Owner.Name}});
    return StatusForbidden;
  }
  if (InFlight_ + Batch.Orders.size() > MaxInFlight) {
    ++Counters_.Refused;
    return StatusUnavailable;
  }
  core::TimePoint Now = bootNow();
  std::optional<core::TimePoint> SentAt = sentAt(Batch, Me_.Life, ReceivedAt);
  bool IsGivenUp = SentAt && ReceivedAt - *SentAt > MaxTransit;
  for (codec::RelayedOrder &Order : Batch.Orders) {
    core::TimePoint SendBy = ReceivedAt + Order.Within;
    auto *Hold = std::get_if<jobs::HoldOrder>(&Order.Order);
    if (Hold && SentAt)
      Hold->AcknowledgeBy = *SentAt + Order.AcknowledgeWithin;
    else if (Hold)
      *Hold = jobs::withoutAcknowledgement(std::move(*Hold));
    if (Now > SendBy || IsGivenUp)
      addResult(Owner, {Order.Id, OrderOutcome::Withheld, {}});
    else if (Order.PayloadOmitted)
      readPayload(Owner, std::move(Order), SendBy);
    else
      forward(Owner, Order);
  }
  return StatusOk;
}

void OrderForwarder::readPayload(const EntryIdentity &Owner,
                                 codec::RelayedOrder Order,
                                 core::TimePoint SendBy) {
  const std::string JobId = std::get<jobs::StartOrder>(Order.Order).Task.JobId;
  ++InFlight_;
  Payloads_.get(JobId, [this, Owner, Order = std::move(Order),
                        SendBy](const std::string *Payload) mutable {
    --InFlight_;
    if (!Payload || bootNow() > SendBy) {
      addResult(Owner, {Order.Id, OrderOutcome::Withheld, {}, !Payload});
      return;
    }
    std::get<jobs::StartOrder>(Order.Order).Payload = *Payload;
    forward(Owner, Order);
  });
}

void OrderForwarder::forward(const EntryIdentity &Owner,
                             const codec::RelayedOrder &Order) {
  jobs::WorkerEntry To;
  To.Id = Order.Worker;
  To.Address = Order.Address;
  ++InFlight_;
  ++Counters_.Forwarded;
  auto Finish = [this, Owner](codec::RelayedResult Result) {
    Loop_.post([this, Owner, Result = std::move(Result)] {
      --InFlight_;
      addResult(Owner, Result);
    });
  };
  auto OnOrder = [Finish, Id = Order.Id](const jobs::OrderResult &Result) {
    codec::RelayedResult Relayed;
    Relayed.Id = Id;
    Relayed.Outcome = Result.Outcome;
    Relayed.Report.ClockMs = Result.ClockMs;
    Finish(std::move(Relayed));
  };
  auto OnReport = [Finish, Id = Order.Id](const jobs::ReportResult &Result) {
    Finish({Id, Result.Outcome, Result.Report});
  };
  if (const auto *Start = std::get_if<jobs::StartOrder>(&Order.Order))
    Workers_.start(To, Order.Fence, *Start, nullptr, OnOrder);
  else if (const auto *Stop = std::get_if<jobs::StopOrder>(&Order.Order))
    Workers_.stop(To, Order.Fence, *Stop, OnOrder);
  else if (const auto *Hold = std::get_if<jobs::HoldOrder>(&Order.Order))
    Workers_.report(To, Order.Fence, *Hold, nullptr, OnReport);
}

void OrderForwarder::addResult(const EntryIdentity &Owner,
                               codec::RelayedResult Result) {
  Inbox &Box = Inboxes_[Owner.Life];
  Box.Entry = Owner.Name;
  if (Box.Results.empty())
    Box.Since = bootNow();
  Box.Results.push_back(std::move(Result));
  if (Box.Sending || Box.Queued)
    return;
  Box.Queued = true;
  // Results that arrive in the same round join the batch.
  Loop_.post([this, Owner] { returnResults(Owner); });
}

void OrderForwarder::returnResults(const EntryIdentity &Owner) {
  Inbox &Box = Inboxes_[Owner.Life];
  Box.Queued = false;
  if (Box.Sending)
    return;
  std::optional<std::string> Address = Address_(Owner.Name);
  if (!Address || bootNow() - Box.Since > ReturnFor)
    Box.Results.clear();
  if (Box.Results.empty()) {
    Inboxes_.erase(Owner.Life);
    return;
  }
  std::vector<codec::RelayedResult> Batch =
      takeFront(Box.Results, BatchResults);
  std::int64_t NowMs =
      std::chrono::duration_cast<milliseconds>(bootNow().time_since_epoch())
          .count();
  Box.Sending = true;
  net::HttpCall Call;
  Call.Target = net::HttpTarget::Peer;
  Call.Method = "POST";
  Call.Url = "http://" + *Address + paths::Results;
  Call.Body =
      codec::encodeResults(Me_.Name, Me_.Life, Owner.Life, NowMs, Batch);
  Call.ConnectLimit = ConnectLimit;
  Call.TotalLimit = ReturnLimit;
  Client_.send(std::move(Call), [this, Owner, Batch = std::move(Batch)](
                                    const net::HttpResult &Result) mutable {
    bool Taken = Result.End == core::ExchangeEnd::Answered &&
                 Result.Response.Status == StatusOk;
    Loop_.post([this, Owner, Taken, Batch = std::move(Batch)]() mutable {
      onReturned(Owner, std::move(Batch), Taken);
    });
  });
}

/// Results that were not taken are returned again: the owner ignores those that
/// it has.
void OrderForwarder::onReturned(const EntryIdentity &Owner,
                                std::vector<codec::RelayedResult> Results,
                                bool Taken) {
  Inbox &Box = Inboxes_[Owner.Life];
  if (Taken)
    Box.Since = bootNow();
  else
    Box.Results.insert(Box.Results.begin(),
                       std::make_move_iterator(Results.begin()),
                       std::make_move_iterator(Results.end()));
  Loop_.after(ReturnGap, [this, Owner] {
    Inboxes_[Owner.Life].Sending = false;
    returnResults(Owner);
  });
}

} // namespace comfreydeck::dispatch
