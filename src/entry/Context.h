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

/// One entry process: its control thread, its traffic and what joins them.
namespace comfreydeck::entry {

/// What every part of an entry is built from. The referents outlive the parts.
struct Context {
  const settings::Settings &Settings;
  core::Incarnation Self;
  /// The control thread.
  net::Loop &Control;
  store::TableService &Tables;
  store::ObjectStore &Objects;
  store::InstanceList &Instances;
  /// Calls to workers and to other entries' callers' interface.
  net::HttpClient &Workers;
  cluster::PeerClient &Peers;
  Metrics &Counters;
  /// Only on the control thread.
  core::Rng &Random;
};

} // namespace comfreydeck::entry

#endif // COMFREYDECK_ENTRY_CONTEXT_H
