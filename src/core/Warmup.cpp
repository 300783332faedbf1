#include "core/Warmup.h"

#include <algorithm>

namespace comfreydeck::core {

std::uint32_t warmSlots(std::uint32_t Slots, std::int64_t SinceMs,
                        std::int64_t WarmUpMs) {
  if (SinceMs >= WarmUpMs || Slots == 0)
    return Slots;
  std::int64_t Grown = std::max<std::int64_t>(0, SinceMs) * Slots / WarmUpMs;
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Grown), 1, Slots);
}

} // namespace comfreydeck::core
