#ifndef COMFREYDECK_ENTRY_SESSIONS_H
#define COMFREYDECK_ENTRY_SESSIONS_H

#include "core/ServingLease.h"
#include "store/TableService.h"

#include <map>

/// The table that each lease renewal reads: one row per session and the head of
/// the configuration log.
namespace comfreydeck::entry {

/// A registered entry, this one included.
struct Member {
  core::Incarnation Id;
  std::string Name;
  std::string DataCentre;
  /// IP:PORT for the other entries.
  std::string PeerAddress;
  /// IP:PORT for callers and operators.
  std::string HttpAddress;
};

/// The contents of a session row.
struct Session {
  Member Entry;
  core::NoticeNumber Notice;
  bool Fenced = false;
  /// Version of the row.
  std::uint64_t RowVersion = 0;
};

/// The contents of the row for the head of the configuration log.
struct LogHead {
  core::ConfigVersion Version;
  /// The latest snapshot in the object store; zero if there is none.
  core::ConfigVersion Snapshot;
  /// Version of the row; zero if there is none.
  std::uint64_t RowVersion = 0;
};

struct SessionRows {
  LogHead Head;
  std::map<core::Incarnation, Session> Sessions;
};

/// Maximum number of rows in the table.
constexpr std::uint32_t MaxSessionRows = 1000;

const char *sessionTable();
store::RowKey sessionKey(core::Incarnation Id);
store::RowKey headKey();

/// These parse and format rows. Parsing throws std::runtime_error or a JSON
/// error if a row is malformed. Thread-safe.
SessionRows parseSessions(std::span<const store::Row> Rows);
LogHead parseHead(const store::Row &Row);
std::string valueOf(const Session &S);
std::string valueOf(const LogHead &Head);

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_SESSIONS_H
