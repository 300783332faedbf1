#ifndef COMFREYDECK_ENTRY_OPERATORROUTE_H
#define COMFREYDECK_ENTRY_OPERATORROUTE_H

#include "core/Configuration.h"
#include "net/HttpServer.h"

#include <string>
#include <string_view>
#include <vector>

namespace comfreydeck::entry {

/// An operator's request on its way to a handler.
struct OperatorCall {
  /// The operator's name and role.
  core::OperatorKey Who;
  net::HttpRequest Request;
  /// The path's segments that the route leaves open, in order.
  std::vector<std::string> Open;
};

/// Called on the control thread; answers once, from any thread. It may throw
/// codec::CodecError, core::ConfigError or a JSON error before it answers,
/// which the operator reads with status 400.
using OperatorHandler =
    std::function<void(const OperatorCall &, const net::HttpResponder &)>;

/// One row of the operators' interface.
struct OperatorRoute {
  std::string Method;
  /// Path below `/v1/operator/`, with `*` for a segment that is left open.
  std::string Path;
  /// The least role.
  core::Role Needed = core::Role::Read;
  OperatorHandler Handle;
};

/// `{"error": MESSAGE}`. Thread-safe.
net::HttpResponse operatorError(int Status, std::string_view Message);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_OPERATORROUTE_H
