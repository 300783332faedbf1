#include "core/Types.h"
#include "net/HttpClient.h"
#include "net/Loop.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

using namespace comfreydeck;

namespace {

struct LoadArguments {
  std::vector<std::string> Entries;
  std::vector<std::string> Queues;
  std::vector<std::string> Keys;
  std::uint32_t Count = 100;
  std::uint32_t PerSecond = 100;
  std::uint32_t RunMs = 20;
  std::uint32_t DeadlineMs = 10000;
  std::uint32_t NonIdempotentPercent = 50;
  std::uint64_t Seed = 1;
  std::string LogFile;
};

/// What came back, and when.
class Results {
public:
  explicit Results(const std::string &File) {
    if (!File.empty())
      Log_.open(File, std::ios::app);
  }

  void add(std::uint32_t Number, const std::string &Body,
           const net::HttpResult &Result, core::Duration Took) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    bool Answered = Result.End == core::ExchangeEnd::Answered;
    std::string Verdict(
        net::findHeader(Result.Response.Headers, "Comfreydeck-Verdict"));
    if (Verdict.empty())
      Verdict = "no-answer";
    ++Verdicts_[Verdict];
    bool Whole = Verdict != "ran" || Result.Response.Body == Body;
    Swapped_ += Whole ? 0 : 1;
    nlohmann::json J = {{"number", Number},
                        {"verdict", Verdict},
                        {"status", Answered ? Result.Response.Status : 0},
                        {"id", net::findHeader(Result.Response.Headers,
                                               "Comfreydeck-Request-Id")},
                        {"whole", Whole},
                        {"took_us", Took.count()}};
    if (Verdict != "ran" && Answered)
      J["body"] = Result.Response.Body;
    if (Log_)
      Log_ << J.dump() << "\n";
    ++Done_;
    Changed_.notify_all();
  }

  void waitFor(std::uint32_t Count) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait(Lock, [&] { return Done_ >= Count; });
  }

  nlohmann::json summary() const {
    return {{"answers", Verdicts_}, {"swapped", Swapped_}};
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::ofstream Log_;
  std::map<std::string, std::uint64_t> Verdicts_;
  std::uint64_t Swapped_ = 0;
  std::uint32_t Done_ = 0;
};

net::HttpCall callFor(const LoadArguments &A, std::uint32_t Number,
                      core::Rng &Random) {
  std::size_t Which = Number % A.Queues.size();
  bool NonIdempotent = Random() % 100 < A.NonIdempotentPercent;
  net::HttpCall Call;
  Call.Method = "POST";
  Call.Url = A.Entries[Random() % A.Entries.size()] + "/v1/queues/" +
             A.Queues[Which] + "/tasks";
  Call.Body =
      "request " + std::to_string(A.Seed) + "-" + std::to_string(Number);
  Call.Headers = {{"Comfreydeck-Idempotent", NonIdempotent ? "false" : "true"},
                  {"Comfreydeck-Deadline-Ms", std::to_string(A.DeadlineMs)},
                  {"Comfreydeck-Run-Ms", std::to_string(A.RunMs)},
                  {"Content-Type", "text/plain"}};
  if (Which < A.Keys.size())
    Call.Headers.push_back({"Authorization", "Bearer " + A.Keys[Which]});
  if (NonIdempotent)
    Call.Headers.push_back({"Idempotency-Key", std::to_string(A.Seed) + "-" +
                                                   std::to_string(Number)});
  Call.TotalLimit = std::chrono::milliseconds(A.DeadlineMs + 2000);
  Call.MayResend = !NonIdempotent;
  return Call;
}

int runLoad(const LoadArguments &A) {
  net::HttpClientOptions Options;
  Options.MaxPerHost = 1024;
  Options.MaxKept = 1024;
  Results Answers(A.LogFile);
  net::HttpClient Client(Options);
  core::Rng Random(A.Seed);
  auto Gap = std::chrono::microseconds(1000000 / A.PerSecond);
  core::TimePoint Next = net::now();
  for (std::uint32_t N = 0; N < A.Count; ++N) {
    std::this_thread::sleep_until(Next);
    Next += Gap;
    net::HttpCall Call = callFor(A, N, Random);
    core::TimePoint Sent = net::now();
    std::string Body = Call.Body;
    Client.send(std::move(Call), [&Answers, N, Sent, Body](auto Result) {
      Answers.add(N, Body, Result, net::now() - Sent);
    });
  }
  Answers.waitFor(A.Count);
  std::cout << Answers.summary().dump() << "\n";
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Sends requests to entries and notes the answers");
  LoadArguments A;
  App.add_option("--entry", A.Entries, "http://IP:PORT, any number")
      ->required();
  App.add_option("--queue", A.Queues, "Queues in turn")->required();
  App.add_option("--key", A.Keys, "One key for each queue");
  App.add_option("--count", A.Count, "How many requests");
  App.add_option("--per-second", A.PerSecond, "How many each second")
      ->check(CLI::Range(1, 100000));
  App.add_option("--run-ms", A.RunMs, "Run time of each");
  App.add_option("--deadline-ms", A.DeadlineMs, "Deadline of each");
  App.add_option("--non-idempotent-percent", A.NonIdempotentPercent,
                 "How many of a hundred")
      ->check(CLI::Range(0, 100));
  App.add_option("--seed", A.Seed, "Of the random choices");
  App.add_option("--log", A.LogFile, "Where each answer is noted");
  CLI11_PARSE(App, Argc, Argv);
  return runLoad(A);
}
