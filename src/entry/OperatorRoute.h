#ifndef COMFREYDECK_ENTRY_OPERATORROUTE_H
#define COMFREYDECK_ENTRY_OPERATORROUTE_H

#include "core/Configuration.h"
#include "net/HttpServer.h"

#include <string>
#include <string_view>
#include <vector>

namespace comfreydeck::entry {

/// An authenticated operator request.
struct OperatorCall {
  /// The operator's name and role.
  core::OperatorKey Who;
  net::HttpRequest Request;
  /// The path segments that match the `*` of the route, in order.
  std::vector<std::string> Wildcards;
};

/// Called on the control thread; responds once, from any thread. Before it
/// responds, it may throw codec::CodecError, core::ConfigError or a JSON error,
/// which is sent to the operator with status 400.
using OperatorHandler =
    std::function<void(const OperatorCall &, const net::HttpResponder &)>;

/// A method and path of the operator API and its handler.
struct OperatorRoute {
  std::string Method;
  /// Path below `/v1/operator/`; `*` matches any one segment.
  std::string Path;
  /// The minimum role.
  core::Role RequiredRole = core::Role::Read;
  OperatorHandler Handle;
};

/// A response with the body `{"error": MESSAGE}`. Thread-safe.
net::HttpResponse operatorError(int Status, std::string_view Message);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_OPERATORROUTE_H
