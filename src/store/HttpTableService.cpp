#include "store/HttpPlatform.h"
#include "store/Url_p.h"

#include <nlohmann/json.hpp>

namespace comfreydeck::store {

namespace {

using nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

Row rowFrom(const json &J) {
  Row R;
  R.Key = J.at("key").get<std::string>();
  R.Value = J.at("value").get<std::string>();
  R.Version = J.at("version").get<std::uint64_t>();
  return R;
}

ReadResult readResultFrom(const net::HttpResult &Result) {
  ReadResult Read;
  if (Result.End != core::ExchangeEnd::Answered)
    return Read;
  if (Result.Response.Status == StatusNotFound) {
    Read.Outcome = ReadOutcome::Ok;
    return Read;
  }
  if (Result.Response.Status != StatusOk)
    return Read;
  try {
    Read.Found = rowFrom(json::parse(Result.Response.Body));
    Read.Outcome = ReadOutcome::Ok;
  } catch (const json::exception &) {
    Read = {};
  }
  return Read;
}

ScanResult scanResultFrom(const net::HttpResult &Result) {
  ScanResult Scan;
  if (Result.End != core::ExchangeEnd::Answered ||
      Result.Response.Status != StatusOk)
    return Scan;
  try {
    json Body = json::parse(Result.Response.Body);
    for (const json &Item : Body.at("rows"))
      Scan.Rows.push_back(rowFrom(Item));
    Scan.More = Body.at("more").get<bool>();
    Scan.Outcome = ReadOutcome::Ok;
  } catch (const json::exception &) {
    Scan = {};
  }
  return Scan;
}

json bodyOf(const Transaction &T) {
  json Body;
  Body["id"] = T.Id;
  Body["conditions"] = json::array();
  Body["writes"] = json::array();
  for (const Condition &C : T.Conditions)
    Body["conditions"].push_back(
        {{"table", C.Row.Table}, {"key", C.Row.Key}, {"version", C.Version}});
  for (const Write &W : T.Writes) {
    json Item = {{"table", W.Row.Table}, {"key", W.Row.Key}};
    Item["value"] = W.Value ? json(*W.Value) : json(nullptr);
    Body["writes"].push_back(std::move(Item));
  }
  return Body;
}

CommitResult commitResultFrom(const net::HttpResult &Result) {
  CommitResult Commit;
  if (Result.End != core::ExchangeEnd::Answered) {
    bool NeverSent = core::verdictOf(Result.End) == core::Verdict::NotRun;
    Commit.Outcome =
        NeverSent ? CommitOutcome::NotApplied : CommitOutcome::Unknown;
    return Commit;
  }
  Commit.Outcome = CommitOutcome::Unknown;
  if (Result.Response.Status == StatusConflict)
    Commit.Outcome = CommitOutcome::Conflict;
  if (Result.Response.Status == StatusUnavailable)
    Commit.Outcome = CommitOutcome::NotApplied;
  if (Result.Response.Status != StatusOk)
    return Commit;
  try {
    json Body = json::parse(Result.Response.Body);
    Commit.Versions = Body.at("versions").get<std::vector<std::uint64_t>>();
    Commit.Outcome = CommitOutcome::Committed;
  } catch (const json::exception &) {
    Commit = {CommitOutcome::Unknown, {}};
  }
  return Commit;
}

class HttpTableService final : public TableService {
public:
  HttpTableService(net::HttpClient &Client, HttpPlatformOptions Options)
      : Client_(Client), Options_(std::move(Options)) {}

  void read(RowKey Key, std::function<void(ReadResult)> Done) override {
    net::HttpCall Call = callTo("/v1/tables/" + detail::escape(Key.Table) +
                                "/rows/" + detail::escape(Key.Key));
    Client_.send(std::move(Call), [Done = std::move(Done)](auto Result) {
      Done(readResultFrom(Result));
    });
  }

  void scan(std::string Table, std::string Prefix, std::string After,
            std::uint32_t Limit,
            std::function<void(ScanResult)> Done) override {
    net::HttpCall Call = callTo("/v1/tables/" + detail::escape(Table) +
                                "/rows?prefix=" + detail::escape(Prefix) +
                                "&after=" + detail::escape(After) +
                                "&limit=" + std::to_string(Limit));
    Client_.send(std::move(Call), [Done = std::move(Done)](auto Result) {
      Done(scanResultFrom(Result));
    });
  }

  void commit(Transaction T, std::function<void(CommitResult)> Done) override {
    net::HttpCall Call = callTo("/v1/transactions");
    Call.Method = "POST";
    Call.Body = bodyOf(T).dump();
    Call.Headers.push_back({"Content-Type", "application/json"});
    Call.OwnConnection = true;
    Client_.send(std::move(Call), [Done = std::move(Done)](auto Result) {
      Done(commitResultFrom(Result));
    });
  }

private:
  net::HttpCall callTo(std::string PathAndQuery) const {
    net::HttpCall Call;
    Call.Url = Options_.BaseUrl + std::move(PathAndQuery);
    Call.TotalLimit = Options_.CallLimit;
    return Call;
  }

  net::HttpClient &Client_;
  HttpPlatformOptions Options_;
};

} // namespace

std::unique_ptr<TableService>
makeHttpTableService(net::HttpClient &Client, HttpPlatformOptions Options) {
  return std::make_unique<HttpTableService>(Client, std::move(Options));
}

} // namespace comfreydeck::store
