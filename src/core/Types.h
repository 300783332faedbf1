#ifndef COMFREYDECK_CORE_TYPES_H
#define COMFREYDECK_CORE_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <random>
#include <string>

/// Basic types shared by all decisions: time, ids and resource sizes.
namespace comfreydeck::core {

/// Elapsed time, in microseconds.
using Duration = std::chrono::microseconds;

/// A time on the monotonic clock, passed in by the caller.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The seeded random number generator that decisions use.
using Rng = std::mt19937_64;

/// A typed id of a configured object. The configuration assigns the numbers,
/// so that an id denotes the same object at every entry.
template <typename Tag> struct Handle {
  static constexpr std::uint32_t InvalidValue =
      std::numeric_limits<std::uint32_t>::max();

  std::uint32_t Value = InvalidValue;

  bool isValid() const { return Value != InvalidValue; }
  auto operator<=>(const Handle &) const = default;
};

namespace detail {
struct DataCentreTag;
struct RackTag;
struct PoolTag;
struct TeamTag;
struct QueueTag;
struct KeyTag;
struct WorkerTag;
struct TemplateTag;
struct CustomerTag;
struct WaveTag;
} // namespace detail

using DataCentreId = Handle<detail::DataCentreTag>;
using RackId = Handle<detail::RackTag>;
using PoolId = Handle<detail::PoolTag>;
using TeamId = Handle<detail::TeamTag>;
using QueueId = Handle<detail::QueueTag>;
using KeyId = Handle<detail::KeyTag>;
using WorkerId = Handle<detail::WorkerTag>;
using TemplateId = Handle<detail::TemplateTag>;
using CustomerId = Handle<detail::CustomerTag>;
using WaveId = Handle<detail::WaveTag>;

/// One run of one entry process. A restarted entry has a new incarnation.
struct Incarnation {
  std::uint64_t Value = 0;

  bool isValid() const { return Value != 0; }
  auto operator<=>(const Incarnation &) const = default;
};

/// Number of a term of pool ownership; a higher epoch fences all lower ones.
struct Epoch {
  std::uint64_t Value = 0;
  auto operator<=>(const Epoch &) const = default;
};

/// Number of the last configuration change applied.
struct ConfigVersion {
  std::uint64_t Value = 0;
  auto operator<=>(const ConfigVersion &) const = default;
};

/// The resources that a task uses or that a worker has.
struct Resources {
  /// CPU in thousandths of a core.
  std::uint32_t MilliCpus = 0;
  /// Memory in mebibytes.
  std::uint32_t MemoryMb = 0;
  /// Number of whole accelerators.
  std::uint32_t Accelerators = 0;

  bool operator==(const Resources &) const = default;
};

/// Whether \p Need fits into \p Free.
inline bool fits(const Resources &Need, const Resources &Free) {
  return Need.MilliCpus <= Free.MilliCpus && Need.MemoryMb <= Free.MemoryMb &&
         Need.Accelerators <= Free.Accelerators;
}

} // namespace comfreydeck::core

/// Allows handles as keys of unordered containers.
template <typename Tag> struct std::hash<comfreydeck::core::Handle<Tag>> {
  std::size_t operator()(const comfreydeck::core::Handle<Tag> &Id) const {
    return std::hash<std::uint32_t>()(Id.Value);
  }
};

template <> struct std::hash<comfreydeck::core::Incarnation> {
  std::size_t operator()(const comfreydeck::core::Incarnation &Id) const {
    return std::hash<std::uint64_t>()(Id.Value);
  }
};

#endif // COMFREYDECK_CORE_TYPES_H
