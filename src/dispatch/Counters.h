#ifndef COMFREYDECK_DISPATCH_COUNTERS_H
#define COMFREYDECK_DISPATCH_COUNTERS_H

#include <memory>
#include <string>

namespace comfreydeck::dispatch {

/// The counters of one entry of the job path. Every method is thread-safe.
class Counters {
public:
  Counters();
  ~Counters();

  Counters(const Counters &) = delete;
  Counters &operator=(const Counters &) = delete;

  /// One call was answered with that status; \p Reason names a refusal.
  void answered(const char *Call, int Status, const char *Reason);
  /// Something was tried once more.
  void retried(const char *Reason);
  /// How long a call took, in seconds.
  void took(const char *Call, double Seconds);
  void gauge(const std::string &Name, double Value);

  /// All counters in the text format of Prometheus.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_COUNTERS_H
