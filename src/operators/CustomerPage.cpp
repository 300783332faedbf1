#include "operators/CustomerPage_p.h"

#include "codec/ConfigJson.h"
#include "operators/ConfigAccess_p.h"
#include "operators/EffectText_p.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

json readCustomer(const CommandContext &Context, const std::string &Name) {
  return json::parse(OperatorClient(Context.Access)
                         .call("GET", "/v1/operator/customers/" + Name, ""));
}

std::string text(const json &J, const char *Field) {
  return J.at(Field).get<std::string>();
}

std::string yesNo(const json &J, const char *Field) {
  return J.at(Field).get<bool>() ? "yes" : "no";
}

std::string namesText(const json &Names) {
  std::string Text;
  for (const json &Name : Names)
    Text += (Text.empty() ? "" : ",") + Name.get<std::string>();
  return Text;
}

std::string argumentsText(const json &Arguments) {
  TextTable Table{{"parameter", "value", "default", "meaning"}, {}};
  for (const json &A : Arguments)
    Table.Rows.push_back(
        {text(A, "parameter"), text(A, "value"),
         A.at("is_default").get<bool>() ? "same" : text(A, "default"),
         text(A, "help")});
  return format(Table);
}

std::string teamsText(const json &Teams) {
  TextTable Table{{"team", "share", "upper limit", "keys"}, {}};
  for (const json &T : Teams)
    Table.Rows.push_back(
        {text(T, "name"), T.at("share").dump(), T.at("upper_limit").dump(),
         T.at("takes_keys").get<bool>() ? T.at("keys").dump() : "takes none"});
  return format(Table);
}

std::string queuesText(const json &Queues) {
  TextTable Table{{"queue", "pool", "needs a key", "idempotent", "teams"}, {}};
  for (const json &Q : Queues)
    Table.Rows.push_back({text(Q, "name"), text(Q, "pool"),
                          Q.at("open").get<bool>() ? "no" : "yes",
                          yesNo(Q, "idempotent"), namesText(Q.at("teams"))});
  return format(Table);
}

std::string poolsText(const json &Pools) {
  TextTable Table{
      {"pool", "slots", "team", "gets when all is full", "upper limit"}, {}};
  for (const json &P : Pools)
    for (const json &T : P.at("teams"))
      Table.Rows.push_back(
          {text(P, "pool"), P.at("slots").dump(), text(T, "team"),
           slotsText(T.at("owed_slots").get<double>()) + " slots",
           T.at("upper_limit").dump()});
  return format(Table);
}

std::string pageText(const json &Page) {
  std::string Text =
      "customer " + text(Page, "name") + ", from template " +
      text(Page, "template") + ": " + text(Page, "template_help") + "\n\n" +
      argumentsText(Page.at("arguments")) + "\nit has\n\n" +
      teamsText(Page.at("teams")) + "\n" + queuesText(Page.at("queues"));
  Text += "\nwhat it comes to\n\n" + poolsText(Page.at("pools"));
  return Text;
}

/// Returns each line of the page as a field and its value. Names of teams and
/// queues have the customer's name at their front replaced by a placeholder, so
/// that two customers can be compared.
std::map<std::string, std::string> fieldsOf(const json &Page) {
  std::map<std::string, std::string> Fields;
  std::string OwnName = text(Page, "name");
  auto Relative = [&](const std::string &Name) {
    return "<customer>" + Name.substr(OwnName.size());
  };
  Fields["template"] = text(Page, "template");
  for (const json &A : Page.at("arguments"))
    Fields["parameter " + text(A, "parameter")] = text(A, "value");
  for (const json &T : Page.at("teams")) {
    std::string Team = "team " + Relative(text(T, "name"));
    Fields[Team + " share"] = T.at("share").dump();
    Fields[Team + " upper limit"] = T.at("upper_limit").dump();
    Fields[Team + " keys"] = T.at("keys").dump();
  }
  for (const json &Q : Page.at("queues")) {
    std::string Queue = "queue " + Relative(text(Q, "name"));
    Fields[Queue + " pool"] = text(Q, "pool");
    Fields[Queue + " open"] = yesNo(Q, "open");
    Fields[Queue + " idempotent"] = yesNo(Q, "idempotent");
  }
  for (const json &P : Page.at("pools"))
    for (const json &T : P.at("teams"))
      Fields["pool " + text(P, "pool") + " slots owed to " +
             Relative(text(T, "team"))] =
          slotsText(T.at("owed_slots").get<double>());
  return Fields;
}

std::string valueIn(const std::map<std::string, std::string> &Fields,
                    const std::string &Field) {
  auto It = Fields.find(Field);
  return It == Fields.end() ? std::string() : It->second;
}

} // namespace

void listCustomers(CommandContext &Context) {
  core::Configuration C = readConfiguration(Context);
  TextTable Table{{"customer", "template", "arguments"}, {}};
  json List = json::array();
  for (const core::Customer &Customer : C.Customers) {
    std::string Template = core::findTemplate(C, Customer.MadeFrom)->Name;
    std::string Arguments;
    for (const core::Argument &A : Customer.Arguments)
      Arguments.append(Arguments.empty() ? "" : " ")
          .append(A.Name)
          .append("=")
          .append(core::textOf(A.Value));
    Table.Rows.push_back({Customer.Name, Template, Arguments});
    List.push_back(json::parse(codec::toJson(std::vector<core::ConfigEdit>{
                                   core::PutCustomer{Customer.Name, Template,
                                                     Customer.Arguments}}))
                       .at(0));
    List.back().erase("edit");
  }
  print(Context, Table, List);
}

void showCustomer(CommandContext &Context, const std::string &Name) {
  json Page = readCustomer(Context, Name);
  if (Context.Format == OutputFormat::Json)
    Context.Out << Page.dump(2) << "\n";
  else
    Context.Out << pageText(Page);
}

void diffCustomers(CommandContext &Context, const std::string &A,
                   const std::string &B) {
  std::map<std::string, std::string> FieldsA =
      fieldsOf(readCustomer(Context, A));
  std::map<std::string, std::string> FieldsB =
      fieldsOf(readCustomer(Context, B));
  std::set<std::string> Fields;
  for (const auto &[Field, Value] : FieldsA)
    Fields.insert(Field);
  for (const auto &[Field, Value] : FieldsB)
    Fields.insert(Field);
  TextTable Table{{"what", A, B}, {}};
  json List = json::array();
  for (const std::string &Field : Fields) {
    std::string ValueA = valueIn(FieldsA, Field);
    std::string ValueB = valueIn(FieldsB, Field);
    if (ValueA == ValueB)
      continue;
    Table.Rows.push_back({Field, ValueA, ValueB});
    List.push_back({{"what", Field}, {A, ValueA}, {B, ValueB}});
  }
  if (Table.Rows.empty() && Context.Format == OutputFormat::Table)
    Context.Out << "nothing differs but the names\n";
  else
    print(Context, Table, List);
}

} // namespace comfreydeck::operators::detail
