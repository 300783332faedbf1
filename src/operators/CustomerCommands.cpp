#include "operators/CommandGroups_p.h"
#include "operators/CommandOptions_p.h"
#include "operators/CustomerPage_p.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace comfreydeck::operators::detail {

namespace {

using nlohmann::json;

/// Arguments of the commands that create or change a customer.
struct CustomerOptions {
  std::string Name;
  /// The customer to copy.
  std::string From;
  std::string Template;
  /// `PARAMETER=VALUE`.
  std::vector<std::string> Set;
  /// Parameters to reset to their defaults.
  std::vector<std::string> Unset;
};

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::stringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

[[noreturn]] void throwInvalidValue(const core::Parameter &P,
                                    const char *Expected) {
  throw OperatorError(P.Name + " must be " + Expected, ExitCode::Usage);
}

core::ParameterValue valueFrom(const core::Parameter &P,
                               const std::string &Text) {
  std::uint32_t Number = 0;
  const char *End = Text.data() + Text.size();
  switch (P.Kind) {
  case core::ParameterKind::Text:
    return Text;
  case core::ParameterKind::Names:
    return split(Text);
  case core::ParameterKind::Boolean:
    if (Text != "true" && Text != "false")
      throwInvalidValue(P, "true or false");
    return Text == "true";
  case core::ParameterKind::Number:
  case core::ParameterKind::Share:
    break;
  }
  auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Rest != End || Text.empty())
    throwInvalidValue(P, "a whole number");
  return Number;
}

void setArgument(core::PutCustomer &Edit, const core::Template &T,
                 const std::string &Setting) {
  std::size_t Equals = Setting.find('=');
  if (Equals == std::string::npos)
    throw OperatorError("'" + Setting + "' must be PARAMETER=VALUE",
                        ExitCode::Usage);
  std::string Name = Setting.substr(0, Equals);
  const core::Parameter *P = core::findParameter(T, Name);
  if (!P)
    throw OperatorError("template '" + T.Name + "' has no parameter '" + Name +
                            "'",
                        ExitCode::Usage);
  std::erase_if(Edit.Arguments,
                [&](const core::Argument &A) { return A.Name == Name; });
  Edit.Arguments.push_back({Name, valueFrom(*P, Setting.substr(Equals + 1))});
}

void setArguments(core::PutCustomer &Edit, const core::Template &T,
                  const CustomerOptions &Options) {
  for (const std::string &Name : Options.Unset)
    if (std::erase_if(Edit.Arguments, [&](const core::Argument &A) {
          return A.Name == Name;
        }) == 0)
      throw OperatorError("'" + Name + "' is not set", ExitCode::Usage);
  for (const std::string &Setting : Options.Set)
    setArgument(Edit, T, Setting);
}

/// Returns the edit that recreates the customer unchanged.
core::PutCustomer editOf(const core::Configuration &C,
                         const core::Customer &Customer) {
  return {Customer.Name, core::findTemplate(C, Customer.MadeFrom)->Name,
          Customer.Arguments};
}

void requireAbsent(const core::Configuration &C, const std::string &Name) {
  if (core::findCustomer(C, Name))
    throw OperatorError("there is a customer '" + Name + "' already");
}

void sendCustomer(CommandContext &Context, const core::Configuration &C,
                  core::PutCustomer Edit, const CustomerOptions &Options,
                  EditMode Mode) {
  const core::Template &T =
      require(core::findTemplate(C, Edit.Template), "template", Edit.Template);
  setArguments(Edit, T, Options);
  sendEdits(Context, C.Version, {Edit}, Mode);
}

void createCustomer(CommandContext &Context, const CustomerOptions &Options,
                    EditMode Mode) {
  core::Configuration C = readConfiguration(Context);
  requireAbsent(C, Options.Name);
  sendCustomer(Context, C, {Options.Name, Options.Template, {}}, Options, Mode);
}

void copyCustomer(CommandContext &Context, const CustomerOptions &Options,
                  EditMode Mode) {
  core::Configuration C = readConfiguration(Context);
  requireAbsent(C, Options.Name);
  core::PutCustomer Edit =
      editOf(C, require(core::findCustomer(C, Options.From), "customer",
                        Options.From));
  Edit.Name = Options.Name;
  sendCustomer(Context, C, std::move(Edit), Options, Mode);
}

