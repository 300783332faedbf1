#ifndef COMFREYDECK_ENTRY_UNRESOLVEDSTORE_H
#define COMFREYDECK_ENTRY_UNRESOLVEDSTORE_H

#include "codec/ClaimJson.h"
#include "entry/WriteBatcher.h"

namespace comfreydeck::entry {

enum class ResolveOutcome : std::uint8_t {
  Resolved,
  NotFound,
  /// It was resolved before, or by somebody else at the same time.
  Conflict,
  Unavailable,
};

/// Stores requests for which it is unknown whether they ran, for operators to
/// resolve. Must be used on the control thread, which also runs all callbacks.
class UnresolvedStore {
public:
  /// \p Writes must outlive the store.
  UnresolvedStore(const Context &C, WriteBatcher &Writes);

  /// Stores a request, and retries until it is known to be written. An existing
  /// row is left unchanged.
  void record(codec::UnresolvedRow Row);

  /// Lists the open rows among the first 1000 by request id; nullopt if the
  /// table service is unavailable.
  void
  list(std::function<void(std::optional<std::vector<codec::UnresolvedRow>>)>
           Done);

  /// Records an operator's finding whether a request ran. If it did not, its
  /// key can be used again.
  void resolve(const core::RequestId &Id, bool Ran, std::string By,
               std::function<void(ResolveOutcome)> Done);

private:
  void onRead(const store::ReadResult &Found, bool Ran, const std::string &By,
              const std::function<void(ResolveOutcome)> &Done);
  void resolveClaim(const codec::UnresolvedRow &Row);
  void onClaimRead(const codec::UnresolvedRow &Row,
                   const store::ReadResult &Found);

  Context Context_;
  WriteBatcher &Writes_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_UNRESOLVEDSTORE_H
