#include "dispatch/FleetView.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::dispatch {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Entries refuse keyed calls once their last configuration read is too old, so
/// reads must complete several times within the revocation bound.
constexpr milliseconds OperatorWait(1000);
/// Workers renew their rows constantly, so a long poll would return at once.
/// Bounds the delay until a leaving worker is seen.
constexpr milliseconds WorkerPause(250);
/// Used by entries that own no pool, which need no workers; taking a pool
/// triggers an immediate read. Below the time for which the store keeps
/// changes.
constexpr milliseconds WorkerIdlePause(15000);
/// Bounds the delay until a lost owner is detected, and the reads per second.
constexpr milliseconds ControlPause(400);
/// Used while a team's tasks wait for a part of its limit that another pool may
/// give back.
constexpr milliseconds ControlWaitPause(100);
/// After a longer gap between reads, old heartbeats are the fault of the reads
/// and not of the other entries.
constexpr milliseconds MaxReadGap(1500);

void putHistory(Json &Object, const jobs::OwnerHistory &Earlier) {
  Json Owners = Json::array();
  for (const jobs::EarlierOwner &Owner : Earlier.Owners)
    Owners.push_back({Owner.Name, Owner.Token});
  Object["earlier"] = std::move(Owners);
  Object["earlier_complete"] = Earlier.Complete;
}

/// Rows without a history count as having an incomplete one.
jobs::OwnerHistory takeHistory(const Json &Object) {
  jobs::OwnerHistory Earlier;
  Earlier.Complete = Object.value("earlier_complete", false);
  for (const Json &Row : Object.value("earlier", Json::array()))
    Earlier.Owners.push_back(
        {Row.at(0).get<std::string>(), Row.at(1).get<std::uint64_t>()});
  return Earlier;
}

/// Column of a pool's need in a row of allotments: its turn, then its part.
constexpr std::size_t NeedColumn = 3;

core::Resources resourcesAt(const Json &Row, std::size_t Column) {
  return {Row.at(Column).get<std::uint32_t>(),
          Row.at(Column + 1).get<std::uint32_t>(),
          Row.at(Column + 2).get<std::uint32_t>()};
}

} // namespace

FleetView::FleetView(Context &Ctx, std::function<void(ViewChange)> Changed)
    : Ctx_(Ctx), Changed_(std::move(Changed)),
      Operators_(Ctx.Loop, Ctx.Store,
                 {Ctx.Rows.OperatorTable, OperatorWait, {}, nullptr},
                 operatorHandlers()),
      Workers_(Ctx.Loop, Ctx.Store,
               {Ctx.Rows.WorkerTable, {}, WorkerIdlePause, nullptr},
               workerHandlers()),
      Control_(
          Ctx.Loop, Ctx.Store,
          {rows::Control, {}, ControlPause, [this] { return controlParts(); }},
          controlHandlers()) {}

RowHandlers FleetView::operatorHandlers() {
  return {[this](bool All) {
            if (All) {
              ClosedDataCentres_.clear();
              Waves_.clear();
            }
          },
          [this](const store::PartRow &Row) { applyOperatorRow(Row); },
          [this](bool) { Changed_(ViewChange::Operators); }};
}

RowHandlers FleetView::workerHandlers() {
  return {[this](bool All) {
            if (All)
              Listed_.clear();
          },
          [this](const store::PartRow &Row) {
            bool RowChanged = Row.Removed ? Listed_.erase(Row.Where.Key) > 0
                                          : applyWorkerRow(Row);
            ListChanged_ = ListChanged_ || RowChanged;
          },
          [this](bool All) {
            if (!All && !ListChanged_)
              return;
            Changed_(ViewChange::Workers);
            ListChanged_ = false;
          }};
}

RowHandlers FleetView::controlHandlers() {
  return {[this](bool All) { beginControlRows(All); },
          [this](const store::PartRow &Row) { applyControlRow(Row); },
          [this](bool) { endControlRows(); }};
}

