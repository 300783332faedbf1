#include "jobs/Job.h"

namespace comfreydeck::jobs {

namespace {

constexpr std::size_t IdDigits = 16;
/// Set by the client API.
constexpr std::size_t MaxPayloadBytes = 4000;
/// Bounds the size of one job's state; real jobs stay far below.
constexpr std::uint32_t MaxSteps = 64;
constexpr std::uint32_t MaxTasks = 20000;

bool isHexId(const std::string &Id) {
  return Id.size() == IdDigits &&
         Id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::string stepError(const JobSpec &Spec, std::size_t Number) {
  const StepSpec &Step = Spec.Steps[Number];
  std::string Where = "step " + std::to_string(Number);
  if (Step.Tasks == 0)
    return Where + " has no tasks";
  for (std::uint32_t Earlier : Step.After)
    if (Earlier >= Number)
      return Where + " depends on a step that is not earlier";
  return "";
}

} // namespace

std::uint32_t tasksPerOccurrence(const JobSpec &Spec) {
  std::uint32_t Count = 0;
  for (const StepSpec &Step : Spec.Steps)
    Count += Step.Tasks;
  return Count;
}

std::string validationError(const JobSpec &Spec) {
  if (!isHexId(Spec.Id))
    return "the id is not 16 hexadecimal digits";
  if (Spec.Payload.size() > MaxPayloadBytes)
    return "the task's text is longer than 4000 bytes";
  if (Spec.Steps.empty() || Spec.Steps.size() > MaxSteps)
    return "a job must have 1 to 64 steps";
  std::uint64_t Tasks = 0;
  for (std::size_t N = 0; N < Spec.Steps.size(); ++N) {
    std::string Fault = stepError(Spec, N);
    if (!Fault.empty())
      return Fault;
    Tasks += Spec.Steps[N].Tasks;
  }
  if (Tasks * occurrences(Spec) > MaxTasks)
    return "the job has more than 20000 tasks";
  return "";
}

const char *nameOf(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::Running:
    return "running";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "";
}

} // namespace comfreydeck::jobs
