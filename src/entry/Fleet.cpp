#include "entry/Fleet.h"

#include "codec/ConfigJson.h"
#include "codec/InstanceJson.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr const char *InstanceTable = "instances";
constexpr std::uint32_t PageRows = 1000;
constexpr core::Duration PollEvery = std::chrono::seconds(1);
constexpr core::Duration ProbeLimit = std::chrono::milliseconds(800);
/// A worker that has been silent for longer gets nothing new.
constexpr core::Duration HeardLimit = std::chrono::seconds(3);

/// A number for the instance that depends on its name alone.
std::uint32_t idOfName(std::string_view Name) {
  constexpr std::uint32_t Basis = 2166136261U;
  constexpr std::uint32_t Prime = 16777619U;
  std::uint32_t Hash = Basis;
  for (unsigned char C : Name)
    Hash = (Hash ^ C) * Prime;
  return Hash == core::WorkerId::InvalidValue ? 0 : Hash;
}

std::optional<WorkerStatus> statusFrom(const std::string &Body) {
  try {
    json J = json::parse(Body);
    WorkerStatus Status;
    Status.ClockMs = J.at("clock_ms").get<std::uint64_t>();
    for (const json &Item : J.at("running"))
      Status.Running.push_back({Item.at("task").get<std::string>(),
                                Item.at("team").get<std::string>()});
    return Status;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

bool isOut(const core::Configuration &C, std::string_view DataCentre) {
  const core::DataCentre *Found = core::findDataCentre(C, DataCentre);
  return Found && Found->Out;
}

} // namespace

Fleet::Fleet(const Context &C) : Context_(C) {}

void Fleet::start(std::function<void()> OnChange) {
  OnChange_ = std::move(OnChange);
  poll("");
  Context_.Control.every(PollEvery, [this] {
    if (!Polling_)
      poll("");
  });
}

void Fleet::poll(std::string After) {
  Polling_ = true;
  Context_.Tables.scan(InstanceTable, "", std::move(After), PageRows,
                       [this](platform::ScanResult Result) {
                         Context_.Control.post(
                             [this, Result] { onScan(Result); });
                       });
}

void Fleet::onScan(const platform::ScanResult &Result) {
  if (Result.Outcome != platform::ReadOutcome::Ok) {
    Polling_ = false;
    Reading_.clear();
    return;
  }
  for (const platform::Row &Row : Result.Rows) {
    core::Instance I = codec::parseInstance(Row.Value);
    Reading_[I.Id] = std::move(I);
  }
  if (Result.More)
    return poll(Result.Rows.back().Key);
  Polling_ = false;
  Instances_ = std::move(Reading_);
  Reading_.clear();
  OnChange_();
}

std::vector<core::PoolWorker>
Fleet::workersOf(core::PoolId Pool, const core::Configuration &C) const {
  std::vector<core::PoolWorker> Workers;
  core::TimePoint HeardSince = net::now() - HeardLimit;
  for (const auto &[Id, I] : Instances_) {
    if (I.Pool != Pool)
      continue;
    auto Clock = Statuses_.find(Id);
    bool Heard =
        Clock != Statuses_.end() && Clock->second.Received > HeardSince;
    core::PoolWorker Worker;
    Worker.Id = Id;
    Worker.Slots = I.Slots;
    Worker.Total = I.Total;
    Worker.Open = Heard && I.State == core::InstanceState::Serving &&
                  !isOut(C, I.DataCentre);
    Workers.push_back(Worker);
  }
  return Workers;
}

const core::Instance *Fleet::find(core::WorkerId Id) const {
  auto It = Instances_.find(Id);
  return It == Instances_.end() ? nullptr : &It->second;
}

std::optional<std::uint64_t> Fleet::workerClockMs(core::WorkerId Id,
                                                  core::TimePoint At) const {
  auto It = Statuses_.find(Id);
  if (It == Statuses_.end())
    return std::nullopt;
  // The sample was taken before it was received, so that counting from its
  // arrival never runs ahead of the worker.
  auto Since = std::chrono::duration_cast<std::chrono::milliseconds>(
      At - It->second.Received);
  return It->second.ClockMs + static_cast<std::uint64_t>(Since.count());
}

void Fleet::probe(std::span<const core::PoolId> Pools) {
  for (const auto &[Id, I] : Instances_)
    if (std::find(Pools.begin(), Pools.end(), I.Pool) != Pools.end())
      probeWorker(I);
}

void Fleet::probeWorker(const core::Instance &I) {
  net::HttpCall Call;
  Call.Url = "http://" + I.Address + "/v1/status";
  Call.TotalLimit = ProbeLimit;
  core::TimePoint Asked = net::now();
  Context_.Workers.send(std::move(Call), [this, Id = I.Id, Asked](auto Result) {
    if (Result.End != core::ExchangeEnd::Answered)
      return;
    std::optional<WorkerStatus> Status = statusFrom(Result.Response.Body);
    if (!Status)
      return;
    Status->Asked = Asked;
    Status->Received = net::now();
    Context_.Control.post([this, Id, Status = std::move(*Status)]() mutable {
      Statuses_[Id] = std::move(Status);
    });
  });
}

const WorkerStatus *Fleet::statusOf(core::WorkerId Id) const {
  auto It = Statuses_.find(Id);
  return It == Statuses_.end() ? nullptr : &It->second;
}

void Fleet::assign(const std::string &Name, core::PoolId Pool,
                   std::function<void(std::string)> Done) {
  Context_.Instances.list([this, Name, Pool, Done](auto Listed) {
    Context_.Control.post([this, Name, Pool, Done, Listed] {
      onListed(Name, Pool, Listed, Done);
    });
  });
}

void Fleet::onListed(const std::string &Name, core::PoolId Pool,
                     const platform::ListResult &Listed,
                     const std::function<void(std::string)> &Done) {
  const auto &All = Listed.Instances;
  auto It = std::find_if(All.begin(), All.end(), [&](const auto &Item) {
    return Item.Name == Name && Item.Kind == platform::InstanceKind::Worker;
  });
  if (It == All.end())
    return Done("the platform's list has no worker '" + Name + "'");
  core::Instance I;
  I.Id.Value = idOfName(Name);
  I.Name = Name;
  I.Pool = Pool;
  I.DataCentre = It->DataCentre;
  I.Rack = It->Rack;
  I.Address = It->Address;
  platform::RowKey Key{InstanceTable, Name};
  platform::Transaction T{"assign-" + Name, {}, {{Key, codec::toJson(I)}}};
  Context_.Tables.commit(
      std::move(T), [this, Done](platform::CommitResult Result) {
        bool Ok = Result.Outcome == platform::CommitOutcome::Committed;
        Context_.Control.post(
            [Done, Ok] { Done(Ok ? "" : "the store did not confirm"); });
      });
}

} // namespace comfreydeck::entry
