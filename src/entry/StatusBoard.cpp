#include "entry/StatusBoard.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::entry {

namespace {

using nlohmann::json;

json tableToJson(const StatusTable &Table) {
  json Rows = json::array();
  for (const std::vector<StatusCell> &Row : Table.Rows) {
    json Cells = json::array();
    for (const StatusCell &Cell : Row)
      Cells.push_back(std::visit([](const auto &V) { return json(V); }, Cell));
    Rows.push_back(std::move(Cells));
  }
  return {{"columns", Table.Columns}, {"rows", std::move(Rows)}};
}

} // namespace

void StatusBoard::add(std::string Name, StatusProvider Provider) {
  Sections_.push_back({std::move(Name), std::move(Provider)});
}

std::string StatusBoard::toJson() const {
  json List = json::array();
  for (const Section &S : Sections_) {
    json J = tableToJson(S.Provider());
    J["name"] = S.Name;
    List.push_back(std::move(J));
  }
  return List.dump();
}

} // namespace comfreydeck::entry
