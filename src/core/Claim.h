#ifndef COMFREYDECK_CORE_CLAIM_H
#define COMFREYDECK_CORE_CLAIM_H

#include "core/RequestId.h"

/// At-most-once execution under an idempotency key: one row in the table
/// service for each key, which only one request may hold.
namespace comfreydeck::core {

/// What a key's row says.
enum class ClaimState : std::uint8_t {
  /// The request may be executed by the entry that it names, and by no other.
  Claimed,
  /// It ran; its answer is kept.
  Ended,
  /// It is known not to have run; another request may take the row over.
  NotRun,
  /// Whether it ran is not known.
  Unresolved,
};

/// A key's row.
struct ClaimRecord {
  RequestId Request;
  ClaimState State = ClaimState::Claimed;
  /// Tells other work under the same key from a repeat.
  std::uint64_t Fingerprint = 0;
};

/// What came of a write of the row.
enum class ClaimWrite : std::uint8_t { Committed, Conflict, NotApplied, Lost };

/// What the row was found to be.
struct ClaimReading {
  /// Whether the table service answered.
  bool Known = false;
  /// Zero where there is no row.
  std::uint64_t Version = 0;
  ClaimRecord Record;
  /// Whether the entry that the row names is still registered.
  bool HolderIsMember = false;
};

/// What the entry does next.
enum class ClaimStep : std::uint8_t {
  /// Write the row, if it has the attempt's expected version.
  Write,
  /// Read the row.
  Read,
  /// The row is this request's: start it.
  Execute,
  /// Give the recorded answer.
  Repeat,
  /// Another request holds the key and may end yet.
  InProgress,
  /// The key was used for other work.
  OtherWork,
  /// Whether the holder ran can't be learned any more.
  Unresolved,
  /// The table service can't be used; nothing was started.
  StoreDown,
};

/// One request's attempt to get its key.
struct ClaimAttempt {
  RequestId Mine;
  std::uint64_t Fingerprint = 0;
  /// Version of the row that the next write replaces; zero for none.
  std::uint64_t Expected = 0;
  /// Whether a write of unknown outcome may have landed or may land yet.
  bool MayLand = false;
  std::uint32_t Tries = 0;
};

/// Writes and reads of one attempt before it is given up.
constexpr std::uint32_t ClaimTryLimit = 6;

/// Decides after a write of the row.
ClaimStep afterWrite(ClaimAttempt &Attempt, ClaimWrite Result);

/// Decides after a reading of the row.
ClaimStep afterRead(ClaimAttempt &Attempt, const ClaimReading &Found);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CLAIM_H
