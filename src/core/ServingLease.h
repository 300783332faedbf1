#ifndef COMFREYDECK_CORE_SERVINGLEASE_H
#define COMFREYDECK_CORE_SERVINGLEASE_H

#include "core/Types.h"

#include <optional>
#include <span>
#include <vector>

/// An entry's lease to serve, and what other entries may rely on once it has
/// expired. docs/design/serving-lease.md gives the rule and its proof. No
/// function performs I/O; \p Now is always a time of this entry's own clock.
namespace comfreydeck::core {

/// Bounds that are the same at every entry.
struct LeaseBounds {
  /// Maximum age of a reading of the store or of a proof.
  Duration Freshness = std::chrono::seconds(2);
  /// How long proofs may replace readings of the store.
  Duration StoreGrace = std::chrono::minutes(15);
  /// Maximum rate error of a clock, in parts per million.
  std::uint32_t DriftPpm = 1000;
};

/// The wait on this entry's clock that lasts at least \p D on any other clock.
/// Precondition: the drift is below a million parts per million.
Duration driftSafeWait(Duration D, const LeaseBounds &B);

/// Number of the last notice to one entry. A notice revokes something that only
/// that entry holds; its number is kept on the entry's session row.
struct NoticeNumber {
  std::uint64_t Value = 0;
  auto operator<=>(const NoticeNumber &) const = default;
};

/// The configuration version and the notice that an entry has applied.
struct LeaseProgress {
  ConfigVersion Version;
  NoticeNumber Notice;
};

/// One session row as read from the store.
struct SessionView {
  Incarnation Id;
  NoticeNumber Notice;
  bool Fenced = false;
};

/// The head of the configuration log and all session rows, read by calls that
/// were sent at \ref Sent or later.
struct StoreReading {
  TimePoint Sent;
  ConfigVersion Head;
  std::vector<SessionView> Sessions;
};

/// A request for a proof, which lets the sender serve without the store. It
/// also introduces the sender and acknowledges its progress. Times are of the
/// sender's clock.
struct ProofRequest {
  Incarnation From;
  LeaseProgress Progress;
  TimePoint Sent;
  /// When the sender's latest reading of the store was sent; the sender holds
  /// no standing proof older than that.
  TimePoint ReadingSent;
  /// Whether the sender can't serve without this proof or the store.
  bool NeedsProof = false;
};

/// The answer to a \ref ProofRequest.
struct ProofReply {
  bool Granted = false;
  /// Whether the replying entry can't serve without the requester's proof or
  /// the store.
  bool NeedsProof = false;
  /// Whether the proof is a standing one: until the requester reads the store
  /// again, the replying entry treats nothing as in force at the requester that
  /// the requester has not acknowledged. If the replying entry is dropped from
  /// the instance list, the requester then needs no further proof from it.
  bool Standing = false;
  /// The latest version known to the replying entry.
  ConfigVersion Version;
  /// The requester's session row, as far as the replying entry knows it.
  NoticeNumber Notice;
  bool Fenced = false;
};

/// Another registered entry, as known to this one.
struct LeasePeer {
  Incarnation Id;
  /// When this entry first learned of it, or last heard from the peer itself.
  TimePoint Heard;

  /// When the request for its latest proof was sent.
  std::optional<TimePoint> ProofSent;
  /// When the request for the standing proof that is held was sent.
  std::optional<TimePoint> StandingSent;
  /// Whether the platform's instance list has dropped it.
  bool Dropped = false;
  /// Since when its row is known to be gone. It gets no more proofs, and is
  /// erased once it can't hold a lease by proofs alone.
  std::optional<TimePoint> Gone;

