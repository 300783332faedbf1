#include "dispatch/FleetView.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::dispatch;

namespace {

store::PartRow entryRow(const std::string &Value) {
  store::PartRow Row;
  Row.Where = {rows::Control, "", std::string(rows::EntryPrefix) + "e1"};
  Row.Value = Value;
  Row.Version = 7;
  return Row;
}

} // namespace

TEST_CASE("an entry's row tells its capacity") {
  jobs::EntryView Entry;
  Entry.Life = "1";
  Entry.PeerAddress = "10.0.0.1:7000";
  Entry.DataCentre = "dc1";
  Entry.Capacity = 480;
  jobs::EntryView Read =
      FleetView::decodeEntry(entryRow(FleetView::entryValue(Entry, 3)));
  CHECK(Read.Name == "e1");
  CHECK(Read.Capacity == 480);
  CHECK(Read.PeerAddress == Entry.PeerAddress);
  CHECK(Read.Version == 7);
}

TEST_CASE("the row of an entry that tells no capacity is read too") {
  jobs::EntryView Read = FleetView::decodeEntry(entryRow(
      R"({"life":"1","peer":"10.0.0.1:7000","dc":"dc1","leaving":true,"beat":4})"));
  CHECK(Read.Capacity == jobs::UnknownCapacity);
  CHECK(Read.Leaving);
}
