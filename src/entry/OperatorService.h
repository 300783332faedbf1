#ifndef COMFREYDECK_ENTRY_OPERATORSERVICE_H
#define COMFREYDECK_ENTRY_OPERATORSERVICE_H

#include "entry/FleetRoutes.h"
#include "entry/UnresolvedRoutes.h"
#include "net/HttpServer.h"

namespace comfreydeck::entry {

/// The operators' interface.
class OperatorService {
public:
  /// The parts must outlive the service.
  OperatorService(const Context &C, Membership &Members, ConfigStore &Config,
                  Fleet &Workers, PoolService &Pools, FleetRoutes &Routes,
                  UnresolvedStore &Unresolved);

  /// Handles `/v1/operator/...`. Thread-safe.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);

private:
  /// The operator's name and role; nothing where the key is not known.
  std::optional<core::OperatorKey> identify(const net::HttpRequest &R) const;
  void route(const core::OperatorKey &Who, const net::HttpRequest &Request,
             const net::HttpResponder &Respond);
  void postChange(const core::OperatorKey &Who, const net::HttpRequest &Request,
                  const net::HttpResponder &Respond);
  net::HttpResponse status() const;

  Context Context_;
  Membership &Members_;
  ConfigStore &Config_;
  Fleet &Workers_;
  PoolService &Pools_;
  FleetRoutes &Routes_;
  UnresolvedRoutes Unresolved_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_OPERATORSERVICE_H
