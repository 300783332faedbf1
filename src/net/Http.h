#ifndef COMFREYDECK_NET_HTTP_H
#define COMFREYDECK_NET_HTTP_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages as plain data, and the client and server that exchange them.
namespace comfreydeck::net {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// A request received by the server.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// A response, sent or received.
struct HttpResponse {
  int Status = 200;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// TLS certificate and private key of one side of a connection, and the CA that
/// it trusts. All fields are PEM text.
struct TlsIdentity {
  std::string Certificate;
  std::string Key;
  /// CA certificate that the other side's certificate is verified against.
  std::string Authority;
};

/// Returns the value of the first header called \p Name (case-insensitive), or
/// an empty view if there is none. The view is valid as long as \p Headers.
/// Thread-safe.
std::string_view findHeader(std::span<const HttpHeader> Headers,
                            std::string_view Name);

/// Whether \p Headers contain a header called \p Name (case-insensitive).
/// Thread-safe.
bool hasHeader(std::span<const HttpHeader> Headers, std::string_view Name);

/// Counts the headers called \p Name (case-insensitive). Thread-safe.
std::size_t countHeaders(std::span<const HttpHeader> Headers,
                         std::string_view Name);

/// Builds a response with a JSON body. Thread-safe.
HttpResponse jsonResponse(int Status, std::string Body);

/// Splits a path into its non-empty segments. The views are valid as long as
/// the memory that \p Path refers to.
std::vector<std::string_view> splitPath(std::string_view Path);

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_HTTP_H
