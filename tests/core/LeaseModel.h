#ifndef COMFREYDECK_TESTS_CORE_LEASEMODEL_H
#define COMFREYDECK_TESTS_CORE_LEASEMODEL_H

#include "core/ServingLease.h"

#include <array>
#include <functional>
#include <string>

/// A small world of entries, one store and one list, that drives the lease.
///
/// Every step is an action that may happen or not, so that pauses, partitions,
/// lost messages and outages are histories in which some action doesn't come.
namespace comfreydeck::model {

constexpr std::size_t MaxNodes = 4;

/// A rule left out on purpose, to see that the explorer misses it.
enum class Broken : std::uint8_t {
  None,
  /// A new entry takes it that those registered know it.
  NoGreeting,
  /// Entries that don't know the reporter aren't waited for.
  NoWaitForStrangers,
  /// A lost answer is taken for a write that never happened.
  UnknownIsFailed,
  /// A lost answer is taken for a write that happened.
  UnknownIsDone,
  /// The wait runs from the commit, whatever proofs were given since.
  NoWaitAfterLastProof,
  /// A pool is taken without a fence on its owner.
  NoFence,
  /// Waits don't allow for clock rates.
  NoDriftMargin,
  /// Who registered before the commit isn't looked up after it.
  NoReadingAfterCommit,
  /// An entry that was dropped by the list is left out without a standing
  /// proof of it.
  DropWithoutStanding,
  /// Standing proofs aren't waited for.
  NoWaitForStanding,
  /// A reading forgets those who made themselves known after it was sent.
  ReadingForgetsNew,
  /// Progress is not compared before a proof is given.
  ProofForAnyVersion,
};

/// What may happen in a world, and how often.
struct Scenario {
  std::string Name;
  std::size_t Nodes = 2;
  /// The last nodes register during the history.
  std::size_t Joining = 0;
  int Ticks = 6;
  int Changes = 0;
  int Crashes = 0;
  int Leaves = 0;
  /// Commits whose answer may be lost.
  int LostAnswers = 0;
  int Takeovers = 0;
  int Reclaims = 0;
  int Gifts = 0;
  bool Standing = false;
  /// Whose readings, as one bit each, and whether proofs are under way for a
  /// time. Else each is lost or
  /// comes at once, which is the worst that it can do by itself: its age counts
  /// from when it was sent.
  unsigned LateReaders = 0;
  bool LateProofs = false;
  /// This node's clock runs at two thirds of the others' rate.
  std::size_t SlowNode = MaxNodes;
  /// Only these ask for proofs, as one bit each.
  unsigned Askers = ~0U;
  /// Only these read the store after the start, as one bit each.
  unsigned Readers = ~0U;
  /// Only these write, as one bit each.
  unsigned Writers = ~0U;
  Broken Rule = Broken::None;
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

/// One transaction of a node that is under way.
struct PendingWrite {
  WriteKind Kind = WriteKind::None;
  WriteStage Stage = WriteStage::Sent;
  /// Whether the answer never comes; the write may still apply.
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
  /// Tick of the latest request; one is sent in each.
  int LastAsk = -1;
  core::ProofRequest Request;
  core::ProofReply Reply;
};

struct Node {
  bool Alive = true;
  core::ServingLease Lease;
  bool HasReading = false;
  core::StoreReading Reading;
  /// Tick of the latest reading begun; one is begun in each.
  int LastRead = -1;
  std::uint8_t ReadingSlots = 0;
  std::uint8_t ReadingPoolOwner = 0;
  PendingWrite Write;
  bool OwnsPool = false;
  /// Slots that it gives out of, by its allotment.
  std::uint8_t Slots = 1;
  /// Slots that wait until a reclaim is in effect.
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
  /// The highest version that anyone called in force everywhere.
  std::uint8_t Reported = 0;
  int Changes = 0;
  int Crashes = 0;
  int Leaves = 0;
  int LostAnswers = 0;
  int Takeovers = 0;
  int Reclaims = 0;
  int Gifts = 0;
};

/// A node's own clock.
core::TimePoint nowAt(const Scenario &S, const World &W, std::size_t I);

World makeWorld(const Scenario &S);

/// Every world that may follow.
void forEachNext(
    const Scenario &S, const World &W,
    const std::function<void(World &&, const char *Action)> &Visit);

/// What is wrong in a world, or an empty text.
std::string faultOf(const Scenario &S, const World &W);

/// A key that is equal only for worlds that behave alike.
std::string keyOf(const Scenario &S, const World &W);

/// What an exhaustive search found.
struct Exploration {
  std::size_t States = 0;
  /// Whether no state was left out because of the limit.
  bool Whole = true;
  std::string Fault;
  /// The actions that lead to the fault.
  std::string Trace;
};

Exploration explore(const Scenario &S, std::size_t MaxStates);

/// Random histories; each takes one action after another to its end.
struct HistoryCount {
  std::size_t Histories = 0;
  std::size_t Faulty = 0;
  /// Histories in which a change was called in force everywhere.
  std::size_t WithReport = 0;
  std::string Fault;
};

HistoryCount runHistories(const Scenario &S, std::uint64_t Seed,
                          std::size_t Count, std::size_t MaxActions);

} // namespace comfreydeck::model

#endif // COMFREYDECK_TESTS_CORE_LEASEMODEL_H
