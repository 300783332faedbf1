#ifndef COMFREYDECK_ENTRY_METRICS_H
#define COMFREYDECK_ENTRY_METRICS_H

#include "core/Verdict.h"

#include <memory>
#include <string>

namespace comfreydeck::entry {

/// The metrics of one entry process. Every method is thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Counts one answer to a caller.
  void countAnswer(core::Verdict V);
  /// Counts one refusal to a caller.
  void countRefusal(core::Reason Why);
  /// Counts one repeated attempt.
  void countRetry(core::Reason Why);
  /// Sets the gauge comfreydeck_\p Name, which is created on first use.
  void setGauge(const std::string &Name, double Value);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_METRICS_H
