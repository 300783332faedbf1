#include "standins/Query.h"

#include <curl/curl.h>

#include <algorithm>

namespace comfreydeck::standins {

std::string unescape(std::string_view Text) {
  int Length = 0;
  char *Plain = curl_easy_unescape(nullptr, Text.data(),
                                   static_cast<int>(Text.size()), &Length);
  if (!Plain)
    return {};
  std::string Out(Plain, static_cast<std::size_t>(Length));
  curl_free(Plain);
  return Text.empty() ? std::string() : Out;
}

std::string queryValue(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    std::size_t End = std::min(Query.find('&'), Query.size());
    std::string_view Pair = Query.substr(0, End);
    std::size_t Equal = std::min(Pair.find('='), Pair.size());
    if (Pair.substr(0, Equal) == Name && Equal < Pair.size())
      return unescape(Pair.substr(Equal + 1));
    Query.remove_prefix(std::min(End + 1, Query.size()));
  }
  return {};
}

} // namespace comfreydeck::standins
