#ifndef COMFREYDECK_CODEC_REQUESTTAG_H
#define COMFREYDECK_CODEC_REQUESTTAG_H

#include "core/RequestId.h"

#include <array>

/// Hashes that identify requests.
namespace comfreydeck::codec {

/// Hashes a request's queue and body, so that a repeat can be told from another
/// request that reuses its idempotency key. Thread-safe.
std::uint64_t fingerprintOf(std::string_view Queue, std::string_view Body);

/// Generates the request ids of one incarnation. Their tags depend on a secret,
/// so that nobody else can guess them.
class RequestTagger {
public:
  /// Generates the secret, which is kept in this object only.
  explicit RequestTagger(core::Incarnation Self);

  /// The id with sequence number \p Number. Thread-safe.
  core::RequestId idOf(std::uint64_t Number) const;

  /// Whether this object generated \p Id. Thread-safe.
  bool isOwn(const core::RequestId &Id) const { return idOf(Id.Number) == Id; }

private:
  core::Incarnation Self_;
  std::array<unsigned char, 32> Secret_{};
};

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_REQUESTTAG_H
