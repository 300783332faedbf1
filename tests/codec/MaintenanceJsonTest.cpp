#include "codec/MaintenanceJson.h"

#include "codec/ConfigJson.h"
#include "codec/InstanceJson.h"

#include <doctest/doctest.h>

using namespace comfreydeck;

TEST_CASE("maintenance rows survive a round trip") {
  codec::LedgerRow Ledger;
  Ledger.Ledger.Pool.Value = 3;
  Ledger.Ledger.Permits = {core::WorkerId{4}, core::WorkerId{9}};
  Ledger.Change = "c1";
  codec::LedgerRow LedgerRead = codec::parseLedgerRow(codec::toJson(Ledger));
  CHECK(LedgerRead.Ledger.Permits == Ledger.Ledger.Permits);
  CHECK(LedgerRead.Change == "c1");

  core::Wave W;
  W.Id.Value = 12;
  W.Scope = core::WaveScope::Rack;
  W.Name = "dc1-r2";
  W.State = core::WaveState::Paused;
  W.FailuresAfterUnixMs = 77;
  CHECK(codec::toJson(codec::parseWave(codec::toJson(W))) == codec::toJson(W));

  codec::WavePoolRow Progress{
      W.Id, core::PoolId{3}, {10, 4, 2, 1, 0}, core::WaveHold::Budget, "full"};
  CHECK(codec::parseWavePoolRow(codec::toJson(Progress)) == Progress);
}

TEST_CASE("an instance's planned move and reboot survive a round trip") {
  core::Instance I;
  I.Id.Value = 4;
  I.Name = "w4";
  I.Pool.Value = 3;
  I.State = core::InstanceState::Draining;
  I.MoveTo.Value = 5;
  I.RebootWhenEmpty = true;
  I.Wave.Value = 12;
  I.BootId = "b1";
  I.SinceUnixMs = 99;
  core::Instance Read = codec::parseInstance(codec::toJson(I));
  CHECK(codec::toJson(Read) == codec::toJson(I));
  CHECK(Read.MoveTo == I.MoveTo);
  CHECK(!Read.LastWave.isValid());
}

TEST_CASE("malformed maintenance rows are rejected") {
  for (const char *Text : {"", "{", "[]", "{}", R"({"wave":"x"})"}) {
    CAPTURE(Text);
    CHECK_THROWS_AS(codec::parseWave(Text), codec::CodecError);
    CHECK_THROWS_AS(codec::parseLedgerRow(Text), codec::CodecError);
    CHECK_THROWS_AS(codec::parseWavePoolRow(Text), codec::CodecError);
  }
}
