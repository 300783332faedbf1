#include "jobs/JobSamples.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::jobs;

TEST_CASE("an inherited task starts while a later owner may have extended its "
          "silent worker's lease") {
  OwnerFixture B;
  B.listWorkers({"w1", "w2"});
  B.Owner.inheritJob(sampleJob(1), nullptr, B.Now);
  B.plan();
  B.report("w2");
  B.advance(milliseconds(1000));
  core::TimePoint ConfirmedAt = B.Now;
  B.planConfirmed(ConfirmedAt);
  B.advance(milliseconds(7500));
  B.report("w2");
  SUBCASE("not confirmed since") {
    CHECK(B.planConfirmed(ConfirmedAt).Starts.empty());
  }
  SUBCASE("confirmed since") { CHECK(B.plan().Starts.size() == 1); }
}
