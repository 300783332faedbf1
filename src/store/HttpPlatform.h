#ifndef COMFREYDECK_STORE_HTTPPLATFORM_H
#define COMFREYDECK_STORE_HTTPPLATFORM_H

#include "net/HttpClient.h"
#include "store/InstanceList.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <memory>

namespace comfreydeck::store {

/// Address and time limit of the platform's HTTP services.
struct HttpPlatformOptions {
  /// `http://IP:PORT`, without a trailing slash.
  std::string BaseUrl;
  /// Maximum time of one call.
  core::Duration CallLimit = std::chrono::milliseconds(1500);
};

/// Creates clients of the HTTP and JSON interfaces in docs/interfaces.md.
/// \p Client must outlive them. Thread-safe.
std::unique_ptr<TableService> makeHttpTableService(net::HttpClient &Client,
                                                   HttpPlatformOptions Options);
std::unique_ptr<ObjectStore> makeHttpObjectStore(net::HttpClient &Client,
                                                 HttpPlatformOptions Options);
std::unique_ptr<InstanceList> makeHttpInstanceList(net::HttpClient &Client,
                                                   HttpPlatformOptions Options);

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_HTTPPLATFORM_H
