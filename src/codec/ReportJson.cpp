#include "codec/ReportJson.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace comfreydeck::codec {

using namespace core;
using nlohmann::json;

namespace {

/// Rounds to hundredths of a slot, which are enough for display.
double rounded(double Slots) {
  constexpr double StepsPerSlot = 100;
  return std::round(Slots * StepsPerSlot) / StepsPerSlot;
}

json write(const ItemEffect &E) {
  json Fields = json::array();
  for (const FieldEffect &F : E.Fields)
    Fields.push_back(
        {{"field", F.Field}, {"before", F.Before}, {"after", F.After}});
  return {{"effect", nameOf(E.How)},
          {"kind", nameOf(E.What)},
          {"name", E.Name},
          {"customer", E.Customer},
          {"fields", std::move(Fields)}};
}

json write(const PoolEntitlement &P) {
  json Teams = json::array();
  for (const TeamEntitlement &T : P.Teams)
    Teams.push_back({{"team", T.Team},
                     {"share", T.Share},
                     {"upper_limit", T.UpperLimit},
                     {"owed_slots", rounded(T.Slots)}});
  return {{"pool", P.Pool},
          {"slots", P.Slots},
          {"absent_limit", P.AbsentLimit},
          {"absent_limit_per_domain", P.AbsentLimitPerDomain},
          {"teams", std::move(Teams)}};
}

/// Null if the pool does not exist.
json writeOrNull(const PoolEntitlement &P) {
  return P.Pool.empty() ? json() : write(P);
}

json write(const PoolEffect &E) {
  return {{"before", writeOrNull(E.Before)}, {"after", writeOrNull(E.After)}};
}

json write(const ArgumentLine &L) {
  return {{"parameter", L.Parameter},
          {"value", L.Value},
          {"default", L.Default},
          {"is_default", L.IsDefault},
          {"help", L.Help}};
}

json write(const TeamLine &L) {
  return {{"name", L.Name},
          {"share", L.Share},
          {"upper_limit", L.UpperLimit},
          {"takes_keys", L.TakesKeys},
          {"keys", L.Keys}};
}

json write(const QueueLine &L) {
  return {{"name", L.Name},
          {"pool", L.Pool},
          {"open", L.Open},
          {"idempotent", L.Idempotent},
          {"teams", L.Teams}};
}

template <typename T> json writeAll(const std::vector<T> &Items) {
  json List = json::array();
  for (const T &Item : Items)
    List.push_back(write(Item));
  return List;
}

} // namespace

std::string toJson(const ChangeReport &Report) {
  json J = {{"items", writeAll(Report.Items)},
            {"customers", Report.Customers},
            {"pools", writeAll(Report.Pools)}};
  return J.dump();
}

std::string toJson(const CustomerReport &Report) {
  json J = {{"name", Report.Name},
            {"template", Report.Template},
            {"template_help", Report.TemplateHelp},
            {"arguments", writeAll(Report.Arguments)},
            {"teams", writeAll(Report.Teams)},
            {"queues", writeAll(Report.Queues)},
            {"pools", writeAll(Report.Pools)}};
  return J.dump();
}

std::string toJson(std::span<const ConfigFault> Faults) {
  json List = json::array();
  for (const ConfigFault &F : Faults)
    List.push_back(
        {{"edit", F.Edit}, {"field", F.Field}, {"message", F.Message}});
  // A message may quote an operator's input, which may be invalid UTF-8.
  return List.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace comfreydeck::codec
