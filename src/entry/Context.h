#ifndef COMFREYDECK_ENTRY_CONTEXT_H
#define COMFREYDECK_ENTRY_CONTEXT_H

#include "cluster/PeerClient.h"
#include "entry/Metrics.h"
#include "net/HttpClient.h"
#include "net/Loop.h"
#include "settings/Settings.h"
#include "store/InstanceList.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

/// One entry process: its control thread, its traffic threads and the state
/// they share.
namespace comfreydeck::entry {

/// Dependencies of all parts of an entry. The referenced objects outlive the
/// parts.
struct Context {
  const settings::Settings &Settings;
  core::Incarnation Self;
  /// The control thread.
  net::Loop &Control;
  store::TableService &Tables;
  store::ObjectStore &Objects;
  store::InstanceList &Instances;
  /// For calls to workers and to the callers' interface of other entries.
  net::HttpClient &Workers;
  cluster::PeerClient &Peers;
  Metrics &Counters;
  /// May be used only on the control thread.
  core::Rng &Random;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CONTEXT_H
