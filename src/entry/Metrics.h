#ifndef COMFREYDECK_ENTRY_METRICS_H
#define COMFREYDECK_ENTRY_METRICS_H

#include "core/Verdict.h"

#include <memory>
#include <string>

namespace comfreydeck::entry {

/// The counters of one entry process. Every method is thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// One request was answered.
  void countAnswer(core::Verdict V);
  /// One request was refused.
  void countRefusal(core::Reason Why);
  /// One request is tried once more.
  void countRetry(core::Reason Why);
  /// Sets the gauge of that name.
  void setGauge(const std::string &Name, double Value);

  /// All counters in the text format of Prometheus.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_METRICS_H
