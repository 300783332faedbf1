#ifndef COMFREYDECK_CORE_LINEFIT_H
#define COMFREYDECK_CORE_LINEFIT_H

#include <span>

/// A straight line through measured points.
namespace comfreydeck::core {

struct Point {
  double X = 0;
  double Y = 0;
};

/// y = Offset + Slope * x.
struct LineFit {
  double Slope = 0;
  double Offset = 0;
  /// The largest distance of a point from the line, over the largest y.
  double WorstResidual = 0;
};

/// Least squares over \p Points. Precondition: two points or more whose x
/// differ. Thread-safe.
LineFit fitLine(std::span<const Point> Points);

/// The line's value at \p X. Thread-safe.
double valueAt(const LineFit &Fit, double X);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_LINEFIT_H
