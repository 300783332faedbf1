#include "standins/RunCheck.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace comfreydeck::standins {

namespace {

using nlohmann::json;

template <typename F> void eachLine(std::istream &Stream, F Read) {
  std::string Line;
  while (std::getline(Stream, Line))
    if (!Line.empty())
      Read(json::parse(Line));
}

WorkerEvent workerEventFrom(const json &J) {
  return {J.at("event") == "start",          J.at("at_ms").get<std::int64_t>(),
          J.at("worker").get<std::string>(), J.at("task").get<std::string>(),
          J.at("team").get<std::string>(),   J.value("body", std::string())};
}

CallerCall callerCallFrom(const json &J) {
  CallerCall C;
  C.Body = J.at("body").get<std::string>();
  C.Label = J.at("label").get<std::string>();
  C.Verdict = J.at("verdict").get<std::string>();
  C.NonIdempotent = J.at("non_idempotent").get<bool>();
  C.Whole = J.at("whole").get<bool>();
  C.Call = J.at("call").get<std::uint32_t>();
  C.SentMs = J.at("sent_ms").get<std::int64_t>();
  C.AnsweredMs = J.at("answered_ms").get<std::int64_t>();
  return C;
}

OperatorEvent operatorEventFrom(const json &J) {
  OperatorEvent E;
  E.Kind = J.at("event").get<std::string>();
  E.Name = J.at("name").get<std::string>();
  E.Value = J.value("value", std::int64_t{0});
  E.AskedMs = J.at("asked_ms").get<std::int64_t>();
  E.InForceMs = J.value("in_force_ms", Never);
  return E;
}

/// Groups the calls by request body, in the order in which they were sent.
std::map<std::string, std::vector<const CallerCall *>>
callsByBody(const Records &R) {
  std::map<std::string, std::vector<const CallerCall *>> Calls;
  for (const CallerCall &C : R.Callers)
    Calls[C.Body].push_back(&C);
  for (auto &[Body, List] : Calls)
    std::sort(List.begin(), List.end(),
              [](const auto *A, const auto *B) { return A->Call < B->Call; });
  return Calls;
}

void countCallers(const Records &R, Counts &Out) {
  std::map<std::string, std::vector<const WorkerEvent *>> Starts;
  for (const WorkerEvent &E : R.Workers)
    if (E.IsStart)
      Starts[E.Body].push_back(&E);
  for (const auto &[Body, Calls] : callsByBody(R)) {
    const auto &Mine = Starts[Body];
    const CallerCall &Last = *Calls.back();
    ++Out.Requests;
    Out.Ran += Last.Verdict == "ran" ? 1 : 0;
    Out.WithoutAnswer += Last.Verdict == "no-answer" ? 1 : 0;
    Out.DoubledRuns += Last.NonIdempotent && Mine.size() > 1 ? 1 : 0;
    for (const CallerCall *C : Calls) {
      Out.SwappedAnswers += C->Whole ? 0 : 1;
      if (C->Verdict != "not-run")
        continue;
      // A start after this call's answer belongs to a later call if there is
      // one, otherwise to this call.
      std::int64_t Until = C == &Last ? Never : C->AnsweredMs;
      std::int64_t From = C->NonIdempotent ? 0 : C->SentMs;
      for (const WorkerEvent *E : Mine)
        Out.FalseNotRun += E->AtMs >= From && E->AtMs < Until ? 1 : 0;
    }
  }
}

/// Returns the highest limit that may have been in force at that time.
std::int64_t limitAt(const Records &R, const std::string &Team,
                     std::int64_t AtMs) {
  std::int64_t Limit = 0;
  for (std::size_t I = 0; I < R.Operators.size(); ++I) {
    const OperatorEvent &E = R.Operators[I];
    if (E.Kind != "limit" || E.Name != Team || E.AskedMs > AtMs)
      continue;
    // A limit is superseded once a later change is in force.
    bool Superseded = false;
    for (std::size_t J = I + 1; J < R.Operators.size(); ++J)
      Superseded = Superseded || (R.Operators[J].Kind == "limit" &&
                                  R.Operators[J].Name == Team &&
                                  R.Operators[J].InForceMs < AtMs);
    if (!Superseded)
      Limit = std::max(Limit, E.Value);
  }
  return Limit;
}

/// Whether the data centre was certainly out of service at that time.
bool wasOut(const Records &R, const std::string &Name, std::int64_t AtMs) {
  bool Out = false;
  for (const OperatorEvent &E : R.Operators) {
    if (E.Kind == "datacentre-out" && E.Name == Name && E.InForceMs < AtMs)
      Out = true;
    if (E.Kind == "datacentre-in" && E.Name == Name && E.AskedMs <= AtMs)
      Out = false;
  }
  return Out;
}

std::optional<std::int64_t> withdrawnAt(const Records &R,
                                        const std::string &Label) {
  for (const OperatorEvent &E : R.Operators)
    if (E.Kind == "key-withdrawn" && E.Name == Label && E.InForceMs != Never)
      return E.InForceMs;
  return std::nullopt;
}

void countStarts(const Records &R, Counts &Out) {
  std::map<std::string, std::string> Labels;
  for (const CallerCall &C : R.Callers)
    Labels[C.Body] = C.Label;
  std::map<std::string, std::int64_t> Running;
  std::set<std::string> Open;
  for (const WorkerEvent &E : R.Workers) {
    if (!E.IsStart) {
      Running[E.Team] -= Open.erase(E.Task) > 0 ? 1 : 0;
      continue;
    }
    ++Out.Starts;
    Open.insert(E.Task);
    std::int64_t Now = ++Running[E.Team];
    Out.StartsOverLimit += Now > limitAt(R, E.Team, E.AtMs) ? 1 : 0;
    auto Zone = R.DataCentres.find(E.Worker);
    bool Known = Zone != R.DataCentres.end();
    Out.StartsWhileOut += Known && wasOut(R, Zone->second, E.AtMs) ? 1 : 0;
    std::optional<std::int64_t> Withdrawn = withdrawnAt(R, Labels[E.Body]);
    Out.StartsForWithdrawnKey += Withdrawn && E.AtMs > *Withdrawn ? 1 : 0;
  }
}

} // namespace

