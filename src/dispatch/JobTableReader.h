#ifndef COMFREYDECK_DISPATCH_JOBTABLEREADER_H
#define COMFREYDECK_DISPATCH_JOBTABLEREADER_H

#include "net/Loop.h"
#include "store/PartitionedStore.h"

#include <functional>
#include <memory>
#include <vector>

namespace comfreydeck::dispatch {

/// Reads the job table for pools that this entry has taken. Pools taken at
/// about the same time share one read, so that a narrow link carries the table
/// once. Runs on the loop's thread.
class JobTableReader {
public:
  using Callback =
      std::function<void(std::shared_ptr<const store::PartAnswer>)>;

  JobTableReader(net::Loop &Loop, store::PartitionedStore &Store);

  /// Calls \p Done with an answer to reads that are sent after this call. As
  /// for \ref readPartsPatiently, one failed page doesn't fail it.
  void read(Callback Done);

private:
  void start();

  net::Loop &Loop_;
  store::PartitionedStore &Store_;
  std::vector<Callback> Waiting_;
  bool Reading_ = false;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_JOBTABLEREADER_H
