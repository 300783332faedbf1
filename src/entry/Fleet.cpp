#include "entry/Fleet.h"

#include "core/Warmup.h"
#include "entry/WallClock.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

constexpr core::Duration PollEvery = std::chrono::seconds(1);
constexpr core::Duration ListEvery = std::chrono::seconds(2);
constexpr core::Duration ProbeLimit = std::chrono::milliseconds(800);

std::optional<WorkerReport> reportFrom(const std::string &Body) {
  try {
    json J = json::parse(Body);
    WorkerReport R;
    R.WorkerMs = J.at("clock_ms").get<std::uint64_t>();
    R.BootId = J.value("boot_id", std::string());
    for (const json &Item : J.at("running"))
      R.Running.push_back({Item.at("task").get<std::string>(),
                           Item.at("team").get<std::string>()});
    return R;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

bool isOut(const core::Configuration &C, std::string_view DataCentre) {
  const core::DataCentre *Found = core::findDataCentre(C, DataCentre);
  return Found && Found->Out;
}

core::DrainTimes timesOf(const settings::FleetSettings &S) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  core::DrainTimes Times;
  Times.WarmUpMs = duration_cast<milliseconds>(S.WarmUp).count();
  Times.RebootLimitMs = duration_cast<milliseconds>(S.RebootLimit).count();
  return Times;
}

} // namespace

Fleet::Fleet(const Context &C) : Context_(C), Rows_(C) {}

void Fleet::start(std::function<void()> OnChange) {
  OnChange_ = std::move(OnChange);
  pollNow();
  Context_.Control.every(PollEvery, [this] { pollNow(); });
  Context_.Control.every(ListEvery, [this] {
    if (Listing_)
      return;
    Listing_ = true;
    Context_.Instances.list([this](store::ListResult Result) {
      Context_.Control.post([this, Result] { onList(Result); });
    });
  });
}

void Fleet::pollNow() {
  Rows_.poll([this] { onRows(); });
}

void Fleet::onRows() {
  std::erase_if(Holds_, [&](const auto &Item) {
    return Item.second != 0 && Rows_.lastCompleted() >= Item.second;
  });
  OnChange_();
}

void Fleet::onList(const store::ListResult &Result) {
  Listing_ = false;
  // A failed list request says nothing about any instance.
  if (!Result.Ok)
    return;
  core::TimePoint Now = net::now();
  std::set<std::string> Present;
  auto SetStatus = [&](Listing &L, core::ListedStatus Status) {
    if (L.Since == core::TimePoint() || L.Status != Status)
      L.Since = Now;
    L.Status = Status;
  };
  for (const store::ListedInstance &Item : Result.Instances) {
    if (Item.Kind != store::InstanceKind::Worker)
      continue;
    bool Leaving = Item.State == store::InstanceState::Leaving;
    Listing &L = Listed_[Item.Name];
    L.Item = Item;
    SetStatus(L,
              Leaving ? core::ListedStatus::Leaving : core::ListedStatus::Live);
    Present.insert(Item.Name);
  }
  for (auto &[Name, L] : Listed_)
    if (!Present.contains(Name))
      SetStatus(L, core::ListedStatus::Missing);
}

core::InstanceSignals Fleet::signalsOf(const core::Instance &I,
                                       core::TimePoint Now) const {
  core::InstanceSignals S;
  S.Id = I.Id;
  S.Failed = I.State == core::InstanceState::Failed;
  auto L = Listed_.find(I.Name);
  if (L != Listed_.end()) {
    S.Listed = L->second.Status;
    S.ListedFor = Now - L->second.Since;
  }
  // Silence counts from the take-over at the earliest, since this entry did not
  // probe the worker before.
  auto T = TakeOvers_.find(I.Pool);
  core::TimePoint Since = T == TakeOvers_.end() ? Now : T->second.At;
  auto R = Reports_.find(I.Id);
  if (R != Reports_.end())
    Since = std::max(Since, R->second.Received);
  S.Silent = Now - Since;
  return S;
}

