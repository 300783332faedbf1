#include "dispatch/OrderRelay.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"
#include "dispatch/PeerMessages_p.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::dispatch {

using jobs::OrderOutcome;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConnectLimit(250);
/// Another entry acknowledges a batch before it sends the orders.
constexpr milliseconds BatchLimit(600);
/// Batches for one entry start at least this far apart, so that they grow under
/// load.
constexpr milliseconds BatchGap(8);
/// Bounds the size of one message.
constexpr std::size_t BatchOrders = 200;
/// An order that is not sent within this time is dropped.
constexpr milliseconds SendWithin(400);
/// Maximum time from giving an order to its result, beside the time for which a
/// worker may delay its report.
constexpr milliseconds ResultLimit(1800);
constexpr milliseconds ExpiryPeriod(50);
/// How long an entry gets no orders after it failed.
constexpr milliseconds SuspendTime(3000);
/// How long an entry gets orders with their payloads after it could not read
/// one.
constexpr milliseconds WholeOrdersTime(3000);
constexpr int StatusOk = 200;
constexpr int StatusBad = 400;
constexpr int StatusForbidden = 403;

/// Share of the link that payloads may take; the others are left out.
constexpr double PayloadShare = 0.25;
constexpr double BytesPerMbit = 125000;

/// Bound of the drift of one machine's clock against another's.
constexpr double MaxDrift = 0.001;
/// How long another entry's clock is known after its last results.
constexpr milliseconds ClockKnownFor(30000);

std::int64_t toMs(core::Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

codec::RelayedResult resultWith(OrderOutcome Outcome) {
  codec::RelayedResult Result;
  Result.Outcome = Outcome;
  return Result;
}

/// Shortens the time that the order's acknowledgement has by what it has waited
/// here.
void limitAcknowledgement(codec::RelayedOrder &Order, core::TimePoint Now) {
  auto *Hold = std::get_if<jobs::HoldOrder>(&Order.Order);
  if (!Hold)
    return;
  Order.AcknowledgeWithin =
      std::max(Hold->AcknowledgeBy - Now, core::Duration::zero());
  if (Order.AcknowledgeWithin == core::Duration::zero())
    *Hold = jobs::withoutAcknowledgement(std::move(*Hold));
}

} // namespace

core::Duration OrderRelay::PeerClock::leadAt(core::TimePoint Now) const {
  return Lead -
         std::chrono::duration_cast<core::Duration>((Now - At) * MaxDrift);
}

OrderRelay::OrderRelay(net::Loop &Loop, net::HttpClient &Client,
                       WorkerOrders &Direct, EntryIdentity Me,
                       AddressOf Address, double LinkMbps)
    : Loop_(Loop), Client_(Client), Direct_(Direct), Me_(std::move(Me)),
      Address_(std::move(Address)),
      PayloadRate_(LinkMbps * BytesPerMbit * PayloadShare),
      PayloadRoom_(PayloadRate_), PayloadRoomAt_(bootNow()) {}

void OrderRelay::begin() {
  Loop_.every(ExpiryPeriod, [this] { expire(); });
}

// Choice of the sender.

void OrderRelay::setSenders(const std::string &Pool, jobs::Senders Chosen) {
  bool Relayed = isRelaying(Pool);
  if (Relayed != !Chosen.empty()) {
    std::set<std::string> Entries;
    for (const auto &[Worker, Entry] : Chosen)
      Entries.insert(Entry);
    logEvent("orders_relayed", {{"pool", Pool},
                                {"workers", Chosen.size()},
                                {"entries", Entries.size()}});
  }
  if (Chosen.empty())
    Senders_.erase(Pool);
  else
    Senders_[Pool] = std::move(Chosen);
}

bool OrderRelay::isRelaying(const std::string &Pool) const {
  return Senders_.count(Pool) != 0;
}

bool OrderRelay::isSuspended(const std::string &Entry) const {
  auto Failed = FailedAt_.find(Entry);
  return Failed != FailedAt_.end() && bootNow() - Failed->second < SuspendTime;
}

/// Returns null if this entry sends the order itself.
const std::string *OrderRelay::senderOf(const jobs::WorkerEntry &To) const {
  auto Pool = Senders_.find(To.Pool);
  if (Pool == Senders_.end())
    return nullptr;
  auto Entry = Pool->second.find(To.Id);
  bool Usable = Entry != Pool->second.end() && !isSuspended(Entry->second);
  return Usable ? &Entry->second : nullptr;
}

