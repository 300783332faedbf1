#ifndef COMFREYDECK_CLUSTER_PEERSECURITY_H
#define COMFREYDECK_CLUSTER_PEERSECURITY_H

#include <string>

namespace comfreydeck::cluster {

/// Authentication and encryption of calls between entries.
struct PeerSecurity {
  /// Shared secret. Calls without it are refused.
  std::string Token;
  /// PEM texts; empty for connections without TLS.
  std::string Certificate;
  std::string Key;
  std::string Authority;

  bool usesTls() const { return !Certificate.empty(); }
};

} // namespace comfreydeck::cluster

#endif // COMFREYDECK_CLUSTER_PEERSECURITY_H
