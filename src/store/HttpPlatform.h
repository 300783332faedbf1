#ifndef COMFREYDECK_STORE_HTTPPLATFORM_H
#define COMFREYDECK_STORE_HTTPPLATFORM_H

#include "net/HttpClient.h"
#include "store/InstanceList.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <memory>

namespace comfreydeck::store {

/// How the platform's services are reached over HTTP.
struct HttpPlatformOptions {
  /// `http://IP:PORT`, without a slash at the end.
  std::string BaseUrl;
  /// Longest time of one call.
  core::Duration CallLimit = std::chrono::milliseconds(1500);
};

/// Back ends that speak the HTTP and JSON of docs/interfaces.md. \p Client must
/// outlive them. Thread-safe.
std::unique_ptr<TableService> makeHttpTableService(net::HttpClient &Client,
                                                   HttpPlatformOptions Options);
std::unique_ptr<ObjectStore> makeHttpObjectStore(net::HttpClient &Client,
                                                 HttpPlatformOptions Options);
std::unique_ptr<InstanceList> makeHttpInstanceList(net::HttpClient &Client,
                                                   HttpPlatformOptions Options);

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_HTTPPLATFORM_H
