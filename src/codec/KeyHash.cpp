#include "codec/KeyHash.h"

#include "codec/ConfigJson.h"

#include <sodium.h>

namespace comfreydeck::codec {

namespace {

constexpr std::size_t SecretBytes = 32;
/// Lets scanners find leaked secrets, and keeps a secret from starting with a
/// dash like a command-line option.
constexpr const char *SecretPrefix = "cfd_";

void ensureSodium() {
  static const int Started = sodium_init();
  if (Started < 0)
    throw std::runtime_error("libsodium failed to initialize");
}

} // namespace

core::KeyHash hashSecret(std::string_view Secret) {
  ensureSodium();
  core::KeyHash Hash{};
  crypto_generichash(Hash.data(), Hash.size(),
                     reinterpret_cast<const unsigned char *>(Secret.data()),
                     Secret.size(), nullptr, 0);
  return Hash;
}

bool sameHash(const core::KeyHash &A, const core::KeyHash &B) {
  return sodium_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::string makeSecret() {
  ensureSodium();
  std::array<unsigned char, SecretBytes> Bytes{};
  randombytes_buf(Bytes.data(), Bytes.size());
  constexpr int Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
  std::string Text(sodium_base64_ENCODED_LEN(SecretBytes, Variant), '\0');
  sodium_bin2base64(Text.data(), Text.size(), Bytes.data(), Bytes.size(),
                    Variant);
  Text.pop_back();
  return SecretPrefix + Text;
}

std::string toHex(const core::KeyHash &Hash) {
  std::string Text(Hash.size() * 2 + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Hash.data(), Hash.size());
  Text.pop_back();
  return Text;
}

core::KeyHash hashFromHex(std::string_view Hex) {
  core::KeyHash Hash{};
  std::size_t Length = 0;
  const char *End = nullptr;
  int Failed = sodium_hex2bin(Hash.data(), Hash.size(), Hex.data(), Hex.size(),
                              nullptr, &Length, &End);
  if (Failed != 0 || Length != Hash.size() || End != Hex.data() + Hex.size())
    throw CodecError("a key hash must be 64 hex digits");
  return Hash;
}

} // namespace comfreydeck::codec
