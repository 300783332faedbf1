#include "Store.h"

#include "Record.h"

#include <algorithm>
#include <thread>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr int StatusBad = 400;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusConflict = 412;
constexpr int StatusBusy = 503;
constexpr std::size_t MaxRows = 500;
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxCallBytes = 1000000;
constexpr std::size_t MaxRowBytes = 65536;
constexpr std::chrono::milliseconds TransactionTime(4);

const char Letters[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned SixBits = 0x3f;

std::string encode(const std::string &Bytes) {
  std::string Text;
  unsigned Bits = 0;
  int Count = 0;
  for (unsigned char Byte : Bytes) {
    Bits = Bits << 8U | Byte;
    for (Count += 8; Count >= 6; Count -= 6)
      Text += Letters[Bits >> static_cast<unsigned>(Count - 6) & SixBits];
  }
  if (Count > 0)
    Text += Letters[Bits << static_cast<unsigned>(6 - Count) & SixBits];
  while (Text.size() % 4 != 0)
    Text += '=';
  return Text;
}

/// Bytes that the base64 text stands for.
std::size_t decodedBytes(const std::string &Text) {
  std::size_t Padding = 0;
  while (Padding < Text.size() && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  return Text.size() / 4 * 3 - Padding;
}

std::string field(const Request &R, const char *Name) {
  auto It = R.Query.find(Name);
  return It == R.Query.end() ? "" : It->second;
}

std::uint64_t number(const Request &R, const char *Name) {
  std::string Text = field(R, Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

Store::Store(std::uint64_t FirstVersion, Faults Decide)
    : Decide_(std::move(Decide)), Version_(FirstVersion),
      HistoryFrom_(FirstVersion) {}

Response Store::handle(std::size_t Caller, const Request &R) {
  StoreFault Fault = Decide_ ? Decide_(Caller, R) : StoreFault::None;
  if (Fault == StoreFault::Busy)
    return {StatusBusy, "{}"};
  Response Answer{StatusNotFound, "{}"};
  if (R.Path == "/v1/rows-tx")
    Answer = commit(R);
  else if (R.Path == "/v1/rows-get")
    Answer = read(R);
  else if (R.Path == "/v1/rows-feed")
    Answer = feed(R);
  // A disruption that began meanwhile breaks the connection.
  bool Began = Decide_ && Decide_(Caller, R) != StoreFault::None;
  Answer.Reset = Fault == StoreFault::DoAndReset || Began;
  return Answer;
}

std::string Store::answer(Json Body) const {
  static const Clock::time_point Start = Clock::now();
  Body["RowVersion"] = Version_;
  Body["CurrentTimeMs"] = msSince(Start);
  return Body.dump();
}

Json Store::rowJson(const RowKey &Where, const Row &Stored) {
  Json Object = {{"TableName", Where[0]},
                 {"part", Where[1]},
                 {"Key", Where[2]},
                 {"RowVersion", Stored.Version}};
  if (Stored.Removed)
    Object["Deleted"] = true;
  else
    Object["Value"] = Stored.Value;
  return Object;
}

Response Store::commit(const Request &R) {
  std::this_thread::sleep_for(TransactionTime);
  Json Body = Json::parse(R.Body, nullptr, false);
  if (!Body.is_object())
    return {StatusBad, "{}"};
  std::size_t Entries = 0;
  for (const char *List : {"Expected", "Puts", "Remove"})
    Entries += Body[List].size();
  if (Entries > MaxEntries || R.Body.size() > MaxCallBytes)
    return {StatusBad, "{}"};
  auto KeyOf = [](const Json &Entry) {
    return RowKey{Entry.at("TableName"), Entry.value("part", ""),
                  Entry.at("Key")};
  };
  for (const char *List : {"Puts", "Remove"})
    for (const Json &Entry : Body[List])
      if (Entry.at("TableName") == "op" || Entry.at("TableName") == "servers")
        return {StatusForbidden, "{}"};
  for (const Json &Entry : Body["Puts"])
    if (decodedBytes(Entry.at("Value")) > MaxRowBytes)
      return {StatusBad, "{}"};
  std::lock_guard<std::mutex> Lock(Mutex_);
  bool Holds = true;
  Json Current = Json::array();
  for (const Json &Entry : Body["Expected"]) {
    auto It = Rows_.find(KeyOf(Entry));
    bool Exists = It != Rows_.end() && !It->second.Removed;
    std::uint64_t Version = Exists ? It->second.Version : 0;
    Holds = Holds && Version == Entry.at("RowVersion").get<std::uint64_t>();
    if (Exists)
      Current.push_back(rowJson(It->first, It->second));
  }
  if (!Holds)
    return {StatusConflict, answer({{"rows", Current}})};
  ++Version_;
  for (const Json &Entry : Body["Puts"])
    Rows_[KeyOf(Entry)] = {Entry.at("Value"), Version_, false};
  for (const Json &Entry : Body["Remove"])
    Rows_[KeyOf(Entry)] = {"", Version_, true};
  Changed_.notify_all();
  return {200, answer(Json::object())};
}

Response Store::read(const Request &R) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::string To = field(R, "To");
  std::uint64_t Most = number(R, "MaxItems");
  Most = Most == 0 ? MaxRows : std::min<std::uint64_t>(Most, MaxRows);
  RowKey From = {field(R, "TableName"), field(R, "part"), field(R, "From")};
  Json Rows = Json::array();
  bool More = false;
  std::size_t Bytes = 0;
  for (auto It = Rows_.lower_bound(From); It != Rows_.end(); ++It) {
    const RowKey &Where = It->first;
    bool Inside = Where[0] == From[0] && Where[1] == From[1] &&
                  (To.empty() || Where[2] < To);
    if (!Inside)
      break;
    if (It->second.Removed)
      continue;
    Bytes += It->second.Value.size();
    More = Rows.size() >= Most || (!Rows.empty() && Bytes > MaxCallBytes);
    if (More)
      break;
    Rows.push_back(rowJson(Where, It->second));
  }
  return {200, answer({{"rows", Rows}, {"HasMore", More}})};
}

Response Store::feed(const Request &R) {
  constexpr std::chrono::milliseconds Poll(200);
  std::uint64_t After = number(R, "After");
  std::string Table = field(R, "TableName");
  auto Until = Clock::now() + std::chrono::milliseconds(number(R, "WaitMs"));
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    if (After < HistoryFrom_)
      return {StatusGone, "{}"};
    std::map<std::uint64_t, Json> Changes;
    for (auto It = Rows_.lower_bound({Table, "", ""});
         It != Rows_.end() && It->first[0] == Table; ++It)
      if (It->second.Version > After)
        Changes[It->second.Version].push_back(rowJson(It->first, It->second));
    bool Ends = Clock::now() >= Until || *R.Stopping;
    if (!Changes.empty() || Ends) {
      Json Rows = Json::array();
      for (const auto &[Version, Changed] : Changes)
        for (const Json &One : Changed)
          Rows.push_back(One);
      return {200, answer({{"rows", Rows}, {"HasMore", false}})};
    }
    Changed_.wait_until(Lock, std::min(Until, Clock::now() + Poll));
  }
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Rows_[{Table, "", Key}] = {encode(Value), ++Version_, false};
  Changed_.notify_all();
}

void Store::dropHistory() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  HistoryFrom_ = ++Version_;
  Changed_.notify_all();
}

std::uint64_t Store::version() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Version_;
}

} // namespace review
