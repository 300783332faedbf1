#ifndef COMFREYDECK_CODEC_KEYINDEX_H
#define COMFREYDECK_CODEC_KEYINDEX_H

#include "core/Configuration.h"

#include <memory>
#include <unordered_map>

namespace comfreydeck::codec {

/// Finds the granted key of a hash, for one version of the configuration.
class KeyIndex {
public:
  explicit KeyIndex(std::shared_ptr<const core::Configuration> C);

  /// Nothing where no key is granted under that hash. Which prefix is looked up
  /// can be told from the time taken; the rest is compared in constant time.
  /// Thread-safe.
  const core::Key *find(const core::KeyHash &Hash) const;

  /// The configuration that it was built from. Never null. Thread-safe.
  const std::shared_ptr<const core::Configuration> &configuration() const {
    return Configuration_;
  }

private:
  std::shared_ptr<const core::Configuration> Configuration_;
  std::unordered_multimap<std::uint64_t, std::size_t> ByPrefix_;
};

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_KEYINDEX_H
