#include "core/ConfigChange.h"

#include <doctest/doctest.h>

using namespace comfreydeck::core;

namespace {

ConfigChange changeAfter(const Configuration &C,
                         std::vector<ConfigEdit> Edits) {
  ConfigChange Change;
  Change.Version.Value = C.Version.Value + 1;
  Change.Edits = std::move(Edits);
  return Change;
}

Team team(const char *Name) {
  Team T;
  T.Name = Name;
  T.UpperLimit = 4;
  return T;
}

Configuration sample() {
  Configuration C;
  PutQueue Queue;
  Queue.Name = "sign";
  Queue.Pool = "signing";
  Queue.AllowedTeams = {"beach"};
  return apply(C, changeAfter(C, {PutPool{{{}, "signing"}},
                                  PutTeam{team("beach")}, Queue}));
}

struct BadEdit {
  const char *What;
  ConfigEdit Edit;
};

} // namespace

TEST_CASE("a replaced item keeps its handle") {
  Configuration Before = sample();
  Team T = team("beach");
  T.Share = 7;
  Configuration After = apply(Before, changeAfter(Before, {PutTeam{T}}));
  CHECK(findTeam(After, "beach")->Share == 7);
  CHECK(findTeam(After, "beach")->Id == findTeam(Before, "beach")->Id);
}

TEST_CASE("an edit that can't be applied throws") {
  Configuration Before = sample();
  PutQueue NoPool;
  NoPool.Name = "file";
  NoPool.Pool = "filing";
  const BadEdit Cases[] = {
      {"unknown pool", NoPool},
      {"bad name", PutTeam{team("Beach Club")}},
      {"unknown key", WithdrawKey{KeyId{99}}},
      {"pool in use", RemoveItem{ItemKind::Pool, "signing"}},
      {"last team", RemoveItem{ItemKind::Team, "beach"}},
      {"unknown queue", RemoveItem{ItemKind::Queue, "file"}},
  };
  for (const BadEdit &Case : Cases) {
    CAPTURE(Case.What);
    CHECK_THROWS_AS(apply(Before, changeAfter(Before, {Case.Edit})),
                    ConfigError);
  }
}

TEST_CASE("a change that skips a version is rejected") {
  Configuration Before = sample();
  ConfigChange Change = changeAfter(Before, {PutTeam{team("harbour")}});
  Change.Version.Value += 1;
  CHECK_THROWS_AS(apply(Before, Change), ConfigError);
}

TEST_CASE("LimitSince is the version that last changed a team's limit") {
  Configuration C = sample();
  ConfigVersion First = findTeam(C, "beach")->LimitSince;
  Team Beach = team("beach");
  Beach.Share = 7;
  C = apply(C, changeAfter(C, {PutTeam{Beach}}));
  CHECK(findTeam(C, "beach")->LimitSince == First);
  Beach.UpperLimit += 1;
  C = apply(C, changeAfter(C, {PutTeam{Beach}}));
  CHECK(findTeam(C, "beach")->LimitSince == C.Version);
}