  /// Whether it has reported that it needs this entry's proofs.
  bool NeedsOwnProof = false;
  /// When the last proof was given to it.
  std::optional<TimePoint> ProofGiven;
  /// When the last standing proof that it may still hold was given to it.
  std::optional<TimePoint> StandingGiven;
  /// When the request for that proof was sent, by the peer's clock.
  TimePoint StandingRequestSent;
  LeaseProgress Acknowledged;
  NoticeNumber Notice;
  TimePoint NoticeSince;
  bool Fenced = false;
  TimePoint FencedSince;
  bool FenceAcknowledged = false;
};

/// When this entry learned of a version.
struct LearnedVersion {
  ConfigVersion Version;
  TimePoint Since;
};

/// All state of one entry's lease.
struct ServingLease {
  Incarnation Self;
  LeaseBounds Bounds;
  LeaseProgress Progress;
  /// The latest version and notice known to be committed; serving stops until
  /// \ref Progress has reached them.
  LeaseProgress Known;
  /// Never reset once set.
  bool Fenced = false;
  std::optional<TimePoint> Registered;
  /// When the latest valid reading was sent.
  std::optional<TimePoint> ReadingSent;
  std::vector<LeasePeer> Peers;
  /// The latest versions, the oldest first.
  std::vector<LearnedVersion> LearnedVersions;
};

/// Called when this entry's row is known to be in the store.
void onRegistered(ServingLease &L, TimePoint Now);

/// Processes a reading of the store. It extends the lease only if it was sent
/// after the registration was known.
void onReading(ServingLease &L, const StoreReading &R, TimePoint Now);

/// Called when this entry has applied a version.
void onApplied(ServingLease &L, ConfigVersion Version, TimePoint Now);

/// Called when this entry has applied all notices up to \p Notice.
void onNoticeTaken(ServingLease &L, NoticeNumber Notice);

/// Called when a fence of another entry is known to be committed.
void onFenceCommitted(ServingLease &L, Incarnation Id, TimePoint Now);

/// Called when a notice to another entry is known to be committed.
void onNoticeCommitted(ServingLease &L, Incarnation Id, NoticeNumber Notice,
                       TimePoint Now);

/// Builds the proof request to another entry.
ProofRequest makeRequest(const ServingLease &L, Incarnation To, TimePoint Now);

/// Answers another entry's request. \p Standing says whether a standing proof
/// may be given, as when this entry can't reach the store either. A requester
/// that isn't known gets no proof; it becomes known by granting a proof itself,
/// see \ref onProof.
ProofReply answerProof(ServingLease &L, const ProofRequest &Request,
                       bool Standing, TimePoint Now);

/// Processes the reply to a request that was sent at \p Sent. An unknown entry
/// that grants a proof becomes known.
void onProof(ServingLease &L, Incarnation From, TimePoint Sent,
             const ProofReply &Reply, TimePoint Now);

/// Called when another entry reports what it has applied.
void onAcknowledged(ServingLease &L, Incarnation From,
                    const LeaseProgress &Progress);

/// Called when another entry reports that its fence made it stop serving.
void onFenceAcknowledged(ServingLease &L, Incarnation From);

/// Called when another entry shuts down and sends what it knows, as in a
/// refused reply.
void onGoodbye(ServingLease &L, Incarnation From, const ProofReply &Last,
               TimePoint Now);

/// Called when the platform's instance list has dropped the entry, or its
/// address now belongs to another entry: its process has ended.
void onDropped(ServingLease &L, Incarnation Id);

/// When this entry's lease expires; it must not serve at or after this time.
TimePoint currentUntil(const ServingLease &L);

/// Whether another entry may still serve with a version below \p Version.
bool mayServeBelow(const ServingLease &L, const LeasePeer &P,
                   ConfigVersion Version, TimePoint Now);

/// At how many entries a version is in force.
struct InForceCount {
  /// Entries at which it is in force, this one included.
  std::size_t InForce = 0;
  std::size_t Entries = 0;
  /// Whether every entry that matters for the version is known.
  bool Complete = false;

  bool everywhere() const { return Complete && InForce == Entries; }
};

/// Counts the entries at which \p Version is in force.
InForceCount countInForce(const ServingLease &L, ConfigVersion Version,
                          TimePoint Now);

/// Whether a fenced entry has no valid lease and can't get one again.
bool fenceInEffect(const ServingLease &L, Incarnation Id, TimePoint Now);

/// Whether an entry has applied a notice or can no longer act contrary to it.
bool noticeInEffect(const ServingLease &L, Incarnation Id, NoticeNumber Notice,
                    TimePoint Now);

/// The peer with this id; nullptr if it isn't known.
const LeasePeer *findPeer(const ServingLease &L, Incarnation Id);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_SERVINGLEASE_H
