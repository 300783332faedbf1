#include "entry/StatusSections.h"

#include "core/Names.h"

namespace comfreydeck::entry {

namespace {

using core::InstanceState;

/// Totals over the instances of a pool.
struct PoolCount {
  std::int64_t Instances = 0;
  std::int64_t Slots = 0;
  std::int64_t Absent = 0;
};

bool isAbsent(InstanceState State) {
  return State != InstanceState::Serving && State != InstanceState::Warming;
}

PoolCount countPool(const Fleet &Workers, core::PoolId Pool) {
  PoolCount Count;
  for (const auto &[Id, I] : Workers.instances()) {
    if (I.Pool != Pool)
      continue;
    ++Count.Instances;
    Count.Slots += I.Slots;
    Count.Absent += isAbsent(I.State) ? 1 : 0;
  }
  return Count;
}

StatusTable poolsTable(const StatusSources &From) {
  StatusTable Table{{"pool", "instances", "slots", "absent", "absent limit",
                     "spare", "owner"},
                    {}};
  std::shared_ptr<const core::Configuration> C = From.Config.current();
  for (const core::Pool &P : C->Pools) {
    PoolCount Count = countPool(From.Workers, P.Id);
    const Member *Owner = From.Pools.ownerOf(P.Id);
    Table.Rows.push_back({P.Name, Count.Instances, Count.Slots, Count.Absent,
                          std::int64_t{P.AbsentLimit}, P.Spare,
                          Owner ? Owner->Name : std::string()});
  }
  return Table;
}

StatusTable teamsTable(const StatusSources &From) {
  StatusTable Table{{"team", "customer", "share", "upper limit", "keys"}, {}};
  std::shared_ptr<const core::Configuration> C = From.Config.current();
  for (const core::Team &T : C->Teams) {
    const core::Customer *Owner = core::findCustomer(*C, T.CreatedFor);
    auto Keys = std::count_if(
        C->Keys.begin(), C->Keys.end(),
        [Id = T.Id](const core::Key &K) { return K.Owner == Id; });
    Table.Rows.push_back({T.Name, Owner ? Owner->Name : std::string(),
                          std::int64_t{T.Share}, std::int64_t{T.UpperLimit},
                          std::int64_t{Keys}});
  }
  return Table;
}

StatusTable dataCentresTable(const StatusSources &From) {
  StatusTable Table{{"data centre", "state", "instances", "entries"}, {}};
  std::shared_ptr<const core::Configuration> C = From.Config.current();
  for (const core::DataCentre &D : C->DataCentres) {
    std::int64_t Instances = 0;
    for (const auto &[Id, I] : From.Workers.instances())
      Instances += I.DataCentre == D.Name ? 1 : 0;
    std::int64_t Entries = 0;
    for (const Member &M : From.Members.members())
      Entries += M.DataCentre == D.Name ? 1 : 0;
    Table.Rows.push_back(
        {D.Name, std::string(D.Out ? "out" : "in"), Instances, Entries});
  }
  return Table;
}

StatusTable entriesTable(const StatusSources &From) {
  StatusTable Table{{"entry", "data centre", "address", "incarnation"}, {}};
  for (const Member &M : From.Members.members())
    Table.Rows.push_back(
        {M.Name, M.DataCentre, M.HttpAddress, core::nameOf(M.Id)});
  return Table;
}

} // namespace

void addStatusSections(StatusBoard &Board, const StatusSources &Sources) {
  Board.add("pools", [=] { return poolsTable(Sources); });
  Board.add("teams", [=] { return teamsTable(Sources); });
  Board.add("data centres", [=] { return dataCentresTable(Sources); });
  Board.add("entries", [=] { return entriesTable(Sources); });
}

} // namespace comfreydeck::entry
