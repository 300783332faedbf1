#ifndef COMFREYDECK_CODEC_CLAIMJSON_H
#define COMFREYDECK_CODEC_CLAIMJSON_H

#include "core/Claim.h"
#include "core/RequestRegistry.h"

#include <string>

/// Rows of claims and of unresolved requests as JSON text.
namespace comfreydeck::codec {

/// A claim's row with the response that is stored in it.
struct ClaimRow {
  core::ClaimRecord Record;
  /// Set only if the record's state is Ended.
  core::RequestOutcome Outcome;
  /// Name of the object that holds the response's body; empty if the row itself
  /// holds it.
  std::string BodyObject;
};

/// A request of which it is unknown whether it was executed.
struct UnresolvedRow {
  core::RequestId Request;
  std::string Team;
  std::string Queue;
  std::string Reason;
  std::string Worker;
  /// Wall-clock time, shown to operators.
  std::int64_t AtUnixMs = 0;
  /// Key of the claim's row; empty if there is none.
  std::string ClaimKey;
  /// `open`, or `ran` or `not-run` once an operator has resolved it.
  std::string State = "open";
  /// The operator who resolved it.
  std::string By;
};

/// Whether \p Body can be stored in a row: short and pure ASCII. Thread-safe.
bool fitsInRow(const std::string &Body);

/// Each parse function throws CodecError. All are thread-safe.
std::string toJson(const ClaimRow &Row);
ClaimRow parseClaimRow(std::string_view Text);

std::string toJson(const UnresolvedRow &Row);
UnresolvedRow parseUnresolvedRow(std::string_view Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_CLAIMJSON_H
