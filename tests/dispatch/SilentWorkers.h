#ifndef COMFREYDECK_TESTS_DISPATCH_SILENTWORKERS_H
#define COMFREYDECK_TESTS_DISPATCH_SILENTWORKERS_H

#include "dispatch/Ports.h"

namespace comfreydeck::tests {

/// Workers that never answer an order.
struct SilentWorkers : dispatch::WorkerOrders {
  void start(const jobs::WorkerEntry &, std::uint64_t, const jobs::StartOrder &,
             std::function<void(jobs::OrderResult)>) override {}
  void stop(const jobs::WorkerEntry &, std::uint64_t, const jobs::StopOrder &,
            std::function<void(jobs::OrderResult)>) override {}
  void report(const jobs::WorkerEntry &, std::uint64_t, const jobs::HoldOrder &,
              std::function<void(jobs::ReportResult)>) override {}
};

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_DISPATCH_SILENTWORKERS_H
