#ifndef COMFREYDECK_CODEC_ORDERJSON_H
#define COMFREYDECK_CODEC_ORDERJSON_H

#include "jobs/PoolState.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between an owner and the entries that send its orders to workers.
namespace comfreydeck::codec {

/// One order that another entry sends on behalf of the owner.
struct RelayedOrder {
  /// Number that the result repeats.
  std::uint64_t Id = 0;
  std::string Worker;
  /// IP address and port of the worker.
  std::string Address;
  /// The order's fence.
  std::uint64_t Fence = 0;
  /// Maximum time from the receipt of the batch to the sending of the order.
  core::Duration Within{0};
  std::variant<jobs::StartOrder, jobs::StopOrder, jobs::HoldOrder> Order;
  /// A start's payload is left out; the entry that sends it reads it from the
  /// store.
  bool PayloadOmitted = false;
  /// Maximum time from the sending of the batch to that of what a request for a
  /// report acknowledges; zero if the owner's entry does not tell.
  core::Duration AcknowledgeWithin{0};
};

/// A time on the clock of one incarnation of another entry.
struct PeerTime {
  std::string Life;
  std::int64_t Ms = 0;
};

struct OrderBatch {
  /// Name and incarnation of the owner's entry.
  std::string From;
  std::string Life;
  /// The receiver's time at the sending of the batch, or an earlier one;
  /// nothing if the owner has had no results of it.
  std::optional<PeerTime> SentAt;
  std::vector<RelayedOrder> Orders;
};

/// The outcome of one order.
struct RelayedResult {
  std::uint64_t Id = 0;
  jobs::OrderOutcome Outcome = jobs::OrderOutcome::Unknown;
  /// Only \ref jobs::WorkerReport::ClockMs is set, unless a report was asked
  /// for.
  jobs::WorkerReport Report;
  /// Not sent, since the omitted payload could not be read.
  bool PayloadMissing = false;
};

struct ResultBatch {
  /// Name and incarnation of the entry that sent the orders.
  std::string From;
  std::string Life;
  /// Incarnation of the owner's entry that gave them.
  std::string ToLife;
  /// The sender's time at the sending of the batch; nothing if it does not
  /// tell.
  std::optional<std::int64_t> SentAtMs;
  std::vector<RelayedResult> Results;
};

/// Orders for the same job carry its payload once. Thread-safe.
std::string encodeOrders(const std::string &From, const std::string &Life,
                         std::span<const RelayedOrder> Orders,
                         const std::optional<PeerTime> &SentAt);
/// Throws std::invalid_argument if the text is not such a batch. Thread-safe.
OrderBatch decodeOrders(std::string_view Text);

/// Thread-safe.
std::string encodeResults(const std::string &From, const std::string &Life,
                          const std::string &ToLife, std::int64_t SentAtMs,
                          std::span<const RelayedResult> Results);
/// Throws std::invalid_argument if the text is not such a batch. Thread-safe.
ResultBatch decodeResults(std::string_view Text);

} // namespace comfreydeck::codec

#endif // COMFREYDECK_CODEC_ORDERJSON_H
