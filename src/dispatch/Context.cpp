#include "dispatch/Context.h"

namespace comfreydeck::dispatch::rows {

std::string jobPart(const std::string &JobId) {
  // Ids are random, so the last digit spreads them evenly.
  std::uint32_t Digit =
      JobId.empty() ? 0 : static_cast<unsigned char>(JobId.back());
  return std::to_string(Digit % JobParts);
}

std::vector<std::string> jobParts() {
  std::vector<std::string> Parts;
  for (std::uint32_t N = 0; N < JobParts; ++N)
    Parts.push_back(std::to_string(N));
  return Parts;
}

std::string entryPart(const std::string &Entry) {
  // All entries must agree on the partition, so no hash of this process.
  std::uint32_t Sum = 0;
  for (char Letter : Entry)
    Sum = Sum * 31 + static_cast<unsigned char>(Letter);
  return EntryPrefix + std::to_string(Sum % EntryParts);
}

std::vector<std::string> entryParts() {
  std::vector<std::string> Parts;
  for (std::uint32_t N = 0; N < EntryParts; ++N)
    Parts.push_back(EntryPrefix + std::to_string(N));
  return Parts;
}

std::string progressKey(const std::string &JobId, std::size_t Row) {
  return Row == 0 ? JobId : JobId + FurtherRowMark + std::to_string(Row);
}

std::string poolPart(const std::string &Pool) { return PoolPrefix + Pool; }

} // namespace comfreydeck::dispatch::rows
