#include "codec/ConfigJson.h"
#include "codec/KeyHash.h"

#include <doctest/doctest.h>

using namespace comfreydeck;
using namespace comfreydeck::core;

namespace {

std::uint32_t below(Rng &Random, std::uint32_t Bound) {
  return static_cast<std::uint32_t>(Random() % Bound);
}

std::string randomName(Rng &Random) {
  std::string Name;
  for (std::uint32_t Length = 1 + below(Random, 8); Length > 0; --Length)
    Name += static_cast<char>('a' + below(Random, 26));
  return Name;
}

/// Random text with quotes, control characters and non-ASCII letters.
std::string randomText(Rng &Random) {
  const char *Pieces[] = {"\"", "\\", "\n", "\x01", "é", "棒", "plain", "{}"};
  std::string Text;
  for (std::uint32_t Count = below(Random, 6); Count > 0; --Count)
    Text += Pieces[below(Random, 8)];
  return Text;
}

std::vector<std::string> randomNames(Rng &Random) {
  std::vector<std::string> Names;
  for (std::uint32_t Count = below(Random, 4); Count > 0; --Count)
    Names.push_back(randomName(Random));
  return Names;
}

ParameterValue randomValue(Rng &Random) {
  switch (below(Random, 4)) {
  case 0:
    return randomText(Random);
  case 1:
    return static_cast<std::uint32_t>(Random());
  case 2:
    return randomNames(Random);
  default:
    return below(Random, 2) == 1;
  }
}

template <typename T>
PatternField<T> randomField(Rng &Random, T Value, const T &Default) {
  if (below(Random, 2) == 0)
    return {std::move(Value), {}};
  return {Default, randomName(Random)};
}

bool randomBool(Rng &Random) { return below(Random, 2) == 1; }

Template randomTemplate(Rng &Random) {
  Template T;
  T.Name = randomName(Random);
  T.Help = randomText(Random);
  for (std::uint32_t Count = below(Random, 4); Count > 0; --Count) {
    Parameter P;
    P.Name = randomName(Random);
    P.Kind = static_cast<ParameterKind>(below(Random, 5));
    P.Help = randomText(Random);
    if (randomBool(Random))
      P.Default = randomValue(Random);
    P.Least = below(Random, 5);
    T.Parameters.push_back(P);
  }
  for (std::uint32_t Count = 1 + below(Random, 2); Count > 0; --Count)
    T.Teams.push_back({randomName(Random),
                       randomField(Random, below(Random, 99), 0U),
                       randomField(Random, below(Random, 99), 0U),
                       randomField(Random, randomBool(Random), false)});
  for (std::uint32_t Count = below(Random, 3); Count > 0; --Count)
    T.Queues.push_back(
        {randomName(Random), randomName(Random),
         randomField(Random, randomName(Random), std::string()),
         randomField(Random, randomBool(Random), false), randomName(Random),
         randomField(Random, randomBool(Random), false), randomNames(Random)});
  return T;
}

std::vector<Argument> randomArguments(Rng &Random) {
  return {{"a", randomValue(Random)}, {"b", randomValue(Random)}};
}

KeyHash randomHash(Rng &Random) {
  KeyHash Hash{};
  for (std::uint8_t &Byte : Hash)
    Byte = static_cast<std::uint8_t>(Random());
  return Hash;
}

std::vector<ConfigEdit> randomEdits(Rng &Random) {
  auto Number = [&] { return static_cast<std::uint32_t>(Random()); };
  auto Name = [&] { return randomName(Random); };
  return {
      PutDataCentre{{{}, Name(), randomBool(Random)}},
      PutPool{{{}, Name(), Number(), Number(), randomBool(Random)}},
      PutTeam{{{}, Name(), Number(), Number(), randomBool(Random), {}}},
      PutQueue{Name(), Name(), randomBool(Random), Name(), randomBool(Random),
               randomNames(Random)},
      GrantKey{Name(), randomHash(Random), Name()},
      WithdrawKey{KeyId{Number()}},
      GrantOperatorKey{Name(), static_cast<Role>(below(Random, 3)),
                       randomHash(Random)},
      WithdrawOperatorKey{KeyId{Number()}},
      RemoveItem{static_cast<ItemKind>(below(Random, 6)), Name()},
      PutTemplate{randomTemplate(Random)},
      PutCustomer{Name(), Name(), randomArguments(Random)},
  };
}

Configuration randomConfiguration(Rng &Random) {
  auto Number = [&] { return static_cast<std::uint32_t>(Random()); };
  auto Name = [&] { return randomName(Random); };
  Configuration C;
  C.Version.Value = Random();
  C.NextId = Number();
  C.DataCentres = {{{Number()}, Name(), randomBool(Random)}};
  C.Pools = {{{Number()}, Name(), Number(), Number(), randomBool(Random)}};
  C.Teams = {
      {{Number()}, Name(), Number(), Number(), randomBool(Random), {Number()}},
      {{Number()}, Name(), Number(), Number(), randomBool(Random), {}}};
  C.Queues = {{{Number()},
               Name(),
               {Number()},
               randomBool(Random),
               {Number()},
               randomBool(Random),
               {{Number()}, {Number()}},
               {Number()}}};
  C.Keys = {{{Number()}, {Number()}, randomHash(Random), Name()}};
  C.OperatorKeys = {{{Number()},
                     Name(),
                     static_cast<Role>(below(Random, 3)),
                     randomHash(Random)}};
  C.Templates = {randomTemplate(Random)};
  C.Templates[0].Id.Value = Number();
  C.Customers = {{{Number()}, Name(), {Number()}, randomArguments(Random)}};
  return C;
}

struct BadDocument {
  const char *What;
  const char *Text;
  /// Must be part of the error message.
  const char *Expected;
};

template <typename F> std::string errorOf(F Parse) {
  try {
    Parse();
  } catch (const codec::CodecError &E) {
    return E.what();
  }
  return "";
}

} // namespace

