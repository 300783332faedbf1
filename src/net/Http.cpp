#include "net/Http.h"

#include <algorithm>
#include <cctype>

namespace comfreydeck::net {

namespace {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](unsigned char X, unsigned char Y) {
                      return std::tolower(X) == std::tolower(Y);
                    });
}

const HttpHeader *find(std::span<const HttpHeader> Headers,
                       std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (equalsIgnoringCase(Header.Name, Name))
      return &Header;
  return nullptr;
}

} // namespace

std::string_view findHeader(std::span<const HttpHeader> Headers,
                            std::string_view Name) {
  const HttpHeader *Header = find(Headers, Name);
  return Header ? std::string_view(Header->Value) : std::string_view();
}

bool hasHeader(std::span<const HttpHeader> Headers, std::string_view Name) {
  return find(Headers, Name) != nullptr;
}

std::size_t countHeaders(std::span<const HttpHeader> Headers,
                         std::string_view Name) {
  auto Count = std::count_if(Headers.begin(), Headers.end(),
                             [&](const HttpHeader &Header) {
                               return equalsIgnoringCase(Header.Name, Name);
                             });
  return static_cast<std::size_t>(Count);
}

HttpResponse jsonResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.push_back({"Content-Type", "application/json"});
  Response.Body = std::move(Body);
  return Response;
}

std::vector<std::string_view> splitPath(std::string_view Path) {
  std::vector<std::string_view> Segments;
  while (!Path.empty()) {
    std::size_t End = std::min(Path.find('/'), Path.size());
    if (End > 0)
      Segments.push_back(Path.substr(0, End));
    Path.remove_prefix(std::min(End + 1, Path.size()));
  }
  return Segments;
}

} // namespace comfreydeck::net
