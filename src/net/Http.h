#ifndef COMFREYDECK_NET_HTTP_H
#define COMFREYDECK_NET_HTTP_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages as plain data.
namespace comfreydeck::net {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// A request as the server received it.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// An answer, sent or received.
struct HttpResponse {
  int Status = 200;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Who a side of a connection is and whom it trusts; PEM texts.
struct TlsIdentity {
  std::string Certificate;
  std::string Key;
  /// Signs the certificates of the other side.
  std::string Authority;
};

/// The value of the first header of that name, case-insensitive; empty where
/// there is none. The view lives as long as \p Headers. Thread-safe.
std::string_view findHeader(std::span<const HttpHeader> Headers,
                            std::string_view Name);

/// Whether a header of that name is there. Thread-safe.
bool hasHeader(std::span<const HttpHeader> Headers, std::string_view Name);

/// How many headers of that name there are. Thread-safe.
std::size_t countHeaders(std::span<const HttpHeader> Headers,
                         std::string_view Name);

/// An answer with a JSON body. Thread-safe.
HttpResponse jsonResponse(int Status, std::string Body);

/// The path's segments, without empty ones. Views live as long as \p Path.
std::vector<std::string_view> splitPath(std::string_view Path);

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_HTTP_H