TEST_CASE("configurations and changes survive a round trip") {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    CAPTURE(Seed);
    Rng Random(Seed);
    std::string Text = codec::toJson(randomConfiguration(Random));
    REQUIRE(codec::toJson(codec::parseConfiguration(Text)) == Text);
    ConfigChange Change;
    Change.Version.Value = Random();
    Change.Id = randomName(Random);
    Change.By = randomText(Random);
    Change.AtUnixMs = static_cast<std::int64_t>(Random());
    Change.Edits = randomEdits(Random);
    Text = codec::toJson(Change);
    ConfigChange Read = codec::parseConfigChange(Text);
    REQUIRE(codec::toJson(Read) == Text);
    REQUIRE(Read.Edits.size() == Change.Edits.size());
    for (std::size_t I = 0; I < Read.Edits.size(); ++I)
      REQUIRE(Read.Edits[I].index() == Change.Edits[I].index());
  }
}

TEST_CASE("a customer's arguments survive a round trip") {
  Rng Random(7);
  for (int Count = 0; Count < 300; ++Count) {
    PutCustomer Edit{"beach", "rental", randomArguments(Random)};
    std::vector<ConfigEdit> Edits = {Edit};
    std::vector<ConfigEdit> Read = codec::parseEdits(codec::toJson(Edits));
    REQUIRE(std::get<PutCustomer>(Read.at(0)).Arguments == Edit.Arguments);
  }
}

TEST_CASE("the error of a malformed edit names the edit and the field") {
  const BadDocument Cases[] = {
      {"no JSON", "[{", "parse error"},
      {"no list", "{}", "must be a list"},
      {"no object", "[7]", "edit 0: must be an object"},
      {"no kind", "[{}]", "edit 0, edit: is needed"},
      {"unknown kind", R"([{"edit":"put-tema"}])", "is not a kind of edit"},
      {"kind of another type", R"([{"edit":7}])", "edit: must be a text"},
      {"missing field", R"([{"edit":"put-team"}])", "edit 0, name: is needed"},
      {"misspelt field", R"([{"edit":"put-team","name":"a","shrae":3}])",
       "shrae: is not known"},
      {"id set by the operator", R"([{"edit":"put-team","name":"a","id":3}])",
       "id: is not known"},
      {"negative number", R"([{"edit":"put-team","name":"a","share":-1}])",
       "share: must be a whole number"},
      {"too large", R"([{"edit":"put-team","name":"a","share":4294967296}])",
       "share: must be a whole number"},
      {"fraction", R"([{"edit":"put-team","name":"a","share":1.5}])",
       "share: must be a whole number"},
      {"text for a number", R"([{"edit":"put-team","name":"a","share":"3"}])",
       "share: must be a whole number"},
      {"number for a flag", R"([{"edit":"put-pool","name":"a","spare":1}])",
       "spare: must be true or false"},
      {"bad hash", R"([{"edit":"grant-key","team":"a","hash":"00"}])",
       "hash: a key hash must be"},
      {"bad role",
       R"([{"edit":"grant-operator-key","name":"a","role":"king","hash":""}])",
       "role: 'king' is none of read, operate, administer"},
      {"bad removal", R"([{"edit":"remove","kind":"key","name":"a"}])",
       "kind: 'key' is none of"},
      {"names of another type",
       R"([{"edit":"put-queue","name":"a","pool":"p","teams":[1]}])",
       "teams: must be a list of texts"},
      {"argument of no kind",
       R"([{"edit":"put-customer","name":"a","template":"t","arguments":{"x":{}}}])",
       "arguments.x: must be a text"},
      {"nested field",
       R"([{"edit":"put-template","name":"a","teams":[{"share":{"p":1}}]}])",
       "teams[0].share: must be a whole number or {\"parameter\": NAME}"},
      {"unknown nested field",
       R"([{"edit":"put-template","name":"a","teams":[{"limit":1}]}])",
       "teams[0].limit: is not known"},
      {"fault in the second edit",
       R"([{"edit":"put-team"},{"edit":"put-pool","name":1}])",
       "edit 1, name: must be a text"},
  };
  for (const BadDocument &Case : Cases) {
    CAPTURE(Case.What);
    std::string Error = errorOf([&] { codec::parseEdits(Case.Text); });
    CAPTURE(Error);
    CHECK(Error.find(Case.Expected) != std::string::npos);
  }
}

TEST_CASE("malformed rows of configuration changes are rejected") {
  const BadDocument Cases[] = {
      {"empty", "", "parse error"},
      {"no object", "[]", "must be an object"},
      {"no version", R"({"id":"a","by":"b","at_unix_ms":1,"edits":[]})",
       "version: is needed"},
      {"no edits", R"({"version":1,"id":"a","by":"b","at_unix_ms":1})",
       "edits: is needed"},
      {"bad edits",
       R"({"version":1,"id":"a","by":"b","at_unix_ms":1,"edits":{}})",
       "must be a list"},
  };
  for (const BadDocument &Case : Cases) {
    CAPTURE(Case.What);
    std::string Error = errorOf([&] { codec::parseConfigChange(Case.Text); });
    CAPTURE(Error);
    CHECK(Error.find(Case.Expected) != std::string::npos);
  }
}

TEST_CASE("a change with too many edits is rejected") {
  std::string Text = "[";
  for (int I = 0; I < 2001; ++I)
    Text += std::string(I ? "," : "") + R"({"edit":"withdraw-key","id":1})";
  Text += "]";
  CHECK(errorOf([&] { codec::parseEdits(Text); }).find("at most 2000") !=
        std::string::npos);
}
