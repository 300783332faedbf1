#ifndef REVIEW_STANDIN_STORE_H
#define REVIEW_STANDIN_STORE_H

#include "Http.h"

#include <array>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

/// What a store does with one call, besides serving it.
enum class StoreFault : std::uint8_t {
  None,
  /// 503: nothing is done.
  Busy,
  /// Does what is asked and resets the connection instead of answering.
  DoAndReset,
};

/// The platform's store, as PROTOCOL.md describes it. Thread-safe.
class Store {
public:
  /// Decides on the fault of a call; also gets the number of the caller.
  using Faults = std::function<StoreFault(std::size_t, const Request &)>;

  Store(std::uint64_t FirstVersion, Faults Decide);

  Response handle(std::size_t Caller, const Request &R);
  /// Writes a row of the operator or of a worker.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  /// Forgets all changes so far: readers that are behind get 410.
  void dropHistory();
  std::uint64_t version();

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  /// Table, part and key.
  using RowKey = std::array<std::string, 3>;

  Response commit(const Request &R);
  Response read(const Request &R);
  Response feed(const Request &R);
  std::string answer(nlohmann::json Body) const;
  static nlohmann::json rowJson(const RowKey &Where, const Row &Stored);

  Faults Decide_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<RowKey, Row> Rows_;
  std::uint64_t Version_;
  std::uint64_t HistoryFrom_;
};

} // namespace review

#endif // REVIEW_STANDIN_STORE_H