std::vector<core::PoolInstance>
Fleet::observe(core::PoolId Pool, const core::Configuration &C) const {
  core::TimePoint Now = net::now();
  std::vector<core::InstanceSignals> Signals;
  std::vector<core::PoolInstance> Result;
  for (core::WorkerId Id : Rows_.workersIn(Pool)) {
    core::PoolInstance I;
    I.Row = Rows_.all().at(Id);
    I.DataCentreIn = !isOut(C, I.Row.DataCentre);
    Signals.push_back(signalsOf(I.Row, Now));
    auto R = Reports_.find(Id);
    if (R != Reports_.end()) {
      I.Seen.Heard =
          Now - R->second.Received <= core::InferenceLimits().SuspectAfter;
      I.Seen.Running = static_cast<std::uint32_t>(R->second.Running.size());
      I.Seen.BootId = R->second.BootId;
    }
    Result.push_back(std::move(I));
  }
  std::vector<core::InferredHealth> Inferred = core::inferPool(Signals, {});
  for (std::size_t N = 0; N < Result.size(); ++N)
    Result[N].Inferred = Inferred[N];
  return Result;
}

std::vector<core::PoolWorker>
Fleet::workersOf(core::PoolId Pool, const core::Configuration &C) const {
  std::vector<core::PoolWorker> Workers;
  std::int64_t NowMs = wallClockMs();
  core::DrainTimes Times = timesOf(Context_.Settings.Fleet);
  for (const core::PoolInstance &I : observe(Pool, C)) {
    core::PoolWorker Worker;
    Worker.Id = I.Row.Id;
    Worker.Slots = I.Row.Slots;
    if (I.Row.State == core::InstanceState::Warming)
      Worker.Slots = core::warmSlots(I.Row.Slots, NowMs - I.Row.SinceUnixMs,
                                     Times.WarmUpMs);
    auto Back = ReturnedAtMs_.find(I.Row.DataCentre);
    if (Back != ReturnedAtMs_.end())
      Worker.Slots = std::min(
          Worker.Slots,
          core::warmSlots(I.Row.Slots, NowMs - Back->second, Times.WarmUpMs));
    Worker.Total = I.Row.Total;
    Worker.Open = isFresh(Pool) && I.Seen.Heard && I.isUsable() &&
                  core::takesWork(I.Row.State) && !Holds_.contains(I.Row.Id);
    Workers.push_back(Worker);
  }
  return Workers;
}

core::PoolSnapshot Fleet::snapshot(
    const core::Pool &P, const core::Configuration &C,
    const std::function<std::uint32_t(core::WorkerId)> &RunningOn) const {
  core::PoolSnapshot S;
  S.Limits = P;
  S.Ledger = Rows_.ledgerOf(P.Id).Ledger;
  S.Times = timesOf(Context_.Settings.Fleet);
  S.NowUnixMs = wallClockMs();
  S.Instances = observe(P.Id, C);
  for (core::PoolInstance &I : S.Instances)
    I.Seen.Running = std::max(I.Seen.Running, RunningOn(I.Row.Id));
  return S;
}

const core::Instance *Fleet::find(core::WorkerId Id) const {
  auto It = Rows_.all().find(Id);
  return It == Rows_.all().end() ? nullptr : &It->second;
}

const core::Instance *Fleet::find(std::string_view Name) const {
  for (const auto &[Id, I] : Rows_.all())
    if (I.Name == Name)
      return &I;
  return nullptr;
}

std::optional<std::uint64_t> Fleet::workerClockMs(core::WorkerId Id,
                                                  core::TimePoint At) const {
  auto It = Reports_.find(Id);
  if (It == Reports_.end())
    return std::nullopt;
  // The worker sampled its clock before the report was received, so counting
  // from the receipt never runs ahead of the worker.
  auto Since = std::chrono::duration_cast<std::chrono::milliseconds>(
      At - It->second.Received);
  return It->second.WorkerMs + static_cast<std::uint64_t>(Since.count());
}

