#include "core/DataCentreChange.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

bool isIn(const Configuration &C, std::string_view Name) {
  const DataCentre *Found = findDataCentre(C, Name);
  return !Found || !Found->Out;
}

PoolLoss lossOf(const Configuration &C, const Pool &P, std::string_view Name,
                std::span<const Instance *const> Instances) {
  PoolLoss Loss{P.Id, P.Name};
  for (const Instance *I : Instances) {
    bool Serves = I->Pool == P.Id && I->State == InstanceState::Serving &&
                  isIn(C, I->DataCentre);
    Loss.Before += Serves ? 1 : 0;
    Loss.After += Serves && I->DataCentre != Name ? 1 : 0;
  }
  return Loss;
}

} // namespace

DataCentreDecision decideOut(const Configuration &C, std::string_view Name,
                             std::span<const Instance *const> Instances,
                             bool Force) {
  DataCentreDecision D;
  const DataCentre *Found = findDataCentre(C, Name);
  if (!Found || Found->Out) {
    D.Answer =
        Found ? DataCentreAnswer::AlreadyInState : DataCentreAnswer::Unknown;
    return D;
  }
  for (const Pool &P : C.Pools) {
    PoolLoss Loss = lossOf(C, P, Name, Instances);
    if (Loss.Before == Loss.After)
      continue;
    if (Loss.After == 0 && !P.Spare && !Force)
      D.Answer = DataCentreAnswer::WouldEmptyPool;
    D.Losses.push_back(std::move(Loss));
  }
  return D;
}

DataCentreDecision decideIn(const Configuration &C, std::string_view Name) {
  DataCentreDecision D;
  const DataCentre *Found = findDataCentre(C, Name);
  if (!Found)
    D.Answer = DataCentreAnswer::Unknown;
  else if (!Found->Out)
    D.Answer = DataCentreAnswer::AlreadyInState;
  return D;
}

std::string describe(const DataCentreDecision &D, std::string_view Name) {
  std::string Text(Name);
  switch (D.Answer) {
  case DataCentreAnswer::AlreadyInState:
    return Text + " is there already; nothing was written";
  case DataCentreAnswer::Unknown:
    return "there is no data centre '" + Text + "'";
  case DataCentreAnswer::WouldEmptyPool:
    Text = "without " + Text + " nothing serves in";
    for (const PoolLoss &Loss : D.Losses)
      Text += Loss.After == 0 ? " " + Loss.Name : "";
    return Text + "; bring another data centre back, move instances there, or "
                  "use --force";
  case DataCentreAnswer::Accept:
    break;
  }
  Text += ": accepted";
  for (const PoolLoss &Loss : D.Losses)
    Text += "; " + Loss.Name + " keeps " + std::to_string(Loss.After) + " of " +
            std::to_string(Loss.Before);
  return Text;
}

} // namespace comfreydeck::core
