#ifndef COMFREYDECK_CORE_LINEFIT_H
#define COMFREYDECK_CORE_LINEFIT_H

#include <span>

/// Least-squares fit of a straight line.
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

/// Fits a line to \p Points by least squares. Precondition: at least two points
/// have different x. Thread-safe.
LineFit fitLine(std::span<const Point> Points);

/// The line's value at \p X. Thread-safe.
double valueAt(const LineFit &Fit, double X);

} // namespace comfreydeck::core

#endif // COMFREYDECK_CORE_LINEFIT_H
