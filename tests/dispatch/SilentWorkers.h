#ifndef COMFREYDECK_TESTS_DISPATCH_SILENTWORKERS_H
#define COMFREYDECK_TESTS_DISPATCH_SILENTWORKERS_H

#include "dispatch/Clock.h"
#include "dispatch/Ports.h"

namespace comfreydeck::tests {

/// Workers that get each order at once and never answer.
struct SilentWorkers : dispatch::WorkerOrders {
  void start(const jobs::WorkerEntry &, std::uint64_t, const jobs::StartOrder &,
             dispatch::SendMark SentAt,
             std::function<void(jobs::OrderResult)>) override {
    setSent(SentAt);
  }
  void stop(const jobs::WorkerEntry &, std::uint64_t, const jobs::StopOrder &,
            std::function<void(jobs::OrderResult)>) override {}
  void report(const jobs::WorkerEntry &, std::uint64_t, const jobs::HoldOrder &,
              dispatch::SendMark SentAt,
              std::function<void(jobs::ReportResult)>) override {
    setSent(SentAt);
  }

protected:
  static void setSent(const dispatch::SendMark &SentAt) {
    if (SentAt)
      SentAt->set(dispatch::bootNow());
  }
};

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_DISPATCH_SILENTWORKERS_H
