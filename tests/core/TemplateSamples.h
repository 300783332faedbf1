#ifndef COMFREYDECK_TESTS_CORE_TEMPLATESAMPLES_H
#define COMFREYDECK_TESTS_CORE_TEMPLATESAMPLES_H

#include "core/ConfigChange.h"

/// Sample templates and changes shared by several tests.
namespace comfreydeck::tests {

inline core::ConfigChange changeAfter(const core::Configuration &C,
                                      std::vector<core::ConfigEdit> Edits) {
  core::ConfigChange Change;
  Change.Version.Value = C.Version.Value + 1;
  Change.Edits = std::move(Edits);
  return Change;
}

inline core::Configuration applied(const core::Configuration &C,
                                   std::vector<core::ConfigEdit> Edits) {
  return core::apply(C, changeAfter(C, std::move(Edits)));
}

inline core::PutPool putPool(const char *Name) {
  core::PutPool Edit;
  Edit.Item.Name = Name;
  return Edit;
}

/// A template with one team and a queue on each of the customer's pools.
inline core::Template rentalTemplate() {
  using namespace core;
  Template T;
  T.Name = "rental";
  T.Help = "A rental shop with kiosks";
  T.Parameters = {
      {"share", ParameterKind::Share, "Weight when all is full", 2U, 1, 100},
      {"limit", ParameterKind::Number, "Tasks at once", {}, 1, 64},
      {"pools", ParameterKind::Names, "Pools", {}, 1, 8},
      {"open", ParameterKind::Boolean, "Whether guests need no key", false}};
  TeamPattern Team;
  Team.Share.Parameter = "share";
  Team.UpperLimit.Parameter = "limit";
  T.Teams = {Team};
  QueuePattern Queue;
  Queue.ForEach = "pools";
  Queue.Pool.Parameter = "each";
  Queue.Open.Parameter = "open";
  T.Queues = {Queue};
  return T;
}

inline core::PutCustomer rental(const char *Name, std::uint32_t Limit,
                                std::vector<std::string> Pools) {
  core::PutCustomer Edit;
  Edit.Name = Name;
  Edit.Template = "rental";
  Edit.Arguments = {{"limit", Limit}, {"pools", std::move(Pools)}};
  return Edit;
}

} // namespace comfreydeck::tests

#endif // COMFREYDECK_TESTS_CORE_TEMPLATESAMPLES_H
