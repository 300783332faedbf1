#include "jobs/FleetConfig.h"

namespace comfreydeck::jobs {

const Queue *findQueue(const FleetConfig &Config, std::string_view Host,
                       std::string_view Path) {
  const Queue *Best = nullptr;
  for (const Queue &Q : Config.Queues) {
    bool Fits = Q.Host == Host && Path.starts_with(Q.PathPrefix);
    if (Fits && (!Best || Q.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Q;
  }
  return Best;
}

const Queue *findQueueByName(const FleetConfig &Config, std::string_view Name) {
  for (const Queue &Q : Config.Queues)
    if (Q.Name == Name)
      return &Q;
  return nullptr;
}

const Pool *findPool(const FleetConfig &Config, std::string_view Name) {
  for (const Pool &P : Config.Pools)
    if (P.Name == Name)
      return &P;
  return nullptr;
}

} // namespace comfreydeck::jobs
