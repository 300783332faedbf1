// Expands a template for one customer and prints the resulting teams and
// queues.

#include "core/TemplateExpansion.h"

#include <iostream>

using namespace comfreydeck::core;

int main() {
  Template Rental;
  Rental.Name = "rental";
  Rental.Parameters = {
      {"share", ParameterKind::Share, "Weight when all is full", 2U, 1, 100},
      {"pools", ParameterKind::Names, "Pools that serve it", {}, 1, 8}};
  TeamPattern Team;
  Team.Share.Parameter = "share";
  Team.UpperLimit.Value = 24;
  Rental.Teams = {Team};
  QueuePattern Queue;
  Queue.ForEach = "pools";
  Queue.Pool.Parameter = "each";
  Rental.Queues = {Queue};

  Customer Beach;
  Beach.Name = "beach";
  Beach.Arguments = {{"pools", std::vector<std::string>{"signing", "filing"}}};

  for (const FieldFault &F : checkTemplate(Rental))
    std::cout << F.Field << ": " << F.Message << "\n";
  Expansion Expanded = expand(Rental, Beach);
  for (const ExpandedTeam &T : Expanded.Teams)
    std::cout << "team " << T.Name << ", share " << T.Share << ", limit "
              << T.UpperLimit << "\n";
  for (const ExpandedQueue &Q : Expanded.Queues)
    std::cout << "queue " << Q.Name << " on pool " << Q.Pool << "\n";
  return 0;
}