void OrderRelay::suspend(const std::string &Sender) {
  if (!isSuspended(Sender))
    logEvent("relay_suspended", {{"entry", Sender}});
  FailedAt_[Sender] = bootNow();
  // Leases must be renewed by another way before they expire.
  std::vector<std::uint64_t> Holds;
  for (const auto &[Id, Given] : Pending_)
    if (Given.IsHold && Given.Sender == Sender)
      Holds.push_back(Id);
  completeAll(Holds, OrderOutcome::Unknown);
}

// Orders.

void OrderRelay::start(const jobs::WorkerEntry &To, std::uint64_t Fence,
                       const jobs::StartOrder &Order, SendMark SentAt,
                       std::function<void(jobs::OrderResult)> Done) {
  const std::string *Sender = senderOf(To);
  if (!Sender) {
    Direct_.start(To, Fence, Order, std::move(SentAt), std::move(Done));
    return;
  }
  give(*Sender, To, {0, "", "", Fence, {}, Order}, ResultLimit,
       std::move(SentAt),
       [Done = std::move(Done)](const codec::RelayedResult &Result) {
         Done({Result.Outcome, Result.Report.ClockMs});
       });
}

void OrderRelay::stop(const jobs::WorkerEntry &To, std::uint64_t Fence,
                      const jobs::StopOrder &Order,
                      std::function<void(jobs::OrderResult)> Done) {
  const std::string *Sender = senderOf(To);
  if (!Sender) {
    Direct_.stop(To, Fence, Order, std::move(Done));
    return;
  }
  give(*Sender, To, {0, "", "", Fence, {}, Order}, ResultLimit, nullptr,
       [Done = std::move(Done)](const codec::RelayedResult &Result) {
         Done({Result.Outcome, Result.Report.ClockMs});
       });
}

void OrderRelay::report(const jobs::WorkerEntry &To, std::uint64_t Fence,
                        const jobs::HoldOrder &Order, SendMark SentAt,
                        std::function<void(jobs::ReportResult)> Done) {
  const std::string *Sender = senderOf(To);
  if (!Sender) {
    Direct_.report(To, Fence, Order, std::move(SentAt), std::move(Done));
    return;
  }
  give(*Sender, To, {0, "", "", Fence, {}, Order}, Order.Wait + ResultLimit,
       std::move(SentAt),
       [Done = std::move(Done)](const codec::RelayedResult &Result) {
         Done({Result.Outcome, Result.Report});
       });
}

void OrderRelay::give(const std::string &Sender, const jobs::WorkerEntry &To,
                      codec::RelayedOrder Order, core::Duration Limit,
                      SendMark SentAt, ResultCallback Done) {
  core::TimePoint Now = bootNow();
  Order.Id = NextId_++;
  Order.Worker = To.Id;
  Order.Address = To.Address;
  bool IsHold = std::holds_alternative<jobs::HoldOrder>(Order.Order);
  Pending &Given = Pending_[Order.Id];
  Given = {To.Pool,           Sender, Now, Now + Limit, IsHold, std::move(Done),
           std::move(SentAt), {}};
  auto *Start = std::get_if<jobs::StartOrder>(&Order.Order);
  if (Start && mayOmitPayload(Sender) &&
      !takePayloadRoom(Start->Payload.size())) {
    Given.Whole = Order;
    Start->Payload.clear();
    Order.PayloadOmitted = true;
  }
  ++Counters_.Orders;
  enqueue(Sender, std::move(Order));
}

/// Whether the entry has lately read all payloads that it was asked to read.
bool OrderRelay::mayOmitPayload(const std::string &Sender) const {
  auto Missing = PayloadMissingAt_.find(Sender);
  return Missing == PayloadMissingAt_.end() ||
         bootNow() - Missing->second >= WholeOrdersTime;
}

/// Whether the link has room for the payload; if so, takes it.
bool OrderRelay::takePayloadRoom(std::size_t Bytes) {
  core::TimePoint Now = bootNow();
  double Seconds = std::chrono::duration<double>(Now - PayloadRoomAt_).count();
  PayloadRoom_ = std::min(PayloadRoom_ + PayloadRate_ * Seconds, PayloadRate_);
  PayloadRoomAt_ = Now;
  auto Needed = static_cast<double>(Bytes);
  if (PayloadRoom_ < Needed)
    return false;
  PayloadRoom_ -= Needed;
  return true;
}

