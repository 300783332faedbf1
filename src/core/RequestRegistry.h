#ifndef COMFREYDECK_CORE_REQUESTREGISTRY_H
#define COMFREYDECK_CORE_REQUESTREGISTRY_H

#include "core/RequestId.h"
#include "core/Verdict.h"

#include <deque>
#include <map>

/// Records of the requests for which one entry issued ids or which it executes.
namespace comfreydeck::core {

/// The progress of one request.
enum class RequestState : std::uint8_t {
  /// Its id was issued in advance and not used yet.
  Issued,
  /// Its key is being claimed, or it waits for a slot.
  Waiting,
  /// It was sent to a worker.
  Running,
  /// The complete answer arrived.
  Ended,
  /// It is known not to have run; its id may be used again.
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
  /// Whether the body was too large to keep.
  bool BodyDropped = false;
};

/// The record of one request.
struct RequestRecord {
  RequestState State = RequestState::Issued;
  /// Invalid if the id was issued without a key, for open queues.
  TeamId Owner;
  /// Hash of the request, which distinguishes a repeat from other work.
  std::uint64_t Fingerprint = 0;
  RequestOutcome Outcome;
  bool CancelAsked = false;
};

/// Limits of the records kept.
struct RequestRegistryOptions {
  std::size_t MaxRecords = 100000;
  /// Maximum size of all kept bodies together.
  std::size_t MaxBytes = std::size_t{32} << 20;
  /// Maximum size of one kept body.
  std::size_t MaxStoredBodyBytes = std::size_t{256} << 10;
};

/// Records by sequence number. Beyond the limits, finished ones are erased, the
/// oldest first. Modified only by the functions below.
struct RequestRegistry {
  RequestRegistryOptions Options;
  std::map<std::uint64_t, RequestRecord> Records;
  /// Candidates for erasure, in the order in which they were issued or ended.
  std::deque<std::uint64_t> EvictionQueue;
  /// Size of all kept bodies.
  std::size_t Bytes = 0;
};

/// Records a newly issued id. Not thread-safe.
void issue(RequestRegistry &Registry, std::uint64_t Number, TeamId Owner);

/// Records a request that arrived without an id. Not thread-safe.
void begin(RequestRegistry &Registry, std::uint64_t Number, TeamId Owner,
           std::uint64_t Fingerprint);

/// How to handle a request with an id that was issued here.
enum class IdUseDecision : std::uint8_t {
  /// It is the first use of the id, or all earlier uses are known not to have
  /// run.
  Execute,
  Repeat,
  InProgress,
  OtherWork,
  Cancelled,
  /// An earlier use may have run, or the record was erased.
  Unresolved,
  /// The id was issued to another team.
  NotOwner,
};

/// Claims an issued id for one execution. Not thread-safe.
IdUseDecision take(RequestRegistry &Registry, std::uint64_t Number,
                   TeamId Owner, std::uint64_t Fingerprint);

/// Sets the state of a request, and its outcome if it ended. Does nothing for
/// an unknown request. Not thread-safe.
void setState(RequestRegistry &Registry, std::uint64_t Number,
              RequestState State, RequestOutcome Outcome = {});

/// The record of a request; nullptr if there is none or it was erased. Not
/// thread-safe.
RequestRecord *find(RequestRegistry &Registry, std::uint64_t Number);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_REQUESTREGISTRY_H
