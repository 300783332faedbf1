#ifndef COMFREYDECK_CODEC_KEYHASH_H
#define COMFREYDECK_CODEC_KEYHASH_H

#include "core/Configuration.h"

#include <string>
#include <string_view>

/// Secrets of callers and operators, which are stored only as hashes.
namespace comfreydeck::codec {

/// Hashes a secret for storage and lookup. Thread-safe.
core::KeyHash hashSecret(std::string_view Secret);

/// Compares in constant time. Thread-safe.
bool sameHash(const core::KeyHash &A, const core::KeyHash &B);

/// Generates a secret: a fixed prefix and 32 random bytes in URL-safe base64.
/// Thread-safe.
std::string makeSecret();

/// Lower-case hex. Thread-safe.
std::string toHex(const core::KeyHash &Hash);

/// Throws CodecError if \p Hex is not a hash in hex. Thread-safe.
core::KeyHash hashFromHex(std::string_view Hex);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_KEYHASH_H
