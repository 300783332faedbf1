#include "dispatch/EarlierOwners.h"

#include "dispatch/Clock.h"
#include "dispatch/EventLog.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::dispatch {

namespace {

/// Pause before owners that have not answered are asked again.
constexpr std::chrono::milliseconds AskAgain(300);

} // namespace

EarlierOwners::EarlierOwners(net::Loop &Loop, std::string Pool,
                             std::uint64_t Token, StopQuery Query)
    : Loop_(Loop), Pool_(std::move(Pool)), Token_(Token),
      Query_(std::move(Query)) {}

void EarlierOwners::stop(const std::vector<jobs::EarlierOwner> &Owners,
                         core::TimePoint TakenAt,
                         std::function<void(core::TimePoint)> Stopped) {
  Stopped_ = std::move(Stopped);
  for (const jobs::EarlierOwner &Earlier : Owners) {
    Owner Asked;
    Asked.Name = Earlier.Name;
    // Released before the pool was taken.
    if (Earlier.Name.empty())
      Asked.StoppedAt = TakenAt;
    bool Known =
        std::any_of(Owners_.begin(), Owners_.end(), [&](const Owner &Other) {
          return Other.Name == Earlier.Name;
        });
    if (!Known)
      Owners_.push_back(std::move(Asked));
  }
  ask();
}

void EarlierOwners::ask() {
  finishIfAllStopped();
  if (Cancelled_ || !Stopped_)
    return;
  auto Self = shared_from_this();
  for (std::size_t N = 0; N < Owners_.size(); ++N)
    if (!Owners_[N].StoppedAt)
      Query_(Owners_[N].Name, Pool_, Token_,
             [Self, N](std::optional<core::Duration> StoppedFor) {
               if (StoppedFor)
                 Self->Owners_[N].StoppedAt = bootNow() - *StoppedFor;
               Self->finishIfAllStopped();
             });
  Loop_.after(AskAgain, [Self] { Self->ask(); });
}

void EarlierOwners::finishIfAllStopped() {
  bool AllStopped =
      std::all_of(Owners_.begin(), Owners_.end(),
                  [](const Owner &O) { return O.StoppedAt.has_value(); });
  if (Cancelled_ || !AllStopped || !Stopped_)
    return;
  core::TimePoint Last;
  for (const Owner &O : Owners_)
    Last = std::max(Last, *O.StoppedAt);
  if (!Owners_.empty())
    logEvent("earlier_owners_stopped",
             {{"pool", Pool_},
              {"token", Token_},
              {"owners", Owners_.size()},
              {"since_ms", core::inMs(bootNow() - Last)}});
  std::exchange(Stopped_, nullptr)(Last);
}

} // namespace comfreydeck::dispatch
