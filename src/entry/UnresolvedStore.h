#ifndef COMFREYDECK_ENTRY_UNRESOLVEDSTORE_H
#define COMFREYDECK_ENTRY_UNRESOLVEDSTORE_H

#include "codec/ClaimJson.h"
#include "entry/WriteBatcher.h"

namespace comfreydeck::entry {

enum class ResolveOutcome : std::uint8_t {
  Resolved,
  NotFound,
  /// Somebody else resolved it first.
  Conflict,
  Unavailable,
};

/// Requests whose execution is not known, kept for the operators. Only on the
/// control thread; so come all callbacks.
class UnresolvedStore {
public:
  /// \p Writes must outlive the store.
  UnresolvedStore(const Context &C, WriteBatcher &Writes);

  /// Keeps a request, until it is known to be written. One that is kept already
  /// stays as it is.
  void record(codec::UnresolvedRow Row);

  /// Open rows by request, at most a thousand; nothing where the table service
  /// is away.
  void
  list(std::function<void(std::optional<std::vector<codec::UnresolvedRow>>)>
           Done);

  /// Notes that a request ran or not, as an operator found out, and lets its
  /// key be used again where it did not.
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
