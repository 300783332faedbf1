#ifndef COMFREYDECK_CODEC_REQUESTTAG_H
#define COMFREYDECK_CODEC_REQUESTTAG_H

#include "core/RequestId.h"

#include <array>

/// Hashes that tell requests apart.
namespace comfreydeck::codec {

/// Tells one piece of work from another under the same key. Thread-safe.
std::uint64_t fingerprintOf(std::string_view Queue, std::string_view Body);

/// Makes request ids of one incarnation that nobody else can guess.
class RequestTagger {
public:
  /// Draws a secret that lives as long as the tagger.
  explicit RequestTagger(core::Incarnation Self);

  /// The id of that running number. Thread-safe.
  core::RequestId idOf(std::uint64_t Number) const;

  /// Whether \p Id was made here. Thread-safe.
  bool isOwn(const core::RequestId &Id) const { return idOf(Id.Number) == Id; }

private:
  core::Incarnation Self_;
  std::array<unsigned char, 32> Secret_{};
};

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_REQUESTTAG_H
