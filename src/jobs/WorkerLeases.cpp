#include "jobs/PoolState.h"

#include "jobs/PoolTimes_p.h"

#include <algorithm>

/// Leases of workers, the fences that end what was sent before, and how long
/// orders for earlier incarnations matter.
namespace comfreydeck::jobs {

namespace {

using std::chrono::milliseconds;

/// Margin for rounding errors in computed lease ends.
constexpr std::int64_t LeaseSlackMs = 60;
/// A later owner waits longer than needed for orders to earlier incarnations by
/// up to this much.
constexpr milliseconds EarlierOrdersNoteStep(6000);

} // namespace

std::int64_t PoolState::leaseFor(const WorkerState &W,
                                 const PlanInput &In) const {
  if (W.Clock.ShownMs == 0)
    return 0;
  core::Duration Length = std::min(Limits_.Lease, In.AuthorityEnd - In.Now);
  if (Length <= core::Duration::zero())
    return 0;
  // Assume that the worker's clock has run slow since its last answer, so that
  // the lease does not outlast the time for which later owners wait.
  return leastClockMs(W.Clock, In.Now, Limits_.ClockDrift) + toMs(Length);
}

/// Records the lease end of an order; zero stands for an order that grants no
/// lease.
void PoolState::recordLease(WorkerState &W, std::int64_t DeadlineMs,
                            core::TimePoint Now) {
  if (DeadlineMs == 0)
    return;
  W.DeadlineMs = std::max(W.DeadlineMs, DeadlineMs);
  W.LeaseOrderedAt = Now;
}

/// When a lease of the length that began at \p From has expired on any clock.
core::TimePoint PoolState::latestLeaseEnd(core::TimePoint From,
                                          core::Duration Length) const {
  return From + milliseconds(LeaseSlackMs) +
         std::chrono::duration_cast<core::Duration>(Length *
                                                    (1 + Limits_.ClockDrift));
}

/// When all leases that earlier owners granted on the worker have expired. They
/// granted none after the worker's first report to this owner.
core::TimePoint PoolState::earlierLeasesEnd(const WorkerState &W) const {
  core::TimePoint End = latestLeaseEnd(TakenAt_, Limits_.EarlierOrders);
  for (const std::optional<core::TimePoint> &NoOrdersFrom :
       {EarlierStoppedAt_, W.FencedAt})
    if (NoOrdersFrom)
      End = std::min(End, latestLeaseEnd(*NoOrdersFrom, Limits_.Lease));
  return std::max(End, inheritedOrdersEnd(W));
}

/// When all leases have expired that orders of earlier owners for earlier
/// incarnations gave the present one: on its clock, the ends that they name may
/// lie far ahead. Only what those owners stored tells whether they knew this
/// incarnation, since its clock may begin anywhere.
core::TimePoint PoolState::inheritedOrdersEnd(const WorkerState &W) const {
  if (!W.InheritedBorn)
    return TakenAt_;
  core::TimePoint LastPlanned =
      std::min(TakenAt_ + Limits_.EarlierOrders,
               EarlierStoppedAt_.value_or(core::TimePoint::max()));
  core::TimePoint End =
      latestLeaseEnd(LastPlanned + Limits_.LateOrder, Limits_.MaxLease);
  if (!isUnknownToEarlierOwners(W) && W.InheritedOrdersUntil)
    End = std::min(End, *W.InheritedOrdersUntil);
  if (W.FencedAt && !W.DoubtedSince)
    End = std::min(End, latestLeaseEnd(*W.FencedAt, Limits_.MaxLease));
  return End;
}

/// For how long orders for earlier incarnations may still reach the present
/// one, or the leases hold that they gave it.
core::Duration PoolState::earlierOrdersLeft(const WorkerState &W,
                                            core::TimePoint Now) const {
  core::TimePoint End = inheritedOrdersEnd(W);
  if (mayHaveEarlierOrder(W, Now))
    End = std::max(End, W.EarlierOrdersUntil);
  return std::max(End - Now, core::Duration::zero());
}

/// Has the time stored for which later owners have to wait for orders to
/// earlier incarnations.
void PoolState::noteEarlierOrders(core::TimePoint Now) {
  for (auto &[Id, W] : Workers_) {
    if (!W->Enrolled || W->NotedEarlierOrders == core::Duration::zero())
      continue;
    core::Duration Left = earlierOrdersLeft(*W, Now);
    if (W->NotedEarlierOrders && Left > core::Duration::zero() &&
        *W->NotedEarlierOrders - Left < EarlierOrdersNoteStep)
      continue;
    W->NotedEarlierOrders = Left;
    Outbox_.enrol(Id);
  }
}

/// Whether a later owner may have heard the worker before it restarted and
/// forgot that owner's fence. One that takes over after the report to this
/// owner hears the worker again.
bool PoolState::mayHaveLaterOwner(const WorkerState &W,
                                  const PlanInput &In) const {
  core::TimePoint OwnerUntil = In.AuthorityEnd - Limits_.Authority;
  return W.Restarted && (!W.FencedAt || OwnerUntil < *W.FencedAt);
}

/// Whether a later owner may have heard the worker, and the worker may have
/// restarted since and forgotten that owner's fence.
bool PoolState::mayHaveRestartedUnseen(const WorkerState &W,
                                       const PlanInput &In) const {
  core::TimePoint OwnerUntil = In.AuthorityEnd - Limits_.Authority;
  core::TimePoint SureUntil =
      std::max(OwnerUntil, W.ReportMadeAt.value_or(OwnerUntil));
  return In.Now - SureUntil > Limits_.UnseenRestart;
}

/// Fence of the next order for the worker.
std::uint64_t PoolState::fenceOf(const WorkerState &W) const {
  return (Token_ << FenceStepBits) + W.FenceStep;
}

/// Fences the owner if the step does not fit beside its token: the fence would
/// be one of a later owner.
void PoolState::checkFenceStep(std::uint32_t Step) {
  FenceUsedUp_ = FenceUsedUp_ || Step >> FenceStepBits != 0;
  Fenced_ = Fenced_ || FenceUsedUp_;
}

/// Raises the fence, so that the worker's next report settles which of the
/// starts sent before have run: it refuses those that arrive later.
void PoolState::raiseFence(WorkerState &W) {
  checkFenceStep(++W.FenceStep);
  W.FenceRaised = true;
  W.NextHold = std::min(W.NextHold, Now_);
}

/// Records that the worker's present incarnation refuses orders below the
/// fence.
void PoolState::settleByFence(WorkerState &W, std::uint64_t Fence,
                              core::TimePoint Now) {
  W.FenceRaised = W.FenceRaised && Fence < fenceOf(W);
  std::erase_if(W.LostStarts,
                [&](const LostStart &S) { return S.Fence < Fence; });
  if (Fence > W.EarlierFence)
    W.EarlierOrdersUntil =
        std::min(W.EarlierOrdersUntil, latestLeaseEnd(Now, Limits_.MaxLease));
}

/// Whether an order for an earlier incarnation may have given the present one a
/// lease that has not expired.
bool PoolState::mayHaveEarlierOrder(const WorkerState &W,
                                    core::TimePoint Now) const {
  if (Now >= W.EarlierOrdersUntil)
    return false;
  return W.Clock.ShownMs == 0 ||
         leastClockMs(W.Clock, Now, Limits_.ClockDrift) <
             W.EarlierDeadlineMs + LeaseSlackMs;
}

/// Whether an order that gave a lease may still reach the next incarnation of a
/// worker whose last call failed, or the lease that it gave there may hold.
bool PoolState::mayReachNextIncarnation(const WorkerState &W,
                                        core::TimePoint Now) const {
  return !W.Ended && !W.IncarnationConfirmed && W.LeaseOrderedAt &&
         Now < latestLeaseEnd(*W.LeaseOrderedAt + Limits_.LateOrder,
                              Limits_.MaxLease);
}

/// Whether it would be known soon that a lasting task is lost with the worker.
bool PoolState::mayHostLasting(const WorkerState &W,
                               core::TimePoint Now) const {
  return earlierOrdersLeft(W, Now) <= Limits_.LastingLoss;
}

bool PoolState::leaseLapsed(const WorkerState &W, core::TimePoint Now) const {
  if (Now < earlierLeasesEnd(W) || mayHaveEarlierOrder(W, Now))
    return false;
  return W.DeadlineMs == 0 || leastClockMs(W.Clock, Now, Limits_.ClockDrift) >=
                                  W.DeadlineMs + LeaseSlackMs;
}

} // namespace comfreydeck::jobs
