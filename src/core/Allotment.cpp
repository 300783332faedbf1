#include "core/Allotment.h"

#include <algorithm>

namespace comfreydeck::core {

namespace {

/// The limit to apply. An owner whose configuration is older than the row uses
/// the lower of the two limits.
std::uint32_t boundOf(const AllotmentRow &Row, TeamLimit Limit) {
  if (Row.WrittenUnder.Since > Limit.Since)
    return std::min(Row.WrittenUnder.Tasks, Limit.Tasks);
  return Limit.Tasks;
}

/// Tasks that a pool wants beyond its part.
std::uint32_t shortfallOf(const AllotmentRow &Row, PoolId Pool) {
  auto It = Row.Wanted.find(Pool);
  std::uint32_t Wanted = It == Row.Wanted.end() ? 0 : It->second;
  std::uint32_t Given = givenTo(Row, Pool);
  return Wanted > Given ? Wanted - Given : 0;
}

std::uint32_t shortfallOfOthers(const AllotmentRow &Row, PoolId Pool) {
  std::uint32_t Shortfall = 0;
  for (const auto &[Other, Wanted] : Row.Wanted)
    Shortfall += Other == Pool ? 0 : shortfallOf(Row, Other);
  return Shortfall;
}

/// Pools that want more than their part, \p Pool always included.
std::uint32_t countPoolsInNeed(const AllotmentRow &Row, PoolId Pool) {
  std::uint32_t Count = 1;
  for (const auto &[Other, Wanted] : Row.Wanted)
    Count += Other != Pool && shortfallOf(Row, Other) > 0 ? 1 : 0;
  return Count;
}

std::uint32_t needOf(const PoolUse &Use) {
  return std::max(Use.Running, std::min(Use.Running + Use.Waiting, Use.Slots));
}

/// The part that the pool keeps while others want more: its recent peak, or an
/// equal part if it wants more as well.
std::uint32_t retainedPart(const AllotmentRow &Row, PoolId Pool,
                           const PoolUse &Use, std::uint32_t Limit) {
  std::uint32_t Equal = Limit / countPoolsInNeed(Row, Pool);
  bool WantsMore = needOf(Use) >= givenTo(Row, Pool);
  std::uint32_t Keep = WantsMore ? Equal : std::max(needOf(Use), Use.Peak);
  return std::min(Keep, givenTo(Row, Pool));
}

void lowerCeiling(AllotmentView &View, std::uint32_t Bound) {
  View.Ceiling = std::min(View.Ceiling.value_or(Bound), Bound);
}

/// While the parts exceed the limit, each pool reduces its own in proportion,
/// but not below its running tasks.
std::optional<AllotmentRow> rowBelowLimit(AllotmentView &View, PoolId Pool,
                                          const PoolUse &Use,
                                          std::uint32_t Limit) {
  std::uint32_t Given = givenTo(View.Row, Pool);
  std::uint64_t Sum = totalGiven(View.Row);
  auto Part = static_cast<std::uint32_t>(std::uint64_t{Given} * Limit /
                                         std::max<std::uint64_t>(Sum, 1));
  std::uint32_t Target = std::max(Use.Running, Part);
  if (Target >= Given)
    return std::nullopt;
  AllotmentRow Next = View.Row;
  Next.Given[Pool] = Target;
  lowerCeiling(View, Target);
  return Next;
}

/// Transfers what this pool does not keep to the pools that want more.
std::optional<AllotmentRow> rowWithTransfer(AllotmentView &View, PoolId Pool,
                                            const PoolUse &Use,
                                            std::uint32_t Limit) {
  if (shortfallOfOthers(View.Row, Pool) == 0)
    return std::nullopt;
  std::uint32_t Given = givenTo(View.Row, Pool);
  std::uint32_t Keep = retainedPart(View.Row, Pool, Use, Limit);
  std::uint32_t Transfer =
      std::min(Given - Keep, shortfallOfOthers(View.Row, Pool));
  if (Transfer == 0)
    return std::nullopt;
  // No new task starts in the part to be transferred, even while running tasks
  // still occupy it.
  lowerCeiling(View, Given - Transfer);
  if (Use.Running >= Given)
    return std::nullopt;
  Transfer = std::min(Transfer, Given - Use.Running);
  AllotmentRow Next = View.Row;
  Next.Given[Pool] -= Transfer;
  for (const auto &[Other, Wanted] : View.Row.Wanted) {
    if (Other == Pool)
      continue;
    std::uint32_t Part = std::min(Transfer, shortfallOf(View.Row, Other));
    Next.Given[Other] += Part;
    Transfer -= Part;
  }
  return Next;
}

/// Takes from the unassigned part of the limit, and announces to the other
/// pools what is still missing.
std::optional<AllotmentRow> rowWithMore(const AllotmentView &View, PoolId Pool,
                                        const PoolUse &Use,
                                        std::uint32_t Limit) {
  std::uint32_t Need = needOf(Use);
  std::uint32_t Given = givenTo(View.Row, Pool);
  auto Free = static_cast<std::uint32_t>(Limit - totalGiven(View.Row));
  AllotmentRow Next = View.Row;
  if (Need > Given && Free > 0) {
    // More than the current need, so that a growing burst causes few writes.
    std::uint32_t Equal = Limit / std::max(Use.PoolCount, 1U);
    std::uint32_t Target = std::min(std::max(2 * Need, Equal), Use.Slots);
    Target = std::max(Target, Need);
    Given += std::min(Target - Given, Free);
    Next.Given[Pool] = Given;
  }
  std::uint32_t Announced = Next.Wanted.contains(Pool) ? Next.Wanted[Pool] : 0;
  if (Need > Given && (Announced < Need - Need / 4 || Announced > 2 * Need))
    Next.Wanted[Pool] = Need;
  if (Need <= Given && Announced > Given)
    Next.Wanted.erase(Pool);
  return Next == View.Row ? std::nullopt : std::optional(Next);
}

} // namespace

std::uint64_t totalGiven(const AllotmentRow &Row) {
  std::uint64_t Sum = 0;
  for (const auto &[Pool, Given] : Row.Given)
    Sum += Given;
  return Sum;
}

std::uint32_t givenTo(const AllotmentRow &Row, PoolId Pool) {
  auto It = Row.Given.find(Pool);
  return It == Row.Given.end() ? 0 : It->second;
}

std::uint32_t usableAllotment(const AllotmentView &View, PoolId Pool,
                              TeamLimit Limit) {
  if (!View.Known || View.Row.WrittenUnder.Since < Limit.Since ||
      totalGiven(View.Row) > boundOf(View.Row, Limit))
    return 0;
  std::uint32_t Given = givenTo(View.Row, Pool);
  return std::min(Given, View.Ceiling.value_or(Given));
}

bool mayWriteRow(std::optional<TimePoint> LastWrite, TimePoint Now) {
  return !LastWrite || Now - *LastWrite >= AllotmentWriteGap;
}

std::optional<AllotmentRow> nextRow(AllotmentView &View, PoolId Pool,
                                    const PoolUse &Use, TeamLimit Limit) {
  if (View.Row.WrittenUnder.Since < Limit.Since) {
    AllotmentRow Next = View.Row;
    Next.WrittenUnder = Limit;
    return Next;
  }
  std::uint32_t Bound = boundOf(View.Row, Limit);
  if (totalGiven(View.Row) > Bound)
    return rowBelowLimit(View, Pool, Use, Bound);
  if (std::optional<AllotmentRow> Transfer =
          rowWithTransfer(View, Pool, Use, Bound))
    return Transfer;
  return rowWithMore(View, Pool, Use, Bound);
}

void updateView(AllotmentView &View, const AllotmentRow &Row,
                std::uint64_t Version) {
  if (View.Known && Version <= View.Version)
    return;
  View.Known = true;
  View.Row = Row;
  View.Version = Version;
  View.Ceiling.reset();
  View.Uncertain = false;
}

void onNotApplied(AllotmentView &View) {
  if (!View.Uncertain)
    View.Ceiling.reset();
}

void onOutcomeUnknown(AllotmentView &View) { View.Uncertain = true; }

} // namespace comfreydeck::core
