#ifndef COMFREYDECK_CODEC_CLAIMJSON_H
#define COMFREYDECK_CODEC_CLAIMJSON_H

#include "core/Claim.h"
#include "core/RequestRegistry.h"

#include <string>

/// Rows of claims and of unresolved requests as JSON text.
namespace comfreydeck::codec {

/// A claim's row with the answer that is kept in it.
struct ClaimRow {
  core::ClaimRecord Record;
  /// Only where the record says that it ended.
  core::RequestOutcome Outcome;
  /// Name of the object that holds the answer's body; empty where the row does.
  std::string BodyObject;
};

/// A request whose execution is not known.
struct UnresolvedRow {
  core::RequestId Request;
  std::string Team;
  std::string Queue;
  std::string Reason;
  std::string Worker;
  /// Wall clock, for operators.
  std::int64_t AtUnixMs = 0;
  /// Key of the claim's row; empty where there is none.
  std::string ClaimKey;
  /// `open`, or as an operator resolved it: `ran` or `not-run`.
  std::string State = "open";
  /// The operator who resolved it.
  std::string By;
};

/// Whether a body can be kept within a row. Thread-safe.
bool fitsInRow(const std::string &Body);

/// Each parse function throws CodecError. All are thread-safe.
std::string toJson(const ClaimRow &Row);
ClaimRow parseClaimRow(std::string_view Text);

std::string toJson(const UnresolvedRow &Row);
UnresolvedRow parseUnresolvedRow(std::string_view Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_CLAIMJSON_H
