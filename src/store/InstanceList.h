#ifndef COMFREYDECK_STORE_INSTANCELIST_H
#define COMFREYDECK_STORE_INSTANCELIST_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace comfreydeck::store {

enum class InstanceState : std::uint8_t { Live, Leaving };

enum class InstanceKind : std::uint8_t { Worker, Entry };

/// One entry of the platform's instance list, which lags behind reality.
struct ListedInstance {
  std::string Name;
  InstanceKind Kind = InstanceKind::Worker;
  InstanceState State = InstanceState::Live;
  /// `IP:PORT`.
  std::string Address;
  std::string DataCentre;
  std::string Rack;
};

struct ListResult {
  /// Whether the list could be read.
  bool Ok = false;
  std::vector<ListedInstance> Instances;
};

/// The platform's list of instances, which lags behind reality. Thread-safe.
/// The callback is called once, on any thread, and must not block.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  virtual void list(std::function<void(ListResult)> Done) = 0;
};

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_INSTANCELIST_H
