#ifndef COMFREYDECK_CODEC_KEYHASH_H
#define COMFREYDECK_CODEC_KEYHASH_H

#include "core/Configuration.h"

#include <string>
#include <string_view>

/// Secrets of callers and operators, kept only as hashes.
namespace comfreydeck::codec {

/// The hash under which a secret is kept. Thread-safe.
core::KeyHash hashSecret(std::string_view Secret);

/// Compares in constant time. Thread-safe.
bool sameHash(const core::KeyHash &A, const core::KeyHash &B);

/// A new secret of 32 random bytes as URL-safe text. Thread-safe.
std::string makeSecret();

/// Lower-case hex. Thread-safe.
std::string toHex(const core::KeyHash &Hash);

/// Throws CodecError where \p Hex is not the hex of a hash. Thread-safe.
core::KeyHash hashFromHex(std::string_view Hex);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_KEYHASH_H
