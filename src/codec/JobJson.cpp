#include "codec/JobJson.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace comfreydeck::codec {

using Json = nlohmann::json;

namespace {

/// Sets the field only if the value differs from its default.
template <typename T>
void put(Json &Object, const char *Field, const T &Value, const T &Default) {
  if (Value != Default)
    Object[Field] = Value;
}

template <typename T>
void take(const Json &Object, const char *Field, T &Value) {
  auto It = Object.find(Field);
  if (It != Object.end())
    Value = It->get<T>();
}

Json stepJson(const jobs::StepSpec &Step) {
  const jobs::StepSpec Default;
  Json Row = Json::object();
  put(Row, "tasks", Step.Tasks, Default.Tasks);
  put(Row, "cpu", Step.Need.MilliCpus, 0U);
  put(Row, "memory", Step.Need.MemoryMb, 0U);
  put(Row, "accelerators", Step.Need.Accelerators, 0U);
  put(Row, "estimate", Step.EstimateMs, 0U);
  put(Row, "after", Step.After, Default.After);
  put(Row, "gang", Step.Gang, false);
  put(Row, "same_rack", Step.SameRack, false);
  put(Row, "checkpoints", Step.Checkpoints, false);
  put(Row, "copies", Step.Copies, false);
  put(Row, "lasting", Step.Lasting, false);
  put(Row, "filling", Step.Filling, false);
  put(Row, "label", Step.Label, Default.Label);
  put(Row, "near", Step.NearRack, Default.NearRack);
  put(Row, "per_worker", Step.MaxPerWorker, 0U);
  put(Row, "image", Step.Image, Default.Image);
  put(Row, "tail_target", Step.TailTargetMs, 0U);
  put(Row, "absence", Step.AbsenceAllowance, 0U);
  return Row;
}

jobs::StepSpec stepOf(const Json &Row) {
  jobs::StepSpec Step;
  take(Row, "tasks", Step.Tasks);
  take(Row, "cpu", Step.Need.MilliCpus);
  take(Row, "memory", Step.Need.MemoryMb);
  take(Row, "accelerators", Step.Need.Accelerators);
  take(Row, "estimate", Step.EstimateMs);
  take(Row, "after", Step.After);
  take(Row, "gang", Step.Gang);
  take(Row, "same_rack", Step.SameRack);
  take(Row, "checkpoints", Step.Checkpoints);
  take(Row, "copies", Step.Copies);
  take(Row, "lasting", Step.Lasting);
  take(Row, "filling", Step.Filling);
  take(Row, "label", Step.Label);
  take(Row, "near", Step.NearRack);
  take(Row, "per_worker", Step.MaxPerWorker);
  take(Row, "image", Step.Image);
  take(Row, "tail_target", Step.TailTargetMs);
  take(Row, "absence", Step.AbsenceAllowance);
  return Step;
}

/// Parses \p Text, runs \p Decode on it and rethrows the JSON library's errors
/// as std::invalid_argument.
template <typename F> auto parseAndDecode(const std::string &Text, F Decode) {
  try {
    return Decode(Json::parse(Text));
  } catch (const Json::exception &E) {
    throw std::invalid_argument(E.what());
  }
}

Json jobJson(const jobs::JobSpec &Spec) {
  Json Object = {{"id", Spec.Id},
                 {"queue", Spec.Queue},
                 {"pool", Spec.Pool},
                 {"accepted", Spec.AcceptedMs},
                 {"attempts", Spec.MaxAttempts},
                 {"slack", Spec.SlackFactor},
                 {"target", Spec.TargetMs},
                 {"steps", Json::array()}};
  put(Object, "team", Spec.Team, std::string());
  put(Object, "priority", Spec.Priority, 0U);
  put(Object, "repetitions", Spec.Repetitions, 0U);
  put(Object, "first_due", Spec.FirstDueMs, std::int64_t{0});
  put(Object, "interval", Spec.IntervalMs, std::int64_t{0});
  for (const jobs::StepSpec &Step : Spec.Steps)
    Object["steps"].push_back(stepJson(Step));
  return Object;
}

/// Strings come from callers and may contain invalid UTF-8.
std::string textOf(const Json &Object) {
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string encodeJob(const jobs::JobSpec &Spec) {
  Json Object = jobJson(Spec);
  Object["payload"] = Spec.Payload;
  return textOf(Object);
}

std::string encodeJobWithoutPayload(const jobs::JobSpec &Spec) {
  Json Object = jobJson(Spec);
  Object["payload_apart"] = true;
  return textOf(Object);
}

jobs::JobSpec decodeJob(const std::string &Text) {
  return parseAndDecode(Text, [](const Json &Object) {
    jobs::JobSpec Spec;
    Spec.Id = Object.at("id").get<std::string>();
    Spec.Pool = Object.at("pool").get<std::string>();
    take(Object, "queue", Spec.Queue);
    take(Object, "payload", Spec.Payload);
    take(Object, "payload_apart", Spec.PayloadMissing);
    take(Object, "accepted", Spec.AcceptedMs);
    take(Object, "attempts", Spec.MaxAttempts);
    take(Object, "slack", Spec.SlackFactor);
    take(Object, "target", Spec.TargetMs);
    take(Object, "team", Spec.Team);
    take(Object, "priority", Spec.Priority);
    take(Object, "repetitions", Spec.Repetitions);
    take(Object, "first_due", Spec.FirstDueMs);
    take(Object, "interval", Spec.IntervalMs);
    for (const Json &Row : Object.at("steps"))
      Spec.Steps.push_back(stepOf(Row));
    std::string Fault = jobs::validationError(Spec);
    if (!Fault.empty())
      throw std::invalid_argument(Fault);
    return Spec;
  });
}

std::string_view poolOf(std::string_view Text) {
  // Quotation marks within JSON strings are escaped, so that this matches only
  // a field's name; steps have no field of that name.
  constexpr std::string_view Field = "\"pool\":\"";
  std::size_t At = Text.find(Field);
  if (At == std::string_view::npos)
    return {};
  std::string_view Name = Text.substr(At + Field.size());
  std::size_t End = Name.find_first_of("\"\\");
  bool Plain = End != std::string_view::npos && Name[End] == '"';
  return Plain ? Name.substr(0, End) : std::string_view();
}

namespace {

constexpr std::size_t CheckpointColumn = 2;
/// Bytes of a row besides its tasks' marks.
constexpr std::size_t RowOverhead = 64;

Json announcedJson(const jobs::AnnouncedRun &Run) {
  Json Column = {Run.Run, Run.Worker, Run.Born};
  if (Run.Waited > core::Duration::zero() || Run.Shared)
    Column.push_back(
        std::chrono::duration_cast<std::chrono::milliseconds>(Run.Waited)
            .count());
  if (Run.Shared)
    Column.push_back(1);
  return Column;
}

jobs::AnnouncedRun announcedFrom(const Json &Column) {
  // Earlier versions write no waiting time, nor whether the run was shared.
  std::chrono::milliseconds Waited(
      Column.size() > 3 ? Column.at(3).get<std::int64_t>() : 0);
  return {Column.at(0).get<jobs::RunId>(), Column.at(1).get<std::string>(),
          Column.at(2).get<std::int64_t>(), Waited, Column.size() > 4};
}

Json progressJson(const jobs::JobProgress &Progress) {
  Json Object = {{"state", static_cast<unsigned>(Progress.State)}};
  std::string Done;
  Json Marks = Json::array();
  Json Shared = Json::array();
  for (std::size_t T = 0; T < Progress.Tasks.size(); ++T) {
    const jobs::TaskProgress &Task = Progress.Tasks[T];
    Done += Task.Done ? '1' : '0';
    if (!Task.SharedCrashes.empty())
      Shared.push_back({T, Task.SharedCrashes});
    Json Announced = Json::array();
    for (const jobs::AnnouncedRun &Run : Task.Unsettled)
      Announced.push_back(announcedJson(Run));
    if (Task.Announced)
      Announced.push_back(announcedJson(*Task.Announced));
    bool Crashed = !Task.CrashedRuns.empty() || !Announced.empty();
    if (Task.FailedRuns.empty() && Task.Checkpoint.empty() && !Crashed)
      continue;
    Json Mark = {T, Task.FailedRuns, Task.Checkpoint};
    if (Crashed)
      Mark.push_back(Task.CrashedRuns);
    // Earlier versions read the last one only.
    if (!Announced.empty()) {
      Mark.push_back(Announced.back());
      Announced.erase(Announced.size() - 1);
    }
    if (!Announced.empty())
      Mark.push_back(std::move(Announced));
    Marks.push_back(std::move(Mark));
  }
  if (!Done.empty())
    Object["done"] = Done;
  if (!Marks.empty())
    Object["marks"] = Marks;
  if (!Shared.empty())
    Object["shared"] = Shared;
  return Object;
}

/// Empties checkpoints from the last mark on until \p Excess bytes are saved.
void dropCheckpoints(Json &Marks, std::size_t Excess) {
  for (auto Mark = Marks.rbegin(); Mark != Marks.rend() && Excess > 0; ++Mark) {
    Json &Checkpoint = (*Mark)[CheckpointColumn];
    std::size_t Bytes = Checkpoint.get_ref<const std::string &>().size();
    Excess -= std::min(Excess, Bytes);
    Checkpoint = "";
  }
}

jobs::TaskProgress &taskOfMark(const Json &Mark, jobs::JobProgress &Progress) {
  std::size_t Number = Mark.at(0).get<std::size_t>();
  if (Number >= Progress.Tasks.size())
    throw std::invalid_argument("a mark refers to an unknown task");
  return Progress.Tasks[Number];
}

void takeMarks(const Json &Object, jobs::JobProgress &Progress) {
  for (const Json &Mark : Object.value("shared", Json::array()))
    taskOfMark(Mark, Progress).SharedCrashes =
        Mark.at(1).get<std::vector<jobs::RunId>>();
  for (const Json &Mark : Object.value("marks", Json::array())) {
    jobs::TaskProgress &Task = taskOfMark(Mark, Progress);
    Task.FailedRuns = Mark.at(1).get<std::vector<jobs::RunId>>();
    Task.Checkpoint = Mark.at(CheckpointColumn).get<std::string>();
    // Rows of earlier versions end here.
    if (Mark.size() > 3)
      Task.CrashedRuns = Mark.at(3).get<std::vector<jobs::RunId>>();
    if (Mark.size() > 4)
      Task.Announced = announcedFrom(Mark.at(4));
    if (Mark.size() > 5)
      for (const Json &Run : Mark.at(5))
        Task.Unsettled.push_back(announcedFrom(Run));
  }
}

} // namespace

std::string encodeProgress(const jobs::JobProgress &Progress) {
  return textOf(progressJson(Progress));
}

std::vector<std::string> encodeProgressRows(const jobs::JobProgress &Progress,
                                            std::size_t RowBytes,
                                            std::size_t TotalBytes) {
  Json Object = progressJson(Progress);
  std::string Whole = textOf(Object);
  if (Whole.size() <= RowBytes)
    return {std::move(Whole)};
  Json Marks = std::exchange(Object["marks"], Json::array());
  if (Whole.size() > TotalBytes)
    dropCheckpoints(Marks, Whole.size() - TotalBytes);
  std::vector<Json> Rows = {std::move(Object)};
  std::size_t Bytes = textOf(Rows[0]).size() + RowOverhead;
  for (Json &Mark : Marks) {
    std::size_t MarkBytes = textOf(Mark).size() + 1;
    if (Bytes + MarkBytes > RowBytes) {
      Rows.push_back({{"marks", Json::array()}});
      Bytes = RowOverhead;
    }
    Bytes += MarkBytes;
    Rows.back()["marks"].push_back(std::move(Mark));
  }
  Rows[0]["rows"] = Rows.size() - 1;
  std::vector<std::string> Texts;
  Texts.reserve(Rows.size());
  for (const Json &Row : Rows)
    Texts.push_back(textOf(Row));
  return Texts;
}

namespace {

jobs::JobState stateFrom(const Json &Object) {
  unsigned State = Object.at("state").get<unsigned>();
  if (State > static_cast<unsigned>(jobs::JobState::Cancelled))
    throw std::invalid_argument("the job's state is unknown");
  return static_cast<jobs::JobState>(State);
}

} // namespace

jobs::JobState decodeProgressState(const std::string &Text) {
  return parseAndDecode(Text, stateFrom);
}

ProgressRow decodeProgressRow(const std::string &Text) {
  return parseAndDecode(Text, [](const Json &Object) {
    ProgressRow Row;
    jobs::JobProgress &Progress = Row.Progress;
    Progress.State = stateFrom(Object);
    std::string Done;
    take(Object, "done", Done);
    for (char C : Done) {
      Progress.Tasks.emplace_back();
      Progress.Tasks.back().Done = C == '1';
    }
    takeMarks(Object, Progress);
    take(Object, "rows", Row.FurtherRows);
    return Row;
  });
}

void addFurtherRow(jobs::JobProgress &Progress, const std::string &Text) {
  parseAndDecode(Text, [&](const Json &Object) {
    takeMarks(Object, Progress);
    return true;
  });
}

jobs::JobProgress decodeProgress(const std::string &Text) {
  return decodeProgressRow(Text).Progress;
}

std::string encodeRosterRow(const jobs::WorkerEntry &Entry) {
  Json Row = {{"address", Entry.Address},
              {"dc", Entry.DataCentre},
              {"born", Entry.Born}};
  if (Entry.Released)
    Row["released"] = true;
  if (Entry.Released && Entry.ReleasedFor > core::Duration::zero())
    Row["released_for_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(Entry.ReleasedFor)
            .count();
  if (Entry.EarlierOrdersFor)
    Row["earlier_orders_for_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*Entry.EarlierOrdersFor)
            .count();
  return Row.dump();
}

jobs::WorkerEntry decodeRosterRow(const std::string &Id,
                                  const std::string &Text) {
  return parseAndDecode(Text, [&](const Json &Object) {
    jobs::WorkerEntry Entry;
    Entry.Id = Id;
    Entry.Address = Object.at("address").get<std::string>();
    Entry.DataCentre = Object.at("dc").get<std::string>();
    Entry.Born = Object.at("born").get<std::int64_t>();
    Entry.Released = Object.value("released", false);
    Entry.ReleasedFor = std::chrono::milliseconds(
        Object.value("released_for_ms", std::int64_t{0}));
    if (Object.contains("earlier_orders_for_ms"))
      Entry.EarlierOrdersFor = std::chrono::milliseconds(
          Object.at("earlier_orders_for_ms").get<std::int64_t>());
    return Entry;
  });
}

} // namespace comfreydeck::codec
