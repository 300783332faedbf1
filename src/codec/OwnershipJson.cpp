#include "codec/OwnershipJson.h"

#include "core/Names.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace comfreydeck::codec {

namespace {

using nlohmann::json;

using TasksByPool = std::map<core::PoolId, std::uint32_t>;

json write(const TasksByPool &Items) {
  json Out = json::array();
  for (const auto &[Pool, Count] : Items)
    Out.push_back({{"pool", Pool.Value}, {"tasks", Count}});
  return Out;
}

TasksByPool readTasksByPool(const json &J) {
  TasksByPool Items;
  for (const json &Item : J)
    Items[{Item.at("pool").get<std::uint32_t>()}] =
        Item.at("tasks").get<std::uint32_t>();
  return Items;
}

template <typename Read> auto parseRow(std::string_view Text, Read Body) {
  try {
    return Body(json::parse(Text));
  } catch (const json::exception &E) {
    throw std::runtime_error(E.what());
  }
}

} // namespace

std::string toJson(const OwnershipRow &Row) {
  json J = {{"pool", Row.Pool.Value},
            {"owner", core::nameOf(Row.Owner)},
            {"epoch", Row.Term.Value}};
  return J.dump();
}

OwnershipRow parseOwnership(std::string_view Text) {
  return parseRow(Text, [](const json &J) {
    OwnershipRow Row;
    Row.Pool.Value = J.at("pool").get<std::uint32_t>();
    Row.Owner = core::parseIncarnation(J.at("owner").get<std::string>())
                    .value_or(core::Incarnation{});
    Row.Term.Value = J.at("epoch").get<std::uint64_t>();
    return Row;
  });
}

std::string toJson(const core::AllotmentRow &Row) {
  json J = {{"team", Row.Team.Value},
            {"limit", Row.WrittenUnder.Tasks},
            {"limit_since", Row.WrittenUnder.Since.Value},
            {"given", write(Row.Given)},
            {"wanted", write(Row.Wanted)}};
  return J.dump();
}

core::AllotmentRow parseAllotment(std::string_view Text) {
  return parseRow(Text, [](const json &J) {
    core::AllotmentRow Row;
    Row.Team.Value = J.at("team").get<std::uint32_t>();
    Row.WrittenUnder.Tasks = J.at("limit").get<std::uint32_t>();
    Row.WrittenUnder.Since.Value = J.at("limit_since").get<std::uint64_t>();
    Row.Given = readTasksByPool(J.at("given"));
    Row.Wanted = readTasksByPool(J.at("wanted"));
    return Row;
  });
}

} // namespace comfreydeck::codec
