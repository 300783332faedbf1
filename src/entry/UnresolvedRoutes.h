#ifndef COMFREYDECK_ENTRY_UNRESOLVEDROUTES_H
#define COMFREYDECK_ENTRY_UNRESOLVEDROUTES_H

#include "entry/UnresolvedStore.h"
#include "net/HttpServer.h"

namespace comfreydeck::entry {

/// `/v1/operator/unresolved`: lists and resolves requests whose execution is
/// not known. Only on the control thread.
class UnresolvedRoutes {
public:
  /// \p Store must outlive the routes.
  explicit UnresolvedRoutes(UnresolvedStore &Store) : Store_(Store) {}

  /// Handles one request of an operator who may do it.
  void handle(const std::string &Operator, const net::HttpRequest &Request,
              const net::HttpResponder &Respond);

private:
  void list(const net::HttpResponder &Respond);
  void resolve(const std::string &Operator, const net::HttpRequest &Request,
               const core::RequestId &Id, const net::HttpResponder &Respond);

  UnresolvedStore &Store_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_UNRESOLVEDROUTES_H
