#ifndef COMFREYDECK_TESTS_CORE_LEASEMODEL_H
#define COMFREYDECK_TESTS_CORE_LEASEMODEL_H

#include "core/ServingLease.h"

#include <array>
#include <functional>
#include <string>

/// A model of a few entries, one store and one instance list, for checking the
/// serving lease.
///
/// Every step is an action that may or may not happen, so that pauses,
/// partitions, lost messages and outages are histories without some action.
namespace comfreydeck::model {

constexpr std::size_t MaxNodes = 4;

/// A rule that is omitted on purpose, to check that the explorer detects the
/// omission.
enum class BrokenRule : std::uint8_t {
  None,
  /// A new entry assumes that the registered entries know it.
  NoGreeting,
  /// The reporter doesn't wait for entries that don't know it.
  NoWaitForStrangers,
  /// A write whose answer was lost is treated as not applied.
  UnknownIsFailed,
  /// A write whose answer was lost is treated as applied.
  UnknownIsDone,
  /// The wait starts at the commit, ignoring proofs given since.
  NoWaitAfterLastProof,
  /// A pool is taken over without fencing its owner.
  NoFence,
  /// Waits don't account for clock drift.
  NoDriftMargin,
  /// The sessions aren't read again after a commit to find the entries that
  /// registered before it.
  NoReadingAfterCommit,
  /// An entry that the list has dropped is ignored without a standing proof
  /// from it.
  DropWithoutStanding,
  /// The wait ignores standing proofs.
  NoWaitForStanding,
  /// A reading removes entries that introduced themselves after it was sent.
  ReadingForgetsNew,
  /// A proof is given without comparing progress.
  ProofForAnyVersion,
};

/// Which actions may happen in a world, and how often.
struct Scenario {
  std::string Name;
  std::size_t Nodes = 2;
  /// Number of nodes, the last ones, that register during the history.
  std::size_t Joining = 0;
  int Ticks = 6;
  int Changes = 0;
  int Crashes = 0;
  int Leaves = 0;
  /// Maximum number of writes whose answer may be lost.
  int LostAnswers = 0;
  int Takeovers = 0;
  int Reclaims = 0;
  int Gifts = 0;
  bool Standing = false;
  /// Nodes whose readings may arrive late, as one bit each. Any other reading
  /// is lost or arrives at once, which is its worst case since its age counts
  /// from when it was sent.
  unsigned LateReaders = 0;
  /// Whether proofs may arrive late; else each is lost or arrives at once.
  bool LateProofs = false;
  /// The node whose clock runs at two thirds of the others' rate.
  std::size_t SlowNode = MaxNodes;
  /// Nodes that request proofs, as one bit each.
  unsigned Askers = ~0U;
  /// Nodes that read the store after the start, as one bit each.
  unsigned Readers = ~0U;
  /// Nodes that write, as one bit each.
  unsigned Writers = ~0U;
  BrokenRule Rule = BrokenRule::None;
};

enum class WriteKind : std::uint8_t {
  None,
  Change,
  Fence,
  Take,
  Reclaim,
  Give
};

enum class WriteStage : std::uint8_t { Sent, Applied, Refused };

/// One transaction of a node in progress.
struct PendingWrite {
  WriteKind Kind = WriteKind::None;
  WriteStage Stage = WriteStage::Sent;
  /// Whether the answer is lost; the write may still be applied.
  bool Lost = false;
  std::uint8_t Target = 0;
  std::uint8_t Expected = 0;
  core::TimePoint AppliedAt;
};

/// One request from one node to another and its reply.
struct Exchange {
  enum class Stage : std::uint8_t {
    None,
    Asked,
    Answered,
    Goodbye
  } At = Stage::None;
  /// Tick of the latest request; at most one is sent per tick.
  int LastAsk = -1;
  core::ProofRequest Request;
  core::ProofReply Reply;
};

struct Node {
  bool Alive = true;
  core::ServingLease Lease;
  bool HasReading = false;
  core::StoreReading Reading;
  /// Tick in which the latest reading began; at most one begins per tick.
  int LastRead = -1;
  std::uint8_t ReadingSlots = 0;
  std::uint8_t ReadingPoolOwner = 0;
  PendingWrite Write;
  bool OwnsPool = false;
  /// Slots that it may use, by its allotment.
  std::uint8_t Slots = 1;
  /// Slots reclaimed from another node, usable once the reclaim is in effect.
  std::uint8_t Owed = 0;
  core::NoticeNumber OwedNotice;
};

struct StoreRow {
  bool Present = false;
  bool Fenced = false;
  std::uint8_t Notice = 0;
  std::uint8_t Slots = 1;
};

struct World {
  int Tick = 0;
  std::uint8_t Head = 0;
  std::uint8_t PoolOwner = 0;
  std::array<StoreRow, MaxNodes> Rows;
  std::array<Node, MaxNodes> Nodes;
  std::array<std::array<Exchange, MaxNodes>, MaxNodes> Exchanges;
  /// The highest version that any node reported as in force everywhere.
  std::uint8_t Reported = 0;
  int Changes = 0;
  int Crashes = 0;
  int Leaves = 0;
  int LostAnswers = 0;
  int Takeovers = 0;
  int Reclaims = 0;
  int Gifts = 0;
};

/// The current time by a node's own clock.
core::TimePoint nowAt(const Scenario &S, const World &W, std::size_t I);

/// The initial world.
World makeWorld(const Scenario &S);

/// Calls \p Visit with each possible successor of a world.
void forEachNext(
    const Scenario &S, const World &W,
    const std::function<void(World &&, const char *Action)> &Visit);

/// The violated guarantee in a world, or an empty string.
std::string violationOf(const Scenario &S, const World &W);

/// A key that is equal only for worlds with the same behaviour.
std::string stateKey(const Scenario &S, const World &W);

/// The result of an exhaustive search.
struct Exploration {
  std::size_t States = 0;
  /// Whether the search was complete, without reaching the limit of states.
  bool Complete = true;
  std::string Fault;
  /// The sequence of actions that leads to the fault.
  std::string Trace;
};

/// Searches all histories, up to \p MaxStates states.
Exploration explore(const Scenario &S, std::size_t MaxStates);

/// The result of random histories, each a sequence of random actions.
struct HistoryCount {
  std::size_t Histories = 0;
  std::size_t Faulty = 0;
  /// Histories in which a change was reported as in force everywhere.
  std::size_t WithReport = 0;
  std::string Fault;
};

HistoryCount runHistories(const Scenario &S, std::uint64_t Seed,
                          std::size_t Count, std::size_t MaxActions);

} // namespace comfreydeck::model

#endif // COMFREYDECK_TESTS_CORE_LEASEMODEL_H