void editCustomer(CommandContext &Context, const CustomerOptions &Options,
                  EditMode Mode) {
  core::Configuration C = readConfiguration(Context);
  core::PutCustomer Edit =
      editOf(C, require(core::findCustomer(C, Options.Name), "customer",
                        Options.Name));
  if (!Options.Template.empty())
    Edit.Template = Options.Template;
  sendCustomer(Context, C, std::move(Edit), Options, Mode);
}

void applyCustomer(CommandContext &Context, const std::string &File,
                   EditMode Mode) {
  json Edit = json::parse(readFile(File), nullptr, false);
  if (!Edit.is_object())
    throw OperatorError(File + " must contain a customer as JSON",
                        ExitCode::Usage);
  Edit["edit"] = "put-customer";
  core::ConfigVersion ExpectedVersion = readConfiguration(Context).Version;
  sendChange(Context,
             {{"edits", {Edit}}, {"expected_version", ExpectedVersion.Value}},
             Mode);
}

void addCreateCommands(CLI::App *Group, CommandContext &Context) {
  CLI::App *Create = Group->add_subcommand("create", "Create a customer");
  auto Options = std::make_shared<CustomerOptions>();
  Create->add_option("name", Options->Name, "The customer")->required();
  Create
      ->add_option("--template", Options->Template,
                   "The template to create it from")
      ->required();
  Create->add_option("--set", Options->Set, "PARAMETER=VALUE")
      ->allow_extra_args(false);
  auto Mode = addDryRun(Create);
  Create->callback(
      [&Context, Options, Mode] { createCustomer(Context, *Options, *Mode); });
  CLI::App *Copy = Group->add_subcommand("copy", "Create a copy of a customer");
  auto CopyOptions = std::make_shared<CustomerOptions>();
  Copy->add_option("from", CopyOptions->From, "The customer to copy")
      ->required();
  Copy->add_option("name", CopyOptions->Name, "The new customer")->required();
  Copy->add_option("--set", CopyOptions->Set, "PARAMETER=VALUE that differs")
      ->allow_extra_args(false);
  auto CopyMode = addDryRun(Copy);
  Copy->callback([&Context, CopyOptions, CopyMode] {
    copyCustomer(Context, *CopyOptions, *CopyMode);
  });
}

void addUpdateCommands(CLI::App *Group, CommandContext &Context) {
  CLI::App *Edit = Group->add_subcommand("edit", "Change a customer");
  auto Options = std::make_shared<CustomerOptions>();
  Edit->add_option("name", Options->Name, "The customer")->required();
  Edit->add_option("--template", Options->Template,
                   "Switch to another template");
  Edit->add_option("--set", Options->Set, "PARAMETER=VALUE")
      ->allow_extra_args(false);
  Edit->add_option("--unset", Options->Unset,
                   "PARAMETER to reset to its default")
      ->allow_extra_args(false);
  auto Mode = addDryRun(Edit);
  Edit->callback(
      [&Context, Options, Mode] { editCustomer(Context, *Options, *Mode); });
  CLI::App *Apply =
      Group->add_subcommand("apply", "Create or change a customer from a file");
  auto File = std::make_shared<std::string>();
  Apply->add_option("file", *File, "The customer as JSON")->required();
  auto ApplyMode = addDryRun(Apply);
  Apply->callback([&Context, File, ApplyMode] {
    applyCustomer(Context, *File, *ApplyMode);
  });
  addRemove(Group, Context, core::ItemKind::Customer,
            "Remove a customer with its teams, queues and keys");
}

} // namespace

void addCustomerCommands(CLI::App &App, CommandContext &Context) {
  CLI::App *Group = addGroup(App, "customer", "Customers");
  Group->add_subcommand("list", "All customers")->callback([&Context] {
    listCustomers(Context);
  });
  CLI::App *Show =
      Group->add_subcommand("show", "Show one customer on one page");
  auto Name = addName(Show, "The customer");
  Show->callback([&Context, Name] { showCustomer(Context, *Name); });
  CLI::App *Diff = Group->add_subcommand("diff", "Compare two customers");
  auto A = std::make_shared<std::string>();
  auto B = std::make_shared<std::string>();
  Diff->add_option("a", *A, "One customer")->required();
  Diff->add_option("b", *B, "The other customer")->required();
  Diff->callback([&Context, A, B] { diffCustomers(Context, *A, *B); });
  addCreateCommands(Group, Context);
  addUpdateCommands(Group, Context);
}

} // namespace comfreydeck::operators::detail