void FleetView::start() {
  Operators_.start();
  Workers_.start();
}

bool FleetView::isSynced() const {
  return Config_ && Workers_.isSynced() && Control_.isSynced();
}

std::int64_t FleetView::workersAgeMs() const {
  return std::chrono::duration_cast<milliseconds>(bootNow() -
                                                  Workers_.currentAt())
      .count();
}

std::vector<std::string> FleetView::controlParts() const {
  std::vector<std::string> Parts = rows::entryParts();
  Parts.push_back(rows::LimitsPart);
  Parts.push_back(rows::poolPart(rows::FleetControl));
  if (Config_)
    for (const jobs::Pool &Pool : Config_->Pools)
      Parts.push_back(rows::poolPart(Pool.Name));
  return Parts;
}

void FleetView::applyOperatorRow(const store::PartRow &Row) {
  OperatorRow Decoded;
  try {
    Decoded = Ctx_.Rows.Operator(Row);
  } catch (const std::exception &E) {
    logEvent("operator_row_unreadable",
             {{"key", Row.Where.Key}, {"error", E.what()}});
    return;
  }
  switch (Decoded.What) {
  case OperatorRow::Kind::Config: {
    bool Newer = Decoded.Config &&
                 (!Config_ || Decoded.Config->Version > Config_->Version);
    if (!Newer)
      return;
    bool MorePools = !Config_;
    for (const jobs::Pool &Pool : Decoded.Config->Pools)
      MorePools = MorePools || !jobs::findPool(*Config_, Pool.Name);
    Config_ = Decoded.Config;
    logEvent("config",
             {{"version", Config_->Version}, {"row_version", Row.Version}});
    if (!Control_.isStarted())
      Control_.start();
    else if (MorePools)
      Control_.resync();
    return;
  }
  case OperatorRow::Kind::Evacuation:
    logEvent("evacuation", {{"data_centre", Decoded.Name},
                            {"removed", Decoded.Removed ? 1 : 0}});
    if (Decoded.Removed)
      ClosedDataCentres_.erase(Decoded.Name);
    else
      ClosedDataCentres_.insert(Decoded.Name);
    return;
  case OperatorRow::Kind::Wave:
    if (Decoded.Removed)
      Waves_.erase(Decoded.Name);
    else
      Waves_[Decoded.Name] = Decoded.Wave;
    return;
  case OperatorRow::Kind::Other:
    return;
  }
}

/// Whether the row changed in more than its heartbeat.
bool FleetView::applyWorkerRow(const store::PartRow &Row) {
  const std::string &Id = Row.Where.Key;
  try {
    std::string StrippedValue = Ctx_.Rows.WorkerWithoutHeartbeat(Row.Value);
    auto Known = Listed_.find(Id);
    if (Known != Listed_.end() && Known->second.StrippedValue == StrippedValue)
      return false;
    Listed_[Id] = {Ctx_.Rows.Worker(Row), std::move(StrippedValue)};
  } catch (const std::exception &E) {
    logEvent("worker_row_unreadable", {{"worker", Id}, {"error", E.what()}});
    return false;
  }
  return true;
}

void FleetView::beginControlRows(bool All) {
  core::TimePoint Now = bootNow();
  bool Gap = Now - ControlSeenAt_ > MaxReadGap;
  ControlSeenAt_ = Now;
  if (Gap)
    for (auto &[Name, Entry] : Entries_)
      Entry.ChangedAt = Now;
  EntriesBefore_.clear();
  if (All) {
    EntriesBefore_.swap(Entries_);
    AgreedTimes_.clear();
    Pools_.clear();
    Stray_.clear();
    Allotments_.clear();
  }
}

