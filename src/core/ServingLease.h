#ifndef COMFREYDECK_CORE_SERVINGLEASE_H
#define COMFREYDECK_CORE_SERVINGLEASE_H

#include "core/Types.h"

#include <optional>
#include <span>
#include <vector>

/// An entry's leave to serve, and what others may rely on once it has ended.
/// docs/design/serving-lease.md gives the rule and its proof. All functions
/// are free of I/O; \p Now is always a reading of this entry's own clock.
namespace comfreydeck::core {

/// Bounds that are the same at every entry.
struct LeaseBounds {
  /// How old a reading of the store or a proof may be.
  Duration Freshness = std::chrono::seconds(2);
  /// How long proofs may stand in for the store.
  Duration StoreGrace = std::chrono::minutes(15);
  /// How far the rate of a clock may be off, in parts per million.
  std::uint32_t DriftPpm = 1000;
};

/// A wait on this entry's clock that is at least \p D on any other clock.
/// Precondition: the drift is below a million parts per million.
Duration outlasting(Duration D, const LeaseBounds &B);

/// Number of the last thing taken from one entry alone; it is kept on the
/// entry's session row.
struct NoticeNumber {
  std::uint64_t Value = 0;
  auto operator<=>(const NoticeNumber &) const = default;
};

/// What an entry has taken in and acts on.
struct LeaseProgress {
  ConfigVersion Version;
  NoticeNumber Notice;
};

/// One session row as read.
struct SessionView {
  Incarnation Id;
  NoticeNumber Notice;
  bool Fenced = false;
};

/// The head of the log and all session rows, read in calls that were sent at
/// \ref Sent or later.
struct StoreReading {
  TimePoint Sent;
  ConfigVersion Head;
  std::vector<SessionView> Sessions;
};

/// What one entry asks of another, so as to serve without the store. It also
/// makes the asking entry known and acknowledges its progress. Times are of the
/// asker's clock.
struct ProofRequest {
  Incarnation From;
  LeaseProgress Progress;
  TimePoint Sent;
  /// When the asker's latest reading of the store was sent; it holds no
  /// standing proof from before that.
  TimePoint ReadingSent;
  /// Whether the asker can't serve without this proof or the store.
  bool NeedsProof = false;
};

struct ProofReply {
  bool Granted = false;
  /// Whether the giver can't serve without the asker's proof or the store.
  bool NeedsProof = false;
  /// Until the asker reads the store again, nothing is in force for it that it
  /// has not acknowledged; a dead giver may then be left out.
  bool Standing = false;
  /// The giver's version.
  ConfigVersion Version;
  /// What the giver knows of the asker's session row.
  NoticeNumber Notice;
  bool Fenced = false;
};

/// Another registered entry, as this one sees it.
struct LeasePeer {
  Incarnation Id;
  /// When it was last heard of, from itself or from the store.
  TimePoint Heard;

  /// When the request for its latest proof was sent.
  std::optional<TimePoint> ProofSent;
  /// When the request for the standing proof in hand was sent.
  std::optional<TimePoint> StandingSent;
  /// Whether the platform's list has dropped it.
  bool Dropped = false;
  /// Since when its row is known to be gone. It gets no proof any more, and is
  /// forgotten when it can't be current on proofs alone.
  std::optional<TimePoint> Gone;

