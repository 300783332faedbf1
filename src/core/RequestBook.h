#ifndef COMFREYDECK_CORE_REQUESTBOOK_H
#define COMFREYDECK_CORE_REQUESTBOOK_H

#include "core/RequestId.h"
#include "core/Verdict.h"

#include <deque>
#include <map>

/// What one entry knows of the requests that it issued ids for or executes.
namespace comfreydeck::core {

enum class RequestState : std::uint8_t {
  /// Its id was issued ahead; nothing was done under it.
  Issued,
  /// It is being claimed, or waits for a slot.
  Waiting,
  /// It was sent to a worker.
  Running,
  /// The whole answer came.
  Ended,
  /// It is known not to have run, and its id may be used again.
  NotRun,
  /// It was cancelled before it was sent.
  Cancelled,
  /// It may have run.
  Unknown,
};

/// The state's name on the wire. Thread-safe.
std::string_view nameOf(RequestState State);

/// The answer of a request that ran.
struct RequestOutcome {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// Whether the body was too large to be kept.
  bool BodyDropped = false;
};

struct RequestRecord {
  RequestState State = RequestState::Issued;
  /// Invalid where the id was issued without a key, for open queues.
  TeamId Owner;
  std::uint64_t Fingerprint = 0;
  RequestOutcome Outcome;
  bool CancelAsked = false;
};

struct RequestBookOptions {
  std::size_t MostRecords = 100000;
  std::size_t MostBytes = std::size_t{32} << 20;
  std::size_t MostBodyBytes = std::size_t{256} << 10;
};

/// Records by running number; ended ones are forgotten, the oldest first, when
/// there are too many. Changed only by the functions below.
struct RequestBook {
  RequestBookOptions Options;
  std::map<std::uint64_t, RequestRecord> Records;
  /// Numbers in the order of their ends, and of their issue.
  std::deque<std::uint64_t> Forgettable;
  std::size_t Bytes = 0;
};

/// A new id was given out. Not thread-safe.
void issue(RequestBook &Book, std::uint64_t Number, TeamId Owner);

/// A request arrived that has no id of its own. Not thread-safe.
void begin(RequestBook &Book, std::uint64_t Number, TeamId Owner,
           std::uint64_t Fingerprint);

/// What a request with an id issued here may do.
enum class TakeStep : std::uint8_t {
  /// It is the id's first use, or all earlier ones are known not to have run.
  Execute,
  Repeat,
  InProgress,
  OtherWork,
  Cancelled,
  /// An earlier use may have run, or the id is forgotten.
  Unresolved,
  /// The id was issued to another team.
  NotOwner,
};

/// Takes an issued id for one execution. Not thread-safe.
TakeStep take(RequestBook &Book, std::uint64_t Number, TeamId Owner,
              std::uint64_t Fingerprint);

/// Notes where a request has come to, \p Outcome where it ended. Not
/// thread-safe.
void setState(RequestBook &Book, std::uint64_t Number, RequestState State,
              RequestOutcome Outcome = {});

/// Nothing where there is none, or none any more. Not thread-safe.
RequestRecord *find(RequestBook &Book, std::uint64_t Number);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_REQUESTBOOK_H
