#ifndef COMFREYDECK_DISPATCH_PAYLOADCACHE_H
#define COMFREYDECK_DISPATCH_PAYLOADCACHE_H

#include "core/Types.h"
#include "net/Loop.h"
#include "store/PartitionedStore.h"

#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace comfreydeck::dispatch {

/// Payloads of jobs, read from the store when first asked for. Keeps those last
/// used, up to a bound of bytes. Runs on the loop's thread and must outlive the
/// store's answers.
class PayloadCache {
public:
  /// Gets null if the payload can't be read in time.
  using Callback = std::function<void(const std::string *Payload)>;

  PayloadCache(net::Loop &Loop, store::PartitionedStore &Store);

  /// Calls \p Done once: at once if the payload is kept, otherwise when it has
  /// been read or the time limit of a read has passed.
  void get(const std::string &JobId, Callback Done);

private:
  struct Kept {
    std::string Payload;
    /// Position in \ref LastUsed_.
    std::list<std::string>::iterator Use;
  };
  /// A read in progress and those who wait for it.
  struct Read {
    std::uint64_t Number = 0;
    std::vector<Callback> Waiting;
  };

  void read(const std::string &JobId);
  void finish(const std::string &JobId, std::uint64_t Number,
              const store::PartAnswer *Answer);
  void keep(const std::string &JobId, std::string Payload);

  net::Loop &Loop_;
  store::PartitionedStore &Store_;
  std::unordered_map<std::string, Kept> Kept_;
  /// Job ids, the one that was used last in front.
  std::list<std::string> LastUsed_;
  std::size_t KeptBytes_ = 0;
  std::unordered_map<std::string, Read> Reads_;
  std::uint64_t ReadCount_ = 0;
};

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_PAYLOADCACHE_H