  /// Whether it has said that it needs this entry's proofs.
  bool NeedsSelf = false;
  std::optional<TimePoint> ProofGiven;
  /// When the last standing proof was given that is not returned.
  std::optional<TimePoint> StandingGiven;
  /// When its request was sent, by the asker's clock.
  TimePoint StandingFor;
  LeaseProgress Acknowledged;
  NoticeNumber Notice;
  TimePoint NoticeSince;
  bool Fenced = false;
  TimePoint FencedSince;
  bool FenceAcknowledged = false;
};

/// When this entry came to know a version.
struct VersionMark {
  ConfigVersion Version;
  TimePoint Since;
};

/// All state of one entry's lease.
struct ServingLease {
  Incarnation Self;
  LeaseBounds Bounds;
  LeaseProgress Progress;
  /// The latest that is known to be committed; serving stops until
  /// \ref Progress has reached it.
  LeaseProgress Known;
  /// Once set, it stays.
  bool Fenced = false;
  std::optional<TimePoint> Registered;
  /// When the latest good reading was sent.
  std::optional<TimePoint> ReadingSent;
  std::vector<LeasePeer> Peers;
  /// The latest versions, oldest first.
  std::vector<VersionMark> Marks;
};

/// This entry's row is known to be in the store.
void onRegistered(ServingLease &L, TimePoint Now);

/// A reading of the store came back. It counts only where it was sent after
/// the registration was known.
void onReading(ServingLease &L, const StoreReading &R, TimePoint Now);

/// A version was applied here.
void onApplied(ServingLease &L, ConfigVersion Version, TimePoint Now);

/// Everything up to a notice was taken in here.
void onNoticeTaken(ServingLease &L, NoticeNumber Notice);

/// A fence of another entry is known to be committed.
void onFenceCommitted(ServingLease &L, Incarnation Id, TimePoint Now);

/// A notice to another entry is known to be committed.
void onNoticeCommitted(ServingLease &L, Incarnation Id, NoticeNumber Notice,
                       TimePoint Now);

/// What to ask another entry for.
ProofRequest makeRequest(const ServingLease &L, Incarnation To, TimePoint Now);

/// Another entry's request. \p Standing says whether a standing proof may be
/// given, as when the store is away from this entry too. An asker that isn't
/// known gets none; it becomes known when it has granted a proof itself, see
/// \ref onProof.
ProofReply answerProof(ServingLease &L, const ProofRequest &Request,
                       bool Standing, TimePoint Now);

/// The reply to a request that was sent at \p Sent. An entry that wasn't known
/// and that grants a proof is known from now on.
void onProof(ServingLease &L, Incarnation From, TimePoint Sent,
             const ProofReply &Reply, TimePoint Now);

/// Another entry says what it has taken in.
void onAcknowledged(ServingLease &L, Incarnation From,
                    const LeaseProgress &Progress);

/// Another entry says that it has stopped because of its fence.
void onFenceAcknowledged(ServingLease &L, Incarnation From);

/// Another entry leaves and tells what it knows, as in a refusal.
void onGoodbye(ServingLease &L, Incarnation From, const ProofReply &Last,
               TimePoint Now);

/// The platform's list had the entry and has dropped it, or its address is
/// another entry's now: its process is gone.
void onDropped(ServingLease &L, Incarnation Id);

/// The time from which this entry may not serve.
TimePoint currentUntil(const ServingLease &L);

/// Whether another entry may still serve below \p Version.
bool mayServeBelow(const ServingLease &L, const LeasePeer &P,
                   ConfigVersion Version, TimePoint Now);

/// How far a version has come.
struct InForceCount {
  /// Entries at which it is in force, this one included.
  std::size_t InForce = 0;
  std::size_t Entries = 0;
  /// Whether all entries that count are known.
  bool Complete = false;

  bool everywhere() const { return Complete && InForce == Entries; }
};

InForceCount countInForce(const ServingLease &L, ConfigVersion Version,
                          TimePoint Now);

/// Whether a fenced entry can't be current any more, nor ever again.
bool fenceInEffect(const ServingLease &L, Incarnation Id, TimePoint Now);

/// Whether an entry has taken in a notice, or can't act against it any more.
bool noticeInEffect(const ServingLease &L, Incarnation Id, NoticeNumber Notice,
                    TimePoint Now);

/// Nothing where it isn't known.
const LeasePeer *findPeer(const ServingLease &L, Incarnation Id);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_SERVINGLEASE_H