void readWorkerLog(std::istream &Log, Records &Into) {
  eachLine(Log,
           [&](const json &J) { Into.Workers.push_back(workerEventFrom(J)); });
}

void readCallerLog(std::istream &Log, Records &Into) {
  eachLine(Log,
           [&](const json &J) { Into.Callers.push_back(callerCallFrom(J)); });
}

void readOperatorLog(std::istream &Log, Records &Into) {
  eachLine(Log, [&](const json &J) {
    Into.Operators.push_back(operatorEventFrom(J));
  });
}

void readInstances(std::istream &List, Records &Into) {
  const json Parsed = json::parse(List);
  for (const json &J : Parsed.at("instances"))
    Into.DataCentres[J.at("name").get<std::string>()] =
        J.at("datacentre").get<std::string>();
}

Counts countViolations(const Records &R) {
  Counts Out;
  countCallers(R, Out);
  countStarts(R, Out);
  return Out;
}

bool hasNoViolations(const Counts &C) {
  return C.DoubledRuns + C.FalseNotRun + C.StartsOverLimit + C.StartsWhileOut +
             C.StartsForWithdrawnKey + C.SwappedAnswers ==
         0;
}

std::string report(const Counts &C) {
  json J = {{"starts", C.Starts},
            {"requests", C.Requests},
            {"ran", C.Ran},
            {"without_an_answer", C.WithoutAnswer},
            {"doubled_runs", C.DoubledRuns},
            {"false_not_run", C.FalseNotRun},
            {"starts_over_limit", C.StartsOverLimit},
            {"starts_in_a_data_centre_that_was_out", C.StartsWhileOut},
            {"starts_for_a_withdrawn_key", C.StartsForWithdrawnKey},
            {"swapped_answers", C.SwappedAnswers}};
  return J.dump(2);
}

} // namespace comfreydeck::standins
