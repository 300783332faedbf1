#ifndef COMFREYDECK_CORE_CLAIM_H
#define COMFREYDECK_CORE_CLAIM_H

#include "core/RequestId.h"

/// At-most-once execution under an idempotency key: each key has one row in the
/// table service, which only one request at a time may hold.
namespace comfreydeck::core {

/// The state recorded in a key's row.
enum class ClaimState : std::uint8_t {
  /// The request may be executed by the entry that its id names, and by no
  /// other.
  Claimed,
  /// It ran, and its answer is stored.
  Ended,
  /// It is known not to have run; another request may claim the row.
  NotRun,
  /// It is unknown whether it ran.
  Unresolved,
};

/// The contents of a key's row.
struct ClaimRecord {
  RequestId Request;
  ClaimState State = ClaimState::Claimed;
  /// Hash of the request, which distinguishes a repeat from other work under
  /// the same key.
  std::uint64_t Fingerprint = 0;
};

/// The result of a write of the row; Lost means that the outcome is unknown.
enum class ClaimWrite : std::uint8_t { Committed, Conflict, NotApplied, Lost };

/// The result of a reading of the row.
struct ClaimReading {
  /// Whether the table service answered.
  bool Known = false;
  /// Zero if there is no row.
  std::uint64_t Version = 0;
  ClaimRecord Record;
  /// Whether the entry that the row names is still registered.
  bool HolderIsMember = false;
};

/// The entry's next step.
enum class ClaimStep : std::uint8_t {
  /// Write the row on condition that it has the attempt's expected version.
  Write,
  /// Read the row.
  Read,
  /// This request holds the row: start it.
  Execute,
  /// Return the recorded answer.
  Repeat,
  /// Another request holds the key and may still end.
  InProgress,
  /// The key was used for other work.
  OtherWork,
  /// It can no longer be determined whether the holder ran.
  Unresolved,
  /// The table service is unavailable; nothing was started.
  StoreDown,
};

/// One request's attempt to claim its key.
struct ClaimAttempt {
  RequestId Mine;
  std::uint64_t Fingerprint = 0;
  /// Version of the row that the next write replaces; zero if there is no row.
  std::uint64_t Expected = 0;
  /// Whether a write of unknown outcome may have been applied, or may still be.
  bool MayBeApplied = false;
  std::uint32_t Tries = 0;
};

/// Maximum number of writes and reads in one attempt.
constexpr std::uint32_t MaxClaimTries = 6;

/// The next step after a write of the row.
ClaimStep afterWrite(ClaimAttempt &Attempt, ClaimWrite Result);

/// The next step after a reading of the row.
ClaimStep afterRead(ClaimAttempt &Attempt, const ClaimReading &Found);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_CLAIM_H
