#ifndef COMFREYDECK_ENTRY_CLAIMSTORE_H
#define COMFREYDECK_ENTRY_CLAIMSTORE_H

#include "codec/ClaimJson.h"
#include "entry/Membership.h"
#include "entry/WriteBatcher.h"

namespace comfreydeck::entry {

/// Whose idempotency key is claimed, and for which work.
struct ClaimRequest {
  core::TeamId Team;
  core::QueueId Queue;
  std::string Key;
  core::RequestId Request;
  std::uint64_t Fingerprint = 0;
};

/// A row as its holder knows it.
struct HeldClaim {
  /// Empty where there is none.
  std::string RowKey;
  std::uint64_t Version = 0;
  core::ClaimRecord Record;
};

struct ClaimResult {
  core::ClaimStep Step = core::ClaimStep::StoreDown;
  /// The row's key; all of it where the step is Execute.
  HeldClaim Held;
  /// The row that was found, for every other step that follows from one.
  codec::ClaimRow Found;
};

/// Keys' rows in the table service, and answers too large for them in the
/// object store. Only on the control thread; so come all callbacks.
class ClaimStore {
public:
  /// The parts must outlive the store.
  ClaimStore(const Context &C, const Membership &Members, WriteBatcher &Writes);

  /// Claims a key for one request.
  void claim(const ClaimRequest &Request,
             std::function<void(ClaimResult)> Done);

  /// Writes how a held claim ended, until it is known to be written. \p Done
  /// may be empty.
  void end(const HeldClaim &Held, core::ClaimState State,
           core::RequestOutcome Outcome, std::function<void()> Done);

  /// Reads a row; nothing where there is none, StoreDown where that can't be
  /// learned.
  void read(const std::string &RowKey, std::function<void(ClaimResult)> Done);

  /// Fetches the body that a row keeps elsewhere; nothing where it can't be
  /// had.
  void fetchBody(const codec::ClaimRow &Row,
                 std::function<void(std::optional<std::string>)> Done);

  /// The row of a request whose id was issued ahead.
  static std::string rowKeyOf(const core::RequestId &Id);

private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  void follow(const AttemptPtr &A, core::ClaimStep Step);
  void write(const AttemptPtr &A);
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
