#ifndef COMFREYDECK_CODEC_KEYINDEX_H
#define COMFREYDECK_CODEC_KEYINDEX_H

#include "core/Configuration.h"

#include <memory>
#include <unordered_map>

namespace comfreydeck::codec {

/// Index of the granted keys in one version of the configuration, by hash.
class KeyIndex {
public:
  explicit KeyIndex(std::shared_ptr<const core::Configuration> C);

  /// Returns null if no granted key has that hash. The time taken may reveal
  /// whether a key shares the first 8 bytes; whole hashes are compared in
  /// constant time. Thread-safe.
  const core::Key *find(const core::KeyHash &Hash) const;

  /// The configuration that the index was built from. Never null. Thread-safe.
  const std::shared_ptr<const core::Configuration> &configuration() const {
    return Configuration_;
  }

private:
  std::shared_ptr<const core::Configuration> Configuration_;
  std::unordered_multimap<std::uint64_t, std::size_t> ByPrefix_;
};

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_KEYINDEX_H
