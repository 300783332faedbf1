#ifndef COMFREYDECK_DISPATCH_PROGRESSROWS_H
#define COMFREYDECK_DISPATCH_PROGRESSROWS_H

#include "jobs/PoolState.h"
#include "store/PartitionedStore.h"

#include <map>
#include <span>
#include <string>

namespace comfreydeck::dispatch {

/// Rows of jobs' progress by their keys.
using RowsByKey = std::map<std::string, const store::PartRow *>;

/// The views are valid as long as \p Rows.
RowsByKey rowsByKey(std::span<const store::PartRow> Rows);

/// Decodes a job's progress from its row and those that belong to it. Throws
/// std::invalid_argument if one is malformed or missing, std::out_of_range if
/// the job has no row. Thread-safe.
jobs::JobProgress progressOf(const RowsByKey &Rows, const std::string &JobId);

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_PROGRESSROWS_H
