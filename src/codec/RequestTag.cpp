#include "codec/RequestTag.h"

#include <sodium.h>

#include <stdexcept>

namespace comfreydeck::codec {

namespace {

void ensureSodium() {
  static const int Started = sodium_init();
  if (Started < 0)
    throw std::runtime_error("libsodium failed to initialize");
}

const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

std::uint64_t firstBytes(
    const std::array<unsigned char, crypto_generichash_BYTES_MIN> &Hash) {
  std::uint64_t Value = 0;
  for (std::size_t N = 0; N < sizeof(Value); ++N)
    Value = Value << 8U | Hash.at(N);
  return Value;
}

} // namespace

std::uint64_t fingerprintOf(std::string_view Queue, std::string_view Body) {
  ensureSodium();
  std::array<unsigned char, crypto_generichash_BYTES_MIN> Hash{};
  crypto_generichash(Hash.data(), Hash.size(), bytes(Body), Body.size(),
                     bytes(Queue), std::min<std::size_t>(Queue.size(), 64));
  return firstBytes(Hash);
}

RequestTagger::RequestTagger(core::Incarnation Self) : Self_(Self) {
  ensureSodium();
  randombytes_buf(Secret_.data(), Secret_.size());
}

core::RequestId RequestTagger::idOf(std::uint64_t Number) const {
  std::array<unsigned char, crypto_generichash_BYTES_MIN> Hash{};
  crypto_generichash(Hash.data(), Hash.size(),
                     reinterpret_cast<const unsigned char *>(&Number),
                     sizeof(Number), Secret_.data(), Secret_.size());
  // Sets the lowest bit because zero is not a valid tag.
  return {Self_, Number, firstBytes(Hash) | 1};
}

} // namespace comfreydeck::codec