void FleetView::endControlRows() {
  // Reading an unchanged row again is not a heartbeat.
  for (const auto &[Name, Before] : std::exchange(EntriesBefore_, {})) {
    auto Entry = Entries_.find(Name);
    if (Entry != Entries_.end() && Entry->second.Version == Before.Version)
      Entry->second.ChangedAt = Before.ChangedAt;
  }
  Changed_(ViewChange::Control);
}

void FleetView::applyControlRow(const store::PartRow &Row) {
  const std::string &Part = Row.Where.Part;
  const std::string &Key = Row.Where.Key;
  try {
    if (Key.starts_with(rows::TimePrefix)) {
      std::string Name = Key.substr(std::string_view(rows::TimePrefix).size());
      if (Row.Removed)
        AgreedTimes_.erase(Name);
      else
        AgreedTimes_[Name] = decodeTime(Row);
    } else if (Part.starts_with(rows::EntryPrefix)) {
      std::string Name = Key.substr(std::string_view(rows::EntryPrefix).size());
      if (Row.Removed) {
        Entries_.erase(Name);
        return;
      }
      jobs::EntryView Entry = decodeEntry(Row);
      Entry.ChangedAt = bootNow();
      Entries_[Name] = Entry;
    } else if (Part == rows::LimitsPart) {
      applyAllotmentRow(Key, Row);
    } else if (Key == rows::OwnerKey) {
      setPool(decodeOwner(Row));
    } else if (Key == rows::StrayQueuesKey) {
      std::string Pool = Part.substr(std::string_view(rows::PoolPrefix).size());
      if (Row.Removed)
        Stray_.erase(Pool);
      else
        setStrayQueues(Pool, decodeStrayQueues(Row));
    }
  } catch (const std::exception &E) {
    logEvent("control_row_unreadable", {{"key", Key}, {"error", E.what()}});
  }
}

std::vector<jobs::WorkerEntry>
FleetView::workersOf(const std::string &Pool) const {
  std::vector<jobs::WorkerEntry> Entries;
  for (const auto &[Id, Worker] : Listed_)
    if (Worker.Entry.Pool == Pool)
      Entries.push_back(Worker.Entry);
  return Entries;
}

void FleetView::forEachWorker(
    const std::function<void(const jobs::WorkerEntry &)> &Do) const {
  for (const auto &[Id, Worker] : Listed_)
    Do(Worker.Entry);
}

const jobs::WorkerEntry *FleetView::worker(const std::string &Id) const {
  auto At = Listed_.find(Id);
  return At == Listed_.end() ? nullptr : &At->second.Entry;
}

std::vector<jobs::EntryView> FleetView::entries() const {
  std::vector<jobs::EntryView> Views;
  for (const auto &[Name, Entry] : Entries_)
    Views.push_back(Entry);
  return Views;
}

std::vector<core::TimeReport>
FleetView::timeReports(const std::string &Self,
                       core::Duration DeadAfter) const {
  core::TimePoint Now = bootNow();
  std::map<std::string, core::TimeReport> ByEntry;
  for (const auto &[Name, Agreed] : AgreedTimes_)
    ByEntry[Name].Agreed = Agreed;
  for (const auto &[Name, Entry] : Entries_)
    if (Name != Self && jobs::isAlive(Entry, Now, DeadAfter)) {
      ByEntry[Name].Alive = true;
      ByEntry[Name].Own = Entry.OwnTime;
    }
  std::vector<core::TimeReport> Reports;
  Reports.reserve(ByEntry.size());
  for (auto &[Name, Report] : ByEntry)
    Reports.push_back(Report);
  return Reports;
}

std::vector<jobs::PoolView> FleetView::pools() const {
  std::vector<jobs::PoolView> Views;
  if (!Config_)
    return Views;
  auto Add = [&](const std::string &Name, bool Light) {
    auto It = Pools_.find(Name);
    Views.push_back(It == Pools_.end() ? jobs::PoolView{Name, "", "", 0}
                                       : It->second);
    Views.back().Light = Light;
  };
  for (const jobs::Pool &Pool : Config_->Pools)
    Add(Pool.Name, Pool.Standby);
  Add(rows::FleetControl, true);
  return Views;
}

