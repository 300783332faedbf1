#ifndef COMFREYDECK_ENTRY_OPERATORSERVICE_H
#define COMFREYDECK_ENTRY_OPERATORSERVICE_H

#include "entry/OperatorRoute.h"
#include "entry/PoolService.h"
#include "entry/StatusBoard.h"

namespace comfreydeck::entry {

/// The operator API: authenticates operators, checks their role and dispatches
/// their requests to routes.
class OperatorService {
public:
  /// The arguments must outlive the service.
  OperatorService(const Context &C, Membership &Members, ConfigStore &Config,
                  Fleet &Workers, PoolService &Pools);

  /// Adds routes of another component. Call before the entry starts.
  void add(std::vector<OperatorRoute> Routes);

  /// The sections of the status page. Call before the entry starts.
  StatusBoard &board() { return Board_; }

  /// Handles `/v1/operator/...`. Thread-safe.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);

private:
  /// The operator's name and role, or nullopt if the key is unknown.
  std::optional<core::OperatorKey> identify(const net::HttpRequest &R) const;
  void dispatch(const OperatorRoute &Route, OperatorCall Call,
                net::HttpResponder Respond);
  net::HttpResponse status() const;

  Context Context_;
  Membership &Members_;
  ConfigStore &Config_;
  Fleet &Workers_;
  StatusBoard Board_;
  std::vector<OperatorRoute> Routes_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_OPERATORSERVICE_H
