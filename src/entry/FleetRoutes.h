#ifndef COMFREYDECK_ENTRY_FLEETROUTES_H
#define COMFREYDECK_ENTRY_FLEETROUTES_H

#include "entry/Maintenance.h"
#include "entry/OperatorRoute.h"

namespace comfreydeck::entry {

/// The operators' interface to instances, pools, waves and data centres.
/// Control thread only.
class FleetRoutes {
public:
  /// The arguments must outlive this object.
  FleetRoutes(const Context &C, ConfigStore &Config, Fleet &Workers,
              PoolService &Pools, Maintenance &Work);

  /// The routes of the operators' interface; they refer to this object.
  std::vector<OperatorRoute> routes();

private:
  using Parts = std::vector<std::string_view>;

  void tryCall(const OperatorCall &Call, const net::HttpResponder &Respond,
               int TriesLeft);
  bool handle(const core::OperatorKey &Who, const net::HttpRequest &Request,
              const net::HttpResponder &Respond);
  bool handleInstances(const Parts &Path, const net::HttpRequest &Request,
                       const net::HttpResponder &Respond);
  bool handlePools(const Parts &Path, const net::HttpRequest &Request,
                   const net::HttpResponder &Respond);
  bool handleWaves(const core::OperatorKey &Who, const Parts &Path,
                   const net::HttpRequest &Request,
                   const net::HttpResponder &Respond);
  bool handleDataCentres(const core::OperatorKey &Who, const Parts &Path,
                         const net::HttpRequest &Request,
                         const net::HttpResponder &Respond);

  void listInstances(const net::HttpRequest &Request,
                     const net::HttpResponder &Respond);
  void putInstance(std::string_view Name, const net::HttpRequest &Request,
                   const net::HttpResponder &Respond);
  void drainInstance(const core::Instance &I, const net::HttpRequest &Request,
                     const net::HttpResponder &Respond);
  void showPool(const core::Pool &P, const net::HttpRequest &Request,
                const net::HttpResponder &Respond);
  void startWave(const core::OperatorKey &Who, const net::HttpRequest &Request,
                 const net::HttpResponder &Respond);
  void showWave(core::WaveId Id, const net::HttpResponder &Respond);
  void commandWave(core::WaveId Id, core::WaveCommand Command,
                   const core::OperatorKey &Who,
                   const net::HttpResponder &Respond);
  void commitWave(const core::Wave &W, std::uint64_t Version,
                  const net::HttpResponder &Respond);
  void changeDataCentre(const core::OperatorKey &Who, std::string_view Name,
                        bool Out, const net::HttpRequest &Request,
                        const net::HttpResponder &Respond);
  void showDataCentre(const core::DataCentre &D,
                      const net::HttpResponder &Respond);
  /// Forwards the request if another entry owns the pool. Returns whether the
  /// request was forwarded or refused.
  bool forwardIfRemote(core::PoolId Pool, const net::HttpRequest &Request,
                       const net::HttpResponder &Respond);

  Context Context_;
  ConfigStore &Config_;
  Fleet &Workers_;
  PoolService &Pools_;
  Maintenance &Work_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_FLEETROUTES_H