const jobs::PoolView *FleetView::pool(const std::string &Name) const {
  auto It = Pools_.find(Name);
  return It == Pools_.end() ? nullptr : &It->second;
}

const jobs::EntryView *FleetView::entry(const std::string &Name) const {
  auto It = Entries_.find(Name);
  return It == Entries_.end() ? nullptr : &It->second;
}

void FleetView::followWorkersClosely(bool Closely) {
  Workers_.setPause(Closely ? WorkerPause : WorkerIdlePause);
}

void FleetView::followControlClosely(bool Closely) {
  Control_.setPause(Closely ? ControlWaitPause : ControlPause);
}

void FleetView::whenWorkersRead(std::function<void()> Done) {
  Workers_.whenCurrent(std::move(Done));
}

void FleetView::setPool(jobs::PoolView Pool) {
  jobs::PoolView &Known = Pools_[Pool.Pool];
  // Ignores a read that is older than a write of this entry.
  if (Pool.Version >= Known.Version)
    Known = std::move(Pool);
}

void FleetView::setStrayQueues(const std::string &Pool, StrayQueues Stray) {
  StrayQueues &Known = Stray_[Pool];
  if (Stray.Version >= Known.Version)
    Known = std::move(Stray);
}

const StrayQueues *FleetView::strayQueues(const std::string &Pool) const {
  auto It = Stray_.find(Pool);
  return It == Stray_.end() ? nullptr : &It->second;
}

std::vector<std::string>
FleetView::poolsWithJobsOf(const jobs::Queue &Queue) const {
  std::vector<std::string> Pools = {Queue.Pool};
  for (const jobs::Pool &Pool : Config_->Pools) {
    const StrayQueues *Stray = strayQueues(Pool.Name);
    bool MayHave = !Stray || Stray->ConfigVersion < Config_->Version ||
                   Stray->Names.contains(Queue.Name);
    if (MayHave && Pool.Name != Queue.Pool)
      Pools.push_back(Pool.Name);
  }
  return Pools;
}

void FleetView::setAllotment(const std::string &Team, TeamAllotment Allotment) {
  TeamAllotment &Known = Allotments_[Team];
  if (Allotment.Version >= Known.Version)
    Known = std::move(Allotment);
}

void FleetView::applyAllotmentRow(const std::string &Team,
                                  const store::PartRow &Row) {
  if (Row.Removed) {
    Allotments_.erase(Team);
    return;
  }
  try {
    setAllotment(Team, decodeAllotment(Row));
  } catch (const Json::exception &E) {
    logEvent("control_row_unreadable", {{"key", Team}, {"error", E.what()}});
  }
}

std::string FleetView::ownerValue(const std::string &Name,
                                  const std::string &Life,
                                  const jobs::OwnerHistory &Earlier) {
  Json Object = {{"name", Name}, {"life", Life}};
  putHistory(Object, Earlier);
  return Object.dump();
}

std::string FleetView::releasedValue(std::uint64_t Token,
                                     const jobs::OwnerHistory &Earlier) {
  Json Object = {{"name", ""}, {"life", ""}, {"given_by", Token}};
  putHistory(Object, Earlier);
  return Object.dump();
}

std::string FleetView::entryValue(const jobs::EntryView &Entry,
                                  std::uint64_t HeartbeatCount) {
  Json Object = {{"life", Entry.Life},         {"peer", Entry.PeerAddress},
                 {"dc", Entry.DataCentre},     {"leaving", Entry.Leaving},
                 {"capacity", Entry.Capacity}, {"beat", HeartbeatCount}};
  if (Entry.OwnTime)
    Object["own_time_us"] = Entry.OwnTime->count();
  return Object.dump();
}

