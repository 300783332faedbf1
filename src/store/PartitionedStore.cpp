#include "store/PartitionedStore.h"

namespace comfreydeck::store {

const char *nameOf(PartOutcome Outcome) {
  switch (Outcome) {
  case PartOutcome::Ok:
    return "ok";
  case PartOutcome::Conflict:
    return "conflict";
  case PartOutcome::NotDone:
    return "not-done";
  case PartOutcome::Unknown:
    return "unknown";
  case PartOutcome::HistoryGone:
    return "history-gone";
  }
  return "";
}

} // namespace comfreydeck::store
