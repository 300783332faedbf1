#include "core/Estimates.h"

#include <algorithm>
#include <cmath>

namespace comfreydeck::core {

namespace {

/// Smoothing factor of run times.
constexpr double RunGain = 0.1;
/// Fraction by which the size ratio approaches each smaller report.
constexpr double SizeDecay = 0.02;
/// Maximum factor by which one report may raise the size ratio.
constexpr double MaxSizeGrowth = 2;
constexpr double MinRatio = 1.0 / 16;
constexpr double MaxRatio = 16;
/// Minimum number of reports before a declared size is corrected.
constexpr std::uint32_t SizeSamplesNeeded = 5;
constexpr Duration DefaultRun = std::chrono::seconds(1);
constexpr Duration MinRun = std::chrono::milliseconds(1);

double ratioOf(std::uint32_t Used, std::uint32_t Declared) {
  return Declared == 0 ? 0 : static_cast<double>(Used) / Declared;
}

std::uint32_t scaled(std::uint32_t Value, double Ratio) {
  return static_cast<std::uint32_t>(std::ceil(Value * Ratio));
}

} // namespace

void observeRun(Estimates &E, WorkClass Class, Duration Declared,
                Duration Ran) {
  ObservedWork &Seen = E.Classes[Class];
  Duration Run = std::max(Ran, MinRun);
  double Gain = std::max(RunGain, 1.0 / (Seen.RunSamples + 1));
  double RunUs = static_cast<double>(Seen.Run.count());
  RunUs += Gain * (static_cast<double>(Run.count()) - RunUs);
  Seen.Run = Duration(static_cast<std::int64_t>(RunUs));
  if (Declared.count() > 0) {
    double Ratio = static_cast<double>(Run.count()) /
                   static_cast<double>(Declared.count());
    Ratio = std::clamp(Ratio, MinRatio, MaxRatio);
    Seen.RunRatio += Gain * (Ratio - Seen.RunRatio);
  }
  ++Seen.RunSamples;
}

void observeSize(Estimates &E, WorkClass Class, const Resources &Declared,
                 const Resources &Used) {
  double Ratio = std::max(ratioOf(Used.MilliCpus, Declared.MilliCpus),
                          ratioOf(Used.MemoryMb, Declared.MemoryMb));
  if (Ratio == 0)
    return;
  ObservedWork &Seen = E.Classes[Class];
  double Upper = std::min(MaxRatio, Seen.SizeRatio * MaxSizeGrowth);
  double Target = std::clamp(Ratio, MinRatio, Upper);
  if (Target >= Seen.SizeRatio)
    Seen.SizeRatio = Target;
  else
    Seen.SizeRatio += SizeDecay * (Target - Seen.SizeRatio);
  ++Seen.SizeSamples;
}

Duration expectedRun(const Estimates &E, WorkClass Class, Duration Declared) {
  auto It = E.Classes.find(Class);
  if (It == E.Classes.end() || It->second.RunSamples == 0)
    return Declared.count() > 0 ? Declared : DefaultRun;
  if (Declared.count() == 0)
    return std::max(It->second.Run, MinRun);
  double Us = static_cast<double>(Declared.count()) * It->second.RunRatio;
  return std::max(Duration(static_cast<std::int64_t>(Us)), MinRun);
}

Resources expectedSize(const Estimates &E, WorkClass Class,
                       const Resources &Declared) {
  auto It = E.Classes.find(Class);
  if (It == E.Classes.end() || It->second.SizeSamples < SizeSamplesNeeded)
    return Declared;
  double Ratio = It->second.SizeRatio;
  // Accelerators are whole devices and are allocated as declared.
  return {scaled(Declared.MilliCpus, Ratio), scaled(Declared.MemoryMb, Ratio),
          Declared.Accelerators};
}

} // namespace comfreydeck::core
