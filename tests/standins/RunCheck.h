#ifndef COMFREYDECK_TESTS_STANDINS_RUNCHECK_H
#define COMFREYDECK_TESTS_STANDINS_RUNCHECK_H

#include <cstdint>
#include <istream>
#include <limits>
#include <map>
#include <string>
#include <vector>

/// Reads the logs that workers, callers and operators wrote during a run, and
/// counts violations of the guarantees.
namespace comfreydeck::standins {

/// Time of an event that did not happen.
constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::max();

/// Start or end of a task, in the order of the workers' log.
struct WorkerEvent {
  bool IsStart = false;
  std::int64_t AtMs = 0;
  std::string Worker;
  std::string Task;
  std::string Team;
  std::string Body;
};

/// One call of a caller and its answer.
struct CallerCall {
  std::string Body;
  std::string Label;
  std::string Verdict;
  bool NonIdempotent = false;
  bool Whole = true;
  std::uint32_t Call = 0;
  std::int64_t SentMs = 0;
  std::int64_t AnsweredMs = 0;
};

/// A change made by an operator, with the times of its request and of its
/// coming into force. Kinds are limit, datacentre-out, datacentre-in and
/// key-withdrawn.
struct OperatorEvent {
  std::string Kind;
  std::string Name;
  std::int64_t Value = 0;
  std::int64_t AskedMs = 0;
  std::int64_t InForceMs = Never;
};

struct Records {
  std::vector<WorkerEvent> Workers;
  std::vector<CallerCall> Callers;
  std::vector<OperatorEvent> Operators;
  std::map<std::string, std::string> DataCentres;
};

/// Violations, each of which must be zero, and general statistics.
struct Counts {
  std::uint64_t DoubledRuns = 0;
  std::uint64_t FalseNotRun = 0;
  std::uint64_t StartsOverLimit = 0;
  std::uint64_t StartsWhileOut = 0;
  std::uint64_t StartsForWithdrawnKey = 0;
  std::uint64_t SwappedAnswers = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Ran = 0;
  std::uint64_t WithoutAnswer = 0;
};

/// These append a log with one JSON object per line, or a JSON instance list,
/// to \p Into. They throw nlohmann::json::exception if the input is malformed.
/// Not thread-safe.
void readWorkerLog(std::istream &Log, Records &Into);
void readCallerLog(std::istream &Log, Records &Into);
void readOperatorLog(std::istream &Log, Records &Into);
void readInstances(std::istream &List, Records &Into);

/// Computes all counts. Thread-safe.
Counts countViolations(const Records &R);

/// Whether there were no violations. Thread-safe.
bool hasNoViolations(const Counts &C);

/// Formats the counts as JSON. Thread-safe.
std::string report(const Counts &C);

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_RUNCHECK_H