std::string FleetView::timeValue(const core::AgreedTime &Time) {
  return Json({{"offset_us", Time.Offset.count()},
               {"at_us", Time.At.count()},
               {"sources", Time.Sources}})
      .dump();
}

core::AgreedTime FleetView::decodeTime(const store::PartRow &Row) {
  Json Object = Json::parse(Row.Value);
  core::AgreedTime Time;
  Time.Offset = core::Duration(Object.at("offset_us").get<std::int64_t>());
  Time.At = core::Duration(Object.at("at_us").get<std::int64_t>());
  Time.Sources = Object.at("sources").get<std::uint32_t>();
  return Time;
}

jobs::EntryView FleetView::decodeEntry(const store::PartRow &Row) {
  Json Object = Json::parse(Row.Value);
  jobs::EntryView Entry;
  Entry.Name = Row.Where.Key.substr(std::string_view(rows::EntryPrefix).size());
  Entry.Life = Object.at("life").get<std::string>();
  Entry.PeerAddress = Object.at("peer").get<std::string>();
  Entry.DataCentre = Object.at("dc").get<std::string>();
  Entry.Leaving = Object.at("leaving").get<bool>();
  Entry.Capacity = Object.value("capacity", jobs::DefaultCapacity);
  if (Object.contains("own_time_us"))
    Entry.OwnTime = core::Duration(Object["own_time_us"].get<std::int64_t>());
  Entry.Version = Row.Version;
  return Entry;
}

jobs::PoolView FleetView::decodeOwner(const store::PartRow &Row) {
  jobs::PoolView View;
  View.Pool = Row.Where.Part.substr(std::string_view(rows::PoolPrefix).size());
  View.Version = Row.Version;
  if (Row.Removed)
    return View;
  Json Object = Json::parse(Row.Value);
  View.OwnerName = Object.at("name").get<std::string>();
  View.OwnerLife = Object.at("life").get<std::string>();
  View.GivenBy = Object.value("given_by", std::uint64_t{0});
  View.Earlier = takeHistory(Object);
  return View;
}

std::string FleetView::strayQueuesValue(const StrayQueues &Stray) {
  return Json({{"config", Stray.ConfigVersion}, {"queues", Stray.Names}})
      .dump();
}

StrayQueues FleetView::decodeStrayQueues(const store::PartRow &Row) {
  Json Object = Json::parse(Row.Value);
  StrayQueues Stray;
  Stray.ConfigVersion = Object.at("config").get<std::uint64_t>();
  Stray.Names = Object.at("queues").get<std::set<std::string>>();
  Stray.Version = Row.Version;
  return Stray;
}

std::string FleetView::allotmentValue(const TeamAllotment &Allotment) {
  Json Object = Json::object();
  for (const auto &[Pool, Share] : Allotment.ByPool) {
    Object[Pool] = {Share.MilliCpus, Share.MemoryMb, Share.Accelerators};
    auto Need = Allotment.Needs.find(Pool);
    if (Need == Allotment.Needs.end())
      continue;
    const core::Resources &Part = Need->second.Part;
    Object[Pool].push_back(Need->second.Turn);
    for (std::uint32_t Amount :
         {Part.MilliCpus, Part.MemoryMb, Part.Accelerators})
      Object[Pool].push_back(Amount);
  }
  return Object.dump();
}

TeamAllotment FleetView::decodeAllotment(const store::PartRow &Row) {
  TeamAllotment Allotment;
  Allotment.Version = Row.Version;
  Json Object = Json::parse(Row.Value);
  for (const auto &[Pool, Share] : Object.items()) {
    Allotment.ByPool[Pool] = resourcesAt(Share, 0);
    if (Share.size() > NeedColumn)
      Allotment.Needs[Pool] = {resourcesAt(Share, NeedColumn + 1),
                               Share.at(NeedColumn).get<std::uint64_t>()};
  }
  return Allotment;
}

} // namespace comfreydeck::dispatch