void OrderRelay::enqueue(const std::string &Sender, codec::RelayedOrder Order) {
  Outbox &Box = Outboxes_[Sender];
  Box.Orders.push_back(std::move(Order));
  if (Box.Sending || Box.Queued)
    return;
  Box.Queued = true;
  // Orders that follow in the same planning pass join the batch.
  Loop_.post([this, Sender] { flush(Sender); });
}

void OrderRelay::dropUnsent(const std::string &Pool) {
  std::vector<std::uint64_t> Dropped;
  for (const auto &[Sender, Box] : Outboxes_)
    for (const codec::RelayedOrder &Order : Box.Orders) {
      auto At = Pending_.find(Order.Id);
      if (At != Pending_.end() && At->second.Pool == Pool)
        Dropped.push_back(Order.Id);
    }
  completeAll(Dropped, OrderOutcome::Withheld);
  Senders_.erase(Pool);
}

/// The entry's time at \p Now or an earlier one; nothing if it has sent no
/// results lately.
std::optional<codec::PeerTime> OrderRelay::timeAt(const std::string &Entry,
                                                  core::TimePoint Now) const {
  auto At = Clocks_.find(Entry);
  if (At == Clocks_.end() || Now - At->second.At > ClockKnownFor)
    return std::nullopt;
  return codec::PeerTime{At->second.Life,
                         toMs(Now.time_since_epoch() + At->second.leadAt(Now))};
}

/// Results were sent before they arrived, so that the entry's clock shows more.
void OrderRelay::recordClock(const codec::ResultBatch &Batch,
                             core::TimePoint Now) {
  std::erase_if(Clocks_, [Now](const auto &Item) {
    return Now - Item.second.At > ClockKnownFor;
  });
  if (!Batch.SentAtMs)
    return;
  core::Duration Lead = milliseconds(*Batch.SentAtMs) - Now.time_since_epoch();
  auto [At, IsNew] = Clocks_.try_emplace(Batch.From);
  PeerClock &Clock = At->second;
  if (!IsNew && Clock.Life == Batch.Life)
    Lead = std::max(Lead, Clock.leadAt(Now));
  Clock = {Batch.Life, Lead, Now};
}

void OrderRelay::flush(const std::string &Sender) {
  Outbox &Box = Outboxes_[Sender];
  Box.Queued = false;
  if (Box.Sending || Box.Orders.empty())
    return;
  std::vector<codec::RelayedOrder> Batch = takeFront(Box.Orders, BatchOrders);
  core::TimePoint Now = bootNow();
  std::vector<std::uint64_t> Ids;
  std::vector<std::uint64_t> TooLate;
  std::erase_if(Batch, [&](codec::RelayedOrder &Order) {
    auto At = Pending_.find(Order.Id);
    if (At == Pending_.end())
      return true;
    core::Duration Left = At->second.GivenAt + SendWithin - Now;
    bool IsLate = Left <= core::Duration::zero();
    Order.Within = Left;
    limitAcknowledgement(Order, Now);
    (IsLate ? TooLate : Ids).push_back(Order.Id);
    return IsLate;
  });
  completeAll(TooLate, OrderOutcome::Withheld);
  std::optional<std::string> Address = Address_(Sender);
  if (!Address || isSuspended(Sender)) {
    completeAll(Ids, OrderOutcome::Withheld);
    Batch.clear();
  }
  if (Batch.empty()) {
    if (!Box.Orders.empty())
      Loop_.post([this, Sender] { flush(Sender); });
    return;
  }
  Box.Sending = true;
  ++Counters_.Batches;
  net::HttpCall Call;
  Call.Target = net::HttpTarget::Peer;
  Call.Method = "POST";
  Call.Url = "http://" + *Address + paths::Orders;
  Call.Body =
      codec::encodeOrders(Me_.Name, Me_.Life, Batch, timeAt(Sender, Now));
  Call.ConnectLimit = ConnectLimit;
  Call.TotalLimit = BatchLimit;
  Call.SendLimit = SendWithin;
  auto BegunAt = std::make_shared<net::BeginTime>();
  Call.BegunAt = BegunAt;
  Client_.send(std::move(Call), [this, Sender, Ids = std::move(Ids),
                                 BegunAt](net::HttpResult Result) {
    Loop_.post([this, Sender, Ids, BegunAt, Result = std::move(Result)] {
      onBatchAnswered(Sender, Ids, Result, BegunAt->get());
    });
  });
}

