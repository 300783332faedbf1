#include "entry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace comfreydeck::entry {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;

CounterFamily &makeFamily(prometheus::Registry &Registry, const char *Name,
                          const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

} // namespace

struct Metrics::Impl {
  prometheus::Registry Registry;
  CounterFamily &Answers = makeFamily(Registry, "comfreydeck_answers_total",
                                      "Answers to callers by verdict");
  CounterFamily &Refusals = makeFamily(Registry, "comfreydeck_refusals_total",
                                       "Refusals to callers by reason");
  CounterFamily &Retries = makeFamily(Registry, "comfreydeck_retries_total",
                                      "Repeated attempts by reason");
};

Metrics::Metrics() : Impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::countAnswer(core::Verdict V) {
  Impl_->Answers.Add({{"verdict", std::string(nameOf(V))}}).Increment();
}

void Metrics::countRefusal(core::Reason Why) {
  Impl_->Refusals.Add({{"reason", std::string(nameOf(Why))}}).Increment();
}

void Metrics::countRetry(core::Reason Why) {
  Impl_->Retries.Add({{"reason", std::string(nameOf(Why))}}).Increment();
}

void Metrics::setGauge(const std::string &Name, double Value) {
  prometheus::BuildGauge()
      .Name("comfreydeck_" + Name)
      .Help("State of the entry")
      .Register(Impl_->Registry)
      .Add({})
      .Set(Value);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Impl_->Registry.Collect());
}

} // namespace comfreydeck::entry
