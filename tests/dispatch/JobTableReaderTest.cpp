#include "dispatch/JobTableReader.h"

#include "dispatch/Context.h"
#include "dispatch/InMemoryStore.h"

#include <doctest/doctest.h>

#include <future>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;
using namespace comfreydeck::tests;

TEST_CASE("pools that are taken together share one read of the job table") {
  net::Loop Loop;
  InMemoryStore Store;
  Store.put({rows::Jobs, rows::jobParts().front(), "1"}, "");
  JobTableReader Reader(Loop, Store);
  Loop.start();
  std::promise<void> Done;
  std::vector<std::shared_ptr<const store::PartAnswer>> Answers;
  Loop.post([&] {
    for (int Pool = 0; Pool < 3; ++Pool)
      Reader.read([&](std::shared_ptr<const store::PartAnswer> Answer) {
        Answers.push_back(std::move(Answer));
        // Begins while the read is still in progress.
        if (Answers.size() == 1)
          Reader.read([&](std::shared_ptr<const store::PartAnswer> Later) {
            Answers.push_back(std::move(Later));
            Done.set_value();
          });
      });
  });
  Done.get_future().wait();
  Loop.stop();
  REQUIRE(Answers.size() == 4);
  CHECK(Answers[0] == Answers[1]);
  CHECK(Answers[0] == Answers[2]);
  CHECK(Answers[0] != Answers[3]);
  CHECK(Answers[0]->Rows.size() == 1);
  CHECK(Store.readCount() == 2 * rows::JobParts);
}
