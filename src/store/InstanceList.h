#ifndef COMFREYDECK_STORE_INSTANCELIST_H
#define COMFREYDECK_STORE_INSTANCELIST_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace comfreydeck::store {

enum class InstanceState : std::uint8_t { Live, Leaving };

enum class InstanceKind : std::uint8_t { Worker, Entry };

/// One line of the platform's list, which lags.
struct ListedInstance {
  std::string Name;
  InstanceKind Kind = InstanceKind::Worker;
  InstanceState State = InstanceState::Live;
  /// Host and port by IP number.
  std::string Address;
  std::string DataCentre;
  std::string Rack;
};

struct ListResult {
  /// Whether the list answered.
  bool Ok = false;
  std::vector<ListedInstance> Instances;
};

/// The platform's lagging list of instances. Thread-safe; the callback comes
/// once, on any thread, and must not block.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  virtual void list(std::function<void(ListResult)> Done) = 0;
};

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_INSTANCELIST_H
