#include "dispatch/Counters.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace comfreydeck::dispatch {

struct Counters::Impl {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Answers =
      prometheus::BuildCounter()
          .Name("comfreydeck_job_answers_total")
          .Help("Answers to callers by call, status and reason")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Retries =
      prometheus::BuildCounter()
          .Name("comfreydeck_job_retries_total")
          .Help("Second tries by reason")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &Times =
      prometheus::BuildHistogram()
          .Name("comfreydeck_job_call_seconds")
          .Help("Time from a call to its answer")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Gauges =
      prometheus::BuildGauge()
          .Name("comfreydeck_job_state")
          .Help("State of the entry by name")
          .Register(Registry);
};

Counters::Counters() : Impl_(std::make_unique<Impl>()) {}
Counters::~Counters() = default;

void Counters::answered(const char *Call, int Status, const char *Reason) {
  Impl_->Answers
      .Add({{"call", Call},
            {"status", std::to_string(Status)},
            {"reason", Reason}})
      .Increment();
}

void Counters::retried(const char *Reason) {
  Impl_->Retries.Add({{"reason", Reason}}).Increment();
}

void Counters::took(const char *Call, double Seconds) {
  static const prometheus::Histogram::BucketBoundaries Bounds = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5};
  Impl_->Times.Add({{"call", Call}}, Bounds).Observe(Seconds);
}

void Counters::gauge(const std::string &Name, double Value) {
  Impl_->Gauges.Add({{"name", Name}}).Set(Value);
}

std::string Counters::text() const {
  return prometheus::TextSerializer().Serialize(Impl_->Registry.Collect());
}

} // namespace comfreydeck::dispatch
