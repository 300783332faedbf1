#include "jobs/PresumedEnd.h"

#include <algorithm>
#include <utility>

namespace comfreydeck::jobs {

namespace {

constexpr std::size_t MaxPresumedEnds = 1000;

} // namespace

const char *nameOf(PresumedCause Cause) {
  switch (Cause) {
  case PresumedCause::StartRefused:
    return "start-refused";
  case PresumedCause::LeaseLapsed:
    return "lease-lapsed";
  case PresumedCause::WorkerRestarted:
    return "worker-restarted";
  case PresumedCause::WorkerReplaced:
    return "worker-replaced";
  case PresumedCause::MachineListed:
    return "machine-listed";
  case PresumedCause::MachineOrdered:
    return "machine-ordered";
  case PresumedCause::NotReported:
    return "not-reported";
  }
  return "";
}

void PresumedEnds::add(PresumedEnd End) {
  Latest_.push_back(std::move(End));
  if (Latest_.size() > MaxPresumedEnds)
    Latest_.pop_front();
}

std::optional<PresumedEnd> PresumedEnds::take(const TaskRef &Task, RunId Run) {
  auto At =
      std::find_if(Latest_.begin(), Latest_.end(), [&](const PresumedEnd &End) {
        return End.Run == Run && End.Task == Task;
      });
  if (At == Latest_.end())
    return std::nullopt;
  PresumedEnd Found = std::move(*At);
  Latest_.erase(At);
  return Found;
}

} // namespace comfreydeck::jobs
