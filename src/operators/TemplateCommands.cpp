#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"

#include "codec/ConfigJson.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

/// Returns the template as the JSON that `create` and `edit` read.
json templateJson(const core::Template &T) {
  std::vector<core::ConfigEdit> Edits = {core::PutTemplate{T}};
  json J = json::parse(codec::toJson(Edits)).at(0);
  J.erase("edit");
  return J;
}

std::uint32_t customersOf(const core::Configuration &C, core::TemplateId Id) {
  auto Count = std::count_if(
      C.Customers.begin(), C.Customers.end(),
      [&](const core::Customer &Customer) { return Customer.MadeFrom == Id; });
  return static_cast<std::uint32_t>(Count);
}

void listTemplates(CommandContext &Context) {
  core::Configuration C = readConfiguration(Context);
  TextTable Table{{"template", "parameters", "customers", "help"}, {}};
  json List = json::array();
  for (const core::Template &T : C.Templates) {
    std::uint32_t Customers = customersOf(C, T.Id);
    Table.Rows.push_back({T.Name, std::to_string(T.Parameters.size()),
                          std::to_string(Customers), T.Help});
    List.push_back({{"name", T.Name},
                    {"parameters", T.Parameters.size()},
                    {"customers", Customers},
                    {"help", T.Help}});
  }
  print(Context, Table, List);
}

std::string boundsText(const core::Parameter &P) {
  if (P.Kind == core::ParameterKind::Boolean)
    return {};
  constexpr std::uint32_t None = std::numeric_limits<std::uint32_t>::max();
  if (P.Most == None)
    return P.Least == 0 ? std::string() : std::to_string(P.Least) + " or more";
  return std::to_string(P.Least) + " to " + std::to_string(P.Most);
}

template <typename T> std::string fieldText(const core::PatternField<T> &F) {
  return F.Parameter.empty() ? core::textOf(core::ParameterValue(F.Value))
                             : "<" + F.Parameter + ">";
}

std::string namePattern(const std::string &Suffix, const std::string &ForEach) {
  std::string Name = "<customer>";
  if (!Suffix.empty())
    Name += "-" + Suffix;
  if (!ForEach.empty())
    Name += "-<each of " + ForEach + ">";
  return Name;
}

std::string parametersText(const core::Template &T) {
  TextTable Table{{"parameter", "kind", "default", "bounds", "help"}, {}};
  for (const core::Parameter &P : T.Parameters)
    Table.Rows.push_back({P.Name, std::string(nameOf(P.Kind)),
                          P.Default ? core::textOf(*P.Default) : "needed",
                          boundsText(P), P.Help});
  return format(Table);
}

std::string teamsText(const core::Template &T) {
  TextTable Table{{"team", "share", "upper limit", "takes keys"}, {}};
  for (const core::TeamPattern &P : T.Teams)
    Table.Rows.push_back({namePattern(P.Suffix, ""), fieldText(P.Share),
                          fieldText(P.UpperLimit), fieldText(P.TakesKeys)});
  return format(Table);
}

std::string queuesText(const core::Template &T) {
  TextTable Table{{"queue", "pool", "open", "idempotent"}, {}};
  for (const core::QueuePattern &P : T.Queues)
    Table.Rows.push_back({namePattern(P.Suffix, P.ForEach), fieldText(P.Pool),
                          fieldText(P.Open), fieldText(P.Idempotent)});
  return format(Table);
}

void showTemplate(CommandContext &Context, const std::string &Name) {
  core::Configuration C = readConfiguration(Context);
  const core::Template &T =
      require(core::findTemplate(C, Name), "template", Name);
  if (Context.Format == OutputFormat::Json) {
    Context.Out << templateJson(T).dump(2) << "\n";
    return;
  }
  Context.Out << "template " << T.Name << ": " << T.Help << "\n\n"
              << parametersText(T) << "\neach customer gets\n\n"
              << teamsText(T) << "\n"
              << queuesText(T);
  std::string Names;
  for (const core::Customer &Customer : C.Customers)
    if (Customer.MadeFrom == T.Id)
      Names += (Names.empty() ? "" : ", ") + Customer.Name;
  Context.Out << "\ncustomers: " << (Names.empty() ? "none" : Names) << "\n";
}

void putTemplate(CommandContext &Context, const std::string &File, bool IsNew,
                 EditMode Mode) {
  json Edit = json::parse(readFile(File), nullptr, false);
  if (!Edit.is_object() || !Edit.value("name", json()).is_string())
    throw OperatorError(File + " must contain a template as JSON",
                        ExitCode::Usage);
  core::Configuration C = readConfiguration(Context);
  std::string Name = Edit["name"];
  bool Exists = core::findTemplate(C, Name) != nullptr;
  if (IsNew && Exists)
    throw OperatorError("there is a template '" + Name + "' already");
  if (!IsNew && !Exists)
    throw OperatorError("there is no template '" + Name + "'");
  Edit["edit"] = "put-template";
  sendChange(Context,
             {{"edits", {Edit}}, {"expected_version", C.Version.Value}}, Mode);
}

} // namespace

void addTemplateCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "template", "Templates of customers");
  Group->add_subcommand("list", "All templates")->callback([&Context] {
    listTemplates(Context);
  });
  CLI::App *Show = Group->add_subcommand("show", "One template");
  auto Name = addName(Show, "The template");
  Show->callback([&Context, Name] { showTemplate(Context, *Name); });
  CLI::App *Create = Group->add_subcommand("create", "Create a template");
  auto File = std::make_shared<std::string>();
  Create->add_option("file", *File, "The template as JSON")->required();
  auto CreateMode = addDryRun(Create);
  Create->callback([&Context, File, CreateMode] {
    putTemplate(Context, *File, true, *CreateMode);
  });
  CLI::App *Edit = Group->add_subcommand(
      "edit", "Change a template and all customers of it; asks first");
  Edit->add_option("file", *File, "The template as JSON")->required();
  auto EditOptions = addDryRun(Edit);
  auto Yes = std::make_shared<bool>(false);
  Edit->add_flag("--yes", *Yes, "Do not ask");
  Edit->callback([&Context, File, EditOptions, Yes] {
    EditOptions->Confirm = !*Yes;
    putTemplate(Context, *File, false, *EditOptions);
  });
  addRemove(Group, Context, core::ItemKind::Template,
            "Remove a template that no customer uses");
}

} // namespace comfreydeck::operators::detail
