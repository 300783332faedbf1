#ifndef COMFREYDECK_STORE_OBJECTSTORE_H
#define COMFREYDECK_STORE_OBJECTSTORE_H

#include <functional>
#include <optional>
#include <string>

namespace comfreydeck::store {

struct ObjectResult {
  /// Whether the store answered.
  bool Ok = false;
  /// Empty if there is no such object.
  std::optional<std::string> Content;
};

/// Stores whole objects by name. Every method is thread-safe and returns
/// immediately. Each callback is called once, on any thread, and must not
/// block.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual void put(std::string Name, std::string Content,
                   std::function<void(bool Ok)> Done) = 0;
  virtual void get(std::string Name,
                   std::function<void(ObjectResult)> Done) = 0;
};

} // namespace comfreydeck::store

#endif // COMFREYDECK_STORE_OBJECTSTORE_H
