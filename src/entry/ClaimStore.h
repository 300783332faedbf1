#ifndef COMFREYDECK_ENTRY_CLAIMSTORE_H
#define COMFREYDECK_ENTRY_CLAIMSTORE_H

#include "codec/ClaimJson.h"
#include "entry/Membership.h"
#include "entry/WriteBatcher.h"

namespace comfreydeck::entry {

/// The idempotency key to claim, and the request to claim it for.
struct ClaimRequest {
  core::TeamId Team;
  core::QueueId Queue;
  std::string Key;
  core::RequestId Request;
  std::uint64_t Fingerprint = 0;
};

/// A claim's row as last known to its holder.
struct HeldClaim {
  /// Empty if there is no row.
  std::string RowKey;
  std::uint64_t Version = 0;
  core::ClaimRecord Record;
};

struct ClaimResult {
  core::ClaimStep Step = core::ClaimStep::StoreDown;
  /// For claim(), only the row's key unless Step is Execute. For read(), the
  /// row that was found.
  HeldClaim Held;
  /// The row that was read last; empty if none was.
  codec::ClaimRow Found;
};

/// Stores claims of idempotency keys as rows in the table service, and answers
/// that are too large for a row in the object store. Must be used on the
/// control thread, which also runs all callbacks.
class ClaimStore {
public:
  /// The referenced objects must outlive the store.
  ClaimStore(const Context &C, const Membership &Members, WriteBatcher &Writes);

  /// Claims a key for one request.
  void claim(const ClaimRequest &Request,
             std::function<void(ClaimResult)> Done);

  /// Writes the final state of a held claim, and retries until it is known to
  /// be written or the row was changed by somebody else. \p Done may be empty.
  void end(const HeldClaim &Held, core::ClaimState State,
           core::RequestOutcome Outcome, std::function<void()> Done);

  /// Reads a row. The step is Repeat if the claim has ended, StoreDown if the
  /// read failed, and Unresolved otherwise. The row in the result is empty if
  /// there is none.
  void read(const std::string &RowKey, std::function<void(ClaimResult)> Done);

  /// Returns the answer's body from the row, or from the object store if it is
  /// stored there; nullopt if it is not available.
  void fetchBody(const codec::ClaimRow &Row,
                 std::function<void(std::optional<std::string>)> Done);

  /// Returns the row key of a request whose id was issued in advance.
  static std::string rowKeyOf(const core::RequestId &Id);

private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  void performStep(const AttemptPtr &A, core::ClaimStep Step);
  void writeClaim(const AttemptPtr &A);
  void readBack(const AttemptPtr &A);
  void abandon(const AttemptPtr &A);
  void markAbandoned(const AttemptPtr &A);
  void writeEnd(const HeldClaim &Held, codec::ClaimRow Row,
                std::function<void()> Done);

  Context Context_;
  const Membership &Members_;
  WriteBatcher &Writes_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CLAIMSTORE_H
