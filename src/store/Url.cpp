#include "store/Url_p.h"

#include <curl/curl.h>

#include <memory>
#include <new>

namespace comfreydeck::store::detail {

std::string escape(std::string_view Part) {
  if (Part.empty())
    return {};
  std::unique_ptr<char, decltype(&curl_free)> Escaped(
      curl_easy_escape(nullptr, Part.data(), static_cast<int>(Part.size())),
      curl_free);
  if (!Escaped)
    throw std::bad_alloc();
  return Escaped.get();
}

} // namespace comfreydeck::store::detail
