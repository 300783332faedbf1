#ifndef COMFREYDECK_ENTRY_OPERATORSERVICE_H
#define COMFREYDECK_ENTRY_OPERATORSERVICE_H

#include "entry/OperatorRoute.h"
#include "entry/PoolService.h"
#include "entry/StatusBoard.h"

namespace comfreydeck::entry {

/// The operators' interface: who calls, which role, which route.
class OperatorService {
public:
  /// The parts must outlive the service.
  OperatorService(const Context &C, Membership &Members, ConfigStore &Config,
                  Fleet &Workers, PoolService &Pools);

  /// Adds routes of another part. Before the entry starts.
  void add(std::vector<OperatorRoute> Routes);

  /// The sections of the status screen. Before the entry starts.
  StatusBoard &board() { return Board_; }

  /// Handles `/v1/operator/...`. Thread-safe.
  void handle(net::HttpRequest Request, net::HttpResponder Respond);

private:
  /// The operator's name and role; nothing where the key is not known.
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
