#ifndef COMFREYDECK_CLUSTER_PEERSECURITY_H
#define COMFREYDECK_CLUSTER_PEERSECURITY_H

#include <string>

namespace comfreydeck::cluster {

/// What calls between entries are guarded by.
struct PeerSecurity {
  /// Every call carries it; others are refused.
  std::string Token;
  /// PEM texts; empty for plain connections.
  std::string Certificate;
  std::string Key;
  std::string Authority;

  bool usesTls() const { return !Certificate.empty(); }
};

} // namespace comfreydeck::cluster

#endif // COMFREYDECK_CLUSTER_PEERSECURITY_H