void OrderRelay::onBatchAnswered(const std::string &Sender,
                                 const std::vector<std::uint64_t> &Ids,
                                 const net::HttpResult &Result,
                                 std::optional<core::TimePoint> BegunAt) {
  bool Answered = Result.End == core::ExchangeEnd::Answered;
  bool Taken = Answered && Result.Response.Status == StatusOk;
  bool Refused = Answered && !Taken;
  bool NotSent = Result.End == core::ExchangeEnd::ConnectFailed ||
                 Result.End == core::ExchangeEnd::NeverSent;
  if (!Taken) {
    ++Counters_.FailedBatches;
    suspend(Sender);
  }
  // Without an answer, the entry may still send the orders; their results or
  // their time limits tell.
  if (Refused || NotSent)
    completeAll(Ids, OrderOutcome::Withheld);
  else if (Taken || BegunAt)
    setSent(Ids, Taken ? bootNow() : *BegunAt);
  Loop_.after(BatchGap, [this, Sender] {
    Outboxes_[Sender].Sending = false;
    flush(Sender);
  });
}

void OrderRelay::setSent(std::span<const std::uint64_t> Ids,
                         core::TimePoint At) {
  for (std::uint64_t Id : Ids) {
    auto Given = Pending_.find(Id);
    if (Given != Pending_.end() && Given->second.SentAt)
      Given->second.SentAt->set(At);
  }
}

// Results.

void OrderRelay::complete(std::uint64_t Id,
                          const codec::RelayedResult &Result) {
  auto At = Pending_.find(Id);
  if (At == Pending_.end())
    return;
  ResultCallback Done = std::move(At->second.Done);
  Pending_.erase(At);
  Done(Result);
}

void OrderRelay::completeAll(std::span<const std::uint64_t> Ids,
                             OrderOutcome Outcome) {
  for (std::uint64_t Id : Ids)
    complete(Id, resultWith(Outcome));
}

/// Gives a start again, with its payload, that the entry did not send for want
/// of it.
void OrderRelay::sendWhole(std::uint64_t Id) {
  Pending &Given = Pending_.at(Id);
  if (mayOmitPayload(Given.Sender))
    logEvent("relay_payload_missing", {{"entry", Given.Sender}});
  PayloadMissingAt_[Given.Sender] = bootNow();
  // The result may arrive twice.
  if (Given.Whole)
    enqueue(Given.Sender, *std::exchange(Given.Whole, std::nullopt));
}

int OrderRelay::handleResults(
    const std::string &Body, core::TimePoint ReceivedAt,
    const std::function<bool(const EntryIdentity &)> &Known) {
  codec::ResultBatch Batch;
  try {
    Batch = codec::decodeResults(Body);
  } catch (const std::invalid_argument &E) {
    ++Counters_.Refused;
    logEvent("relayed_results_unreadable", {{"error", E.what()}});
    return StatusBad;
  }
  if (!Known({Batch.From, Batch.Life})) {
    ++Counters_.Refused;
    logEvent("relayed_results_refused", {{"entry", Batch.From}});
    return StatusForbidden;
  }
  // Results for an earlier process of this entry have other numbers.
  if (Batch.ToLife != Me_.Life)
    return StatusOk;
  recordClock(Batch, ReceivedAt);
  for (const codec::RelayedResult &Result : Batch.Results) {
    auto At = Pending_.find(Result.Id);
    if (At == Pending_.end() || At->second.Sender != Batch.From)
      continue;
    if (Result.PayloadMissing)
      sendWhole(Result.Id);
    else
      complete(Result.Id, Result);
  }
  return StatusOk;
}

/// Ends orders whose results are overdue; they may have been sent.
void OrderRelay::expire() {
  core::TimePoint Now = bootNow();
  std::vector<std::uint64_t> Overdue;
  std::set<std::string> Entries;
  for (const auto &[Id, Given] : Pending_)
    if (Given.ExpiresAt <= Now) {
      Overdue.push_back(Id);
      Entries.insert(Given.Sender);
    }
  Counters_.Expired += Overdue.size();
  for (const std::string &Entry : Entries)
    suspend(Entry);
  completeAll(Overdue, OrderOutcome::Unknown);
}

RelayCounters OrderRelay::takeCounters() {
  return std::exchange(Counters_, {});
}

} // namespace comfreydeck::dispatch
