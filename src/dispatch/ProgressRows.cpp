#include "dispatch/ProgressRows.h"

#include "codec/JobJson.h"
#include "dispatch/Context.h"

namespace comfreydeck::dispatch {

RowsByKey rowsByKey(std::span<const store::PartRow> Rows) {
  RowsByKey ByKey;
  for (const store::PartRow &Row : Rows)
    ByKey[Row.Where.Key] = &Row;
  return ByKey;
}

jobs::JobProgress progressOf(const RowsByKey &Rows, const std::string &JobId) {
  codec::ProgressRow First = codec::decodeProgressRow(Rows.at(JobId)->Value);
  for (std::size_t N = 1; N <= First.FurtherRows; ++N) {
    auto Further = Rows.find(rows::progressKey(JobId, N));
    if (Further == Rows.end())
      throw std::invalid_argument("a row of the job's progress is missing");
    codec::addFurtherRow(First.Progress, Further->second->Value);
  }
  return std::move(First.Progress);
}

} // namespace comfreydeck::dispatch
