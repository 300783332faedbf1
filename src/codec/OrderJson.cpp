#include "codec/OrderJson.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <stdexcept>

namespace comfreydeck::codec {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

enum class Kind : unsigned { Start, Stop, Hold };

std::int64_t msOf(core::Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

void appendTask(Json &Row, const jobs::TaskRef &Task) {
  Row.push_back(Task.JobId);
  Row.push_back(Task.Occurrence);
  Row.push_back(Task.Step);
  Row.push_back(Task.Index);
}

/// Reads the elements of a row one after another.
class RowReader {
public:
  explicit RowReader(const Json &Row) : Row_(Row) {}

  template <typename T> T next() { return nextField().get<T>(); }
  const Json &nextField() { return Row_.at(Next_++); }
  bool hasNext() const { return Next_ < Row_.size(); }

  jobs::TaskRef nextTask() {
    jobs::TaskRef Task;
    Task.JobId = next<std::string>();
    Task.Occurrence = next<std::uint32_t>();
    Task.Step = next<std::uint32_t>();
    Task.Index = next<std::uint32_t>();
    return Task;
  }

private:
  const Json &Row_;
  std::size_t Next_ = 0;
};

/// Payloads of one batch, each stored once.
class PayloadTable {
public:
  std::size_t indexOf(const std::string &Payload) {
    auto [At, IsNew] = Indexes_.try_emplace(Payload, Payloads_.size());
    if (IsNew)
      Payloads_.push_back(Payload);
    return At->second;
  }
  Json take() { return std::move(Payloads_); }

private:
  std::map<std::string, std::size_t> Indexes_;
  Json Payloads_ = Json::array();
};

/// \p Payloads is null if the payload is omitted.
void appendOrder(Json &Row, const jobs::StartOrder &Order,
                 PayloadTable *Payloads) {
  Row.push_back(static_cast<unsigned>(Kind::Start));
  appendTask(Row, Order.Task);
  Row.push_back(Order.Run);
  Row.push_back(Payloads ? Json(Payloads->indexOf(Order.Payload)) : Json());
  Row.push_back(Order.Checkpoint);
  Row.push_back(Order.Ticket);
  Row.push_back(Order.DeadlineMs);
}

void appendOrder(Json &Row, const jobs::StopOrder &Order, PayloadTable *) {
  Row.push_back(static_cast<unsigned>(Kind::Stop));
  appendTask(Row, Order.Task);
  Row.push_back(Order.Run);
}

void appendOrder(Json &Row, const jobs::HoldOrder &Order, PayloadTable *) {
  Row.push_back(static_cast<unsigned>(Kind::Hold));
  Row.push_back(Order.DeadlineMs);
  Row.push_back(Order.AcknowledgeUpTo);
  Row.push_back(msOf(Order.Wait));
}

RelayedOrder orderOf(const Json &Object, const Json &Payloads) {
  RowReader Row(Object);
  RelayedOrder Result;
  Result.Id = Row.next<std::uint64_t>();
  Result.Worker = Row.next<std::string>();
  Result.Address = Row.next<std::string>();
  Result.Fence = Row.next<std::uint64_t>();
  Result.Within = milliseconds(Row.next<std::int64_t>());
  switch (static_cast<Kind>(Row.next<unsigned>())) {
  case Kind::Start: {
    jobs::StartOrder Order;
    Order.Worker = Result.Worker;
    Order.Task = Row.nextTask();
    Order.Run = Row.next<jobs::RunId>();
    const Json &Payload = Row.nextField();
    Result.PayloadOmitted = Payload.is_null();
    if (!Result.PayloadOmitted)
      Order.Payload = Payloads.at(Payload.get<std::size_t>())
                          .get_ref<const std::string &>();
    Order.Checkpoint = Row.next<std::string>();
    Order.Ticket = Row.next<std::string>();
    Order.DeadlineMs = Row.next<std::int64_t>();
    Result.Order = std::move(Order);
    return Result;
  }
  case Kind::Stop: {
    jobs::StopOrder Order;
    Order.Worker = Result.Worker;
    Order.Task = Row.nextTask();
    Order.Run = Row.next<jobs::RunId>();
    Result.Order = std::move(Order);
    return Result;
  }
  case Kind::Hold: {
    jobs::HoldOrder Order;
    Order.Worker = Result.Worker;
    Order.DeadlineMs = Row.next<std::int64_t>();
    Order.AcknowledgeUpTo = Row.next<std::uint64_t>();
    Order.Wait = milliseconds(Row.next<std::int64_t>());
    if (Row.hasNext())
      Result.AcknowledgeWithin = milliseconds(Row.next<std::int64_t>());
    Result.Order = std::move(Order);
    return Result;
  }
  }
  throw std::invalid_argument("unknown kind of order");
}

Json encodeReport(const jobs::WorkerReport &Report) {
  Json Running = Json::array();
  for (const jobs::RunReport &Run : Report.Running) {
    Json Row = Json::array();
    appendTask(Row, Run.Task);
    Row.push_back(Run.Run);
    Row.push_back(Run.Checkpoint);
    Row.push_back(Run.Percent);
    Row.push_back(Run.Load);
    Running.push_back(std::move(Row));
  }
  Json Ended = Json::array();
  for (const jobs::EndReport &End : Report.Ended) {
    Json Row = Json::array({End.Number});
    appendTask(Row, End.Task);
    Row.push_back(End.Run);
    Row.push_back(static_cast<unsigned>(End.How));
    Row.push_back(End.Checkpoint);
    Ended.push_back(std::move(Row));
  }
  return Json::array({Report.Born, std::move(Running), std::move(Ended)});
}

template <typename Enum> Enum valueOf(unsigned Number, std::size_t Values) {
  if (Number >= Values)
    throw std::invalid_argument("a number is out of range");
  return static_cast<Enum>(Number);
}

RelayedResult resultOf(const Json &Object) {
  RowReader Row(Object);
  RelayedResult Result;
  Result.Id = Row.next<std::uint64_t>();
  Result.Outcome = valueOf<jobs::OrderOutcome>(Row.next<unsigned>(),
                                               jobs::OrderOutcomeCount);
  Result.Report.ClockMs = Row.next<std::int64_t>();
  constexpr std::size_t OrderResultSize = 3;
  if (Object.size() <= OrderResultSize)
    return Result;
  const Json &Report = Row.nextField();
  if (Report.is_null()) {
    Result.PayloadMissing = true;
    return Result;
  }
  Result.Report.Born = Report.at(0).get<std::int64_t>();
  for (const Json &Running : Report.at(1)) {
    RowReader Fields(Running);
    jobs::RunReport Run;
    Run.Task = Fields.nextTask();
    Run.Run = Fields.next<jobs::RunId>();
    Run.Checkpoint = Fields.next<std::string>();
    Run.Percent = Fields.next<std::uint32_t>();
    Run.Load = Fields.next<double>();
    Result.Report.Running.push_back(std::move(Run));
  }
  for (const Json &Ended : Report.at(2)) {
    RowReader Fields(Ended);
    jobs::EndReport End;
    End.Number = Fields.next<std::uint64_t>();
    End.Task = Fields.nextTask();
    End.Run = Fields.next<jobs::RunId>();
    End.How = valueOf<jobs::RunEnd>(Fields.next<unsigned>(), jobs::RunEndCount);
    End.Checkpoint = Fields.next<std::string>();
    Result.Report.Ended.push_back(std::move(End));
  }
  return Result;
}

} // namespace

std::string encodeOrders(const std::string &From, const std::string &Life,
                         std::span<const RelayedOrder> Orders,
                         const std::optional<PeerTime> &SentAt) {
  PayloadTable Payloads;
  Json Rows = Json::array();
  for (const RelayedOrder &Order : Orders) {
    Json Row = Json::array({Order.Id, Order.Worker, Order.Address, Order.Fence,
                            msOf(Order.Within)});
    PayloadTable *Table = Order.PayloadOmitted ? nullptr : &Payloads;
    std::visit([&](const auto &Kind) { appendOrder(Row, Kind, Table); },
               Order.Order);
    if (std::holds_alternative<jobs::HoldOrder>(Order.Order))
      Row.push_back(msOf(Order.AcknowledgeWithin));
    Rows.push_back(std::move(Row));
  }
  Json Batch = {{"from", From},
                {"life", Life},
                {"payloads", Payloads.take()},
                {"orders", std::move(Rows)}};
  if (SentAt)
    Batch["sent_at"] = Json::array({SentAt->Life, SentAt->Ms});
  return Batch.dump();
}

OrderBatch decodeOrders(std::string_view Text) {
  try {
    Json Object = Json::parse(Text);
    OrderBatch Batch;
    Batch.From = Object.at("from").get<std::string>();
    Batch.Life = Object.at("life").get<std::string>();
    if (auto At = Object.find("sent_at"); At != Object.end())
      Batch.SentAt = {At->at(0).get<std::string>(),
                      At->at(1).get<std::int64_t>()};
    const Json &Payloads = Object.at("payloads");
    for (const Json &Row : Object.at("orders"))
      Batch.Orders.push_back(orderOf(Row, Payloads));
    return Batch;
  } catch (const Json::exception &E) {
    throw std::invalid_argument(E.what());
  }
}

std::string encodeResults(const std::string &From, const std::string &Life,
                          const std::string &ToLife, std::int64_t SentAtMs,
                          std::span<const RelayedResult> Results) {
  Json Rows = Json::array();
  for (const RelayedResult &Result : Results) {
    const jobs::WorkerReport &Report = Result.Report;
    Json Row = Json::array(
        {Result.Id, static_cast<unsigned>(Result.Outcome), Report.ClockMs});
    if (Result.PayloadMissing)
      Row.push_back(nullptr);
    else if (Report.Born != 0 || !Report.Running.empty() ||
             !Report.Ended.empty())
      Row.push_back(encodeReport(Report));
    Rows.push_back(std::move(Row));
  }
  return Json({{"from", From},
               {"life", Life},
               {"to_life", ToLife},
               {"sent_at", SentAtMs},
               {"results", std::move(Rows)}})
      .dump();
}

ResultBatch decodeResults(std::string_view Text) {
  try {
    Json Object = Json::parse(Text);
    ResultBatch Batch;
    Batch.From = Object.at("from").get<std::string>();
    Batch.Life = Object.at("life").get<std::string>();
    Batch.ToLife = Object.at("to_life").get<std::string>();
    if (auto At = Object.find("sent_at"); At != Object.end())
      Batch.SentAtMs = At->get<std::int64_t>();
    for (const Json &Row : Object.at("results"))
      Batch.Results.push_back(resultOf(Row));
    return Batch;
  } catch (const Json::exception &E) {
    throw std::invalid_argument(E.what());
  }
}

} // namespace comfreydeck::codec