void Fleet::probe(std::span<const core::PoolId> Pools) {
  std::set<core::PoolId> Owned(Pools.begin(), Pools.end());
  std::erase_if(TakeOvers_,
                [&](const auto &Item) { return !Owned.contains(Item.first); });
  bool IsNew = false;
  for (core::PoolId Pool : Owned) {
    // A read in flight may have started before the pool was taken over.
    IsNew |=
        TakeOvers_
            .try_emplace(Pool, TakeOver{Rows_.lastStarted() + 1, net::now()})
            .second;
    for (core::WorkerId Id : Rows_.workersIn(Pool))
      probeWorker(Rows_.all().at(Id));
  }
  if (IsNew)
    pollNow();
}

void Fleet::recordDataCentreReturns(const core::Configuration &C) {
  // The last time that it was seen out of service counts as its return.
  for (const core::DataCentre &D : C.DataCentres)
    if (D.Out)
      ReturnedAtMs_[D.Name] = wallClockMs();
}

void Fleet::probePool(core::PoolId Pool) {
  for (core::WorkerId Id : Rows_.workersIn(Pool))
    probeWorker(Rows_.all().at(Id));
}

const WorkerReport *Fleet::reportOf(core::WorkerId Id) const {
  auto It = Reports_.find(Id);
  return It == Reports_.end() ? nullptr : &It->second;
}

bool Fleet::isFresh(core::PoolId Pool) const {
  auto It = TakeOvers_.find(Pool);
  return It != TakeOvers_.end() && Rows_.lastCompleted() >= It->second.Reading;
}

void Fleet::probeWorker(const core::Instance &I) {
  net::HttpCall Call;
  Call.Url = "http://" + I.Address + "/v1/status";
  Call.TotalLimit = ProbeLimit;
  core::TimePoint Asked = net::now();
  Context_.Workers.send(std::move(Call), [this, Id = I.Id, Asked](auto Result) {
    if (Result.End != core::ExchangeEnd::Answered)
      return;
    std::optional<WorkerReport> R = reportFrom(Result.Response.Body);
    if (!R)
      return;
    R->Asked = Asked;
    R->Received = net::now();
    Context_.Control.post([this, Id, Report = std::move(*R)]() mutable {
      Reports_[Id] = std::move(Report);
    });
  });
}

void Fleet::hold(core::WorkerId Id) { Holds_[Id] = 0; }

void Fleet::release(core::WorkerId Id) { Holds_.erase(Id); }

void Fleet::releaseAfterNextRead(std::span<const core::Instance> Items) {
  for (const core::Instance &I : Items)
    if (auto It = Holds_.find(I.Id); It != Holds_.end())
      It->second = Rows_.lastStarted() + 1;
}

std::vector<store::ListedInstance> Fleet::listedWithoutRow() const {
  std::set<std::string_view> Known;
  for (const auto &[Id, I] : Rows_.all())
    Known.insert(I.Name);
  std::vector<store::ListedInstance> Result;
  for (const auto &[Name, L] : Listed_)
    if (L.Status == core::ListedStatus::Live && !Known.contains(Name))
      Result.push_back(L.Item);
  return Result;
}

const store::ListedInstance *Fleet::listed(const std::string &Name) const {
  auto It = Listed_.find(Name);
  bool Present =
      It != Listed_.end() && It->second.Status != core::ListedStatus::Missing;
  return Present ? &It->second.Item : nullptr;
}

std::optional<std::uint32_t> Fleet::reportedRunning(core::WorkerId Id) const {
  auto It = Reports_.find(Id);
  if (It == Reports_.end())
    return std::nullopt;
  return static_cast<std::uint32_t>(It->second.Running.size());
}

} // namespace comfreydeck::entry
