#include "core/LineFit.h"

#include <algorithm>
#include <cmath>

namespace comfreydeck::core {

namespace {

double worstResidual(std::span<const Point> Points, const LineFit &Fit) {
  double Worst = 0;
  double Highest = 0;
  for (const Point &P : Points) {
    Worst = std::max(Worst, std::abs(P.Y - valueAt(Fit, P.X)));
    Highest = std::max(Highest, std::abs(P.Y));
  }
  return Highest > 0 ? Worst / Highest : 0;
}

} // namespace

LineFit fitLine(std::span<const Point> Points) {
  double MeanX = 0;
  double MeanY = 0;
  for (const Point &P : Points) {
    MeanX += P.X / static_cast<double>(Points.size());
    MeanY += P.Y / static_cast<double>(Points.size());
  }
  double Covariance = 0;
  double Variance = 0;
  for (const Point &P : Points) {
    Covariance += (P.X - MeanX) * (P.Y - MeanY);
    Variance += (P.X - MeanX) * (P.X - MeanX);
  }
  LineFit Fit;
  Fit.Slope = Covariance / Variance;
  Fit.Offset = MeanY - Fit.Slope * MeanX;
  Fit.WorstResidual = worstResidual(Points, Fit);
  return Fit;
}

double valueAt(const LineFit &Fit, double X) {
  return Fit.Offset + Fit.Slope * X;
}

} // namespace comfreydeck::core
