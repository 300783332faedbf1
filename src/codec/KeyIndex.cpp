#include "codec/KeyIndex.h"

#include "codec/KeyHash.h"

#include <cstring>

namespace comfreydeck::codec {

namespace {

std::uint64_t prefixOf(const core::KeyHash &Hash) {
  std::uint64_t Prefix = 0;
  std::memcpy(&Prefix, Hash.data(), sizeof(Prefix));
  return Prefix;
}

} // namespace

KeyIndex::KeyIndex(std::shared_ptr<const core::Configuration> C)
    : Configuration_(std::move(C)) {
  const std::vector<core::Key> &Keys = Configuration_->Keys;
  ByPrefix_.reserve(Keys.size());
  for (std::size_t N = 0; N < Keys.size(); ++N)
    ByPrefix_.emplace(prefixOf(Keys[N].Hash), N);
}

const core::Key *KeyIndex::find(const core::KeyHash &Hash) const {
  auto [First, Last] = ByPrefix_.equal_range(prefixOf(Hash));
  for (auto It = First; It != Last; ++It) {
    const core::Key &K = Configuration_->Keys[It->second];
    if (sameHash(K.Hash, Hash))
      return &K;
  }
  return nullptr;
}

} // namespace comfreydeck::codec
