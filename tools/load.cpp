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
  std::vector<std::string> Labels;
  std::uint32_t Count = 100;
  std::uint32_t PerSecond = 100;
  std::uint32_t BurstSeconds = 0;
  std::uint32_t RunMs = 20;
  std::uint32_t DeadlineMs = 10000;
  std::uint32_t NonIdempotentPercent = 50;
  std::uint32_t Retries = 0;
  std::uint64_t Seed = 1;
  std::string LogFile;
};

/// The queue in turn asks for BurstFactor times its mean demand, the others for
/// the mean divided by QuietDivisor.
constexpr double BurstFactor = 5.0;
constexpr double QuietDivisor = 20.0;
constexpr core::Duration RetryDelay = std::chrono::milliseconds(200);
constexpr std::uint32_t AnswerMarginMs = 2000;

/// A request; the calls are its first attempt and retries.
struct LoadRequest {
  std::uint32_t Number = 0;
  std::size_t Queue = 0;
  bool NonIdempotent = false;
  std::string Body;
  std::uint32_t Calls = 0;
};

std::int64_t nowUnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Logs and counts the answers. Thread-safe.
class Results {
public:
  explicit Results(const std::string &File) {
    if (!File.empty())
      Log_.open(File, std::ios::app);
  }

  /// Logs the answer of one call and returns its verdict.
  std::string logAnswer(const LoadRequest &Request, const std::string &Label,
                        std::int64_t SentMs, const net::HttpResult &Result) {
    bool Answered = Result.End == core::ExchangeEnd::Answered;
    std::string Verdict(
        net::findHeader(Result.Response.Headers, "Comfreydeck-Verdict"));
    if (Verdict.empty() || !Answered)
      Verdict = "no-answer";
    bool MatchesRequest =
        Verdict != "ran" || Result.Response.Body == Request.Body;
    nlohmann::json J = {{"number", Request.Number},
                        {"body", Request.Body},
                        {"label", Label},
                        {"non_idempotent", Request.NonIdempotent},
                        {"call", Request.Calls},
                        {"verdict", Verdict},
                        {"status", Answered ? Result.Response.Status : 0},
                        {"id", net::findHeader(Result.Response.Headers,
                                               "Comfreydeck-Request-Id")},
                        {"whole", MatchesRequest},
                        {"sent_ms", SentMs},
                        {"answered_ms", nowUnixMs()}};
    if (Verdict != "ran")
      J["answer"] = Answered ? Result.Response.Body : Result.Error;
    std::lock_guard<std::mutex> Lock(Mutex_);
    Swapped_ += MatchesRequest ? 0 : 1;
    if (Log_)
      Log_ << J.dump() << "\n";
    return Verdict;
  }

  /// Counts the final verdict of a request.
  void finish(const std::string &Verdict) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++Verdicts_[Verdict];
    ++Done_;
    Changed_.notify_all();
  }

  void waitFor(std::uint32_t Count) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait(Lock, [&] { return Done_ >= Count; });
  }

  nlohmann::json summary() {
    std::lock_guard<std::mutex> Lock(Mutex_);
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

/// Sends each request and retries it until it ran or no retries are left.
class Caller {
public:
  Caller(const LoadArguments &Arguments, Results &Answers)
      : Arguments_(Arguments), Answers_(Answers), Random_(Arguments.Seed),
        Client_(clientOptions()) {
    Timers_.start();
  }

  /// Not thread-safe: from the generator's thread only.
  void send(LoadRequest Request) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Request.NonIdempotent = Random_() % 100 < Arguments_.NonIdempotentPercent;
    call(std::move(Request));
  }

private:
  static net::HttpClientOptions clientOptions() {
    net::HttpClientOptions Options;
    Options.MaxCallsPerHost = 2048;
    Options.MaxCachedConnections = 2048;
    return Options;
  }

  std::string labelOf(const LoadRequest &Request) const {
    return Request.Queue < Arguments_.Labels.size()
               ? Arguments_.Labels[Request.Queue]
               : Arguments_.Queues[Request.Queue];
  }

  net::HttpCall buildCall(const LoadRequest &Request) {
    net::HttpCall Call;
    Call.Method = "POST";
    Call.Url = Arguments_.Entries[Random_() % Arguments_.Entries.size()] +
               "/v1/queues/" + Arguments_.Queues[Request.Queue] + "/tasks";
    Call.Body = Request.Body;
    Call.Headers = {
        {"Comfreydeck-Idempotent", Request.NonIdempotent ? "false" : "true"},
        {"Comfreydeck-Deadline-Ms", std::to_string(Arguments_.DeadlineMs)},
        {"Comfreydeck-Run-Ms", std::to_string(Arguments_.RunMs)},
        {"Content-Type", "text/plain"}};
    if (Request.Queue < Arguments_.Keys.size())
      Call.Headers.push_back(
          {"Authorization", "Bearer " + Arguments_.Keys[Request.Queue]});
    if (Request.NonIdempotent)
      Call.Headers.push_back({"Idempotency-Key", Request.Body});
    Call.TotalLimit =
        std::chrono::milliseconds(Arguments_.DeadlineMs + AnswerMarginMs);
    Call.MayResend = !Request.NonIdempotent;
    Call.OwnConnection = Request.NonIdempotent;
    return Call;
  }

  void call(LoadRequest Request) {
    ++Request.Calls;
    net::HttpCall Call = buildCall(Request);
    std::int64_t SentMs = nowUnixMs();
    Client_.send(std::move(Call), [this, Request, SentMs](auto Result) {
      onAnswer(Request, SentMs, Result);
    });
  }

  void onAnswer(const LoadRequest &Request, std::int64_t SentMs,
                const net::HttpResult &Result) {
    std::string Verdict =
        Answers_.logAnswer(Request, labelOf(Request), SentMs, Result);
    bool IsFinal = Verdict == "ran" || Request.Calls > Arguments_.Retries;
    if (IsFinal)
      return Answers_.finish(Verdict);
    Timers_.after(RetryDelay, [this, Request] {
      std::lock_guard<std::mutex> Lock(Mutex_);
      call(Request);
    });
  }

  const LoadArguments &Arguments_;
  Results &Answers_;
  std::mutex Mutex_;
  core::Rng Random_;
  net::Loop Timers_;
  net::HttpClient Client_;
};

/// Chooses the queue of each request by the demand at that time.
class Demand {
public:
  explicit Demand(const LoadArguments &A)
      : Arguments_(A), Random_(A.Seed + 1) {}

  std::size_t next(core::Duration SinceStart) {
    if (Arguments_.BurstSeconds == 0)
      return NextQueue_++ % Arguments_.Queues.size();
    auto Seconds =
        std::chrono::duration_cast<std::chrono::seconds>(SinceStart).count();
    auto BurstQueue =
        static_cast<std::size_t>(Seconds / Arguments_.BurstSeconds) %
        Arguments_.Queues.size();
    std::vector<double> Weights(Arguments_.Queues.size(), 1.0 / QuietDivisor);
    Weights[BurstQueue] = BurstFactor;
    return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                   Weights.end())(Random_);
  }

private:
  const LoadArguments &Arguments_;
  core::Rng Random_;
  std::size_t NextQueue_ = 0;
};

int runLoad(const LoadArguments &A) {
  Results Answers(A.LogFile);
  Caller Sender(A, Answers);
  Demand QueueDemand(A);
  auto Interval = std::chrono::microseconds(1000000 / A.PerSecond);
  core::TimePoint Start = net::now();
  core::TimePoint Next = Start;
  for (std::uint32_t N = 0; N < A.Count; ++N) {
    std::this_thread::sleep_until(Next);
    Next += Interval;
    LoadRequest Request;
    Request.Number = N;
    Request.Queue = QueueDemand.next(Next - Start);
    Request.Body =
        "request-" + std::to_string(A.Seed) + "-" + std::to_string(N);
    Sender.send(std::move(Request));
  }
  Answers.waitFor(A.Count);
  std::cout << Answers.summary().dump() << "\n";
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Sends requests to entries and logs the answers");
  LoadArguments A;
  App.add_option("--entry", A.Entries, "Entries to call, as http://IP:PORT")
      ->required();
  App.add_option("--queue", A.Queues, "Queues to send to")->required();
  App.add_option("--key", A.Keys, "One key for each queue");
  App.add_option("--label", A.Labels, "One name for each key, for the log");
  App.add_option("--count", A.Count, "Number of requests");
  App.add_option("--per-second", A.PerSecond, "Requests per second")
      ->check(CLI::Range(1, 100000));
  App.add_option("--burst-seconds", A.BurstSeconds,
                 "Each queue in turn asks for five times its mean for this "
                 "long; 0 for an even load");
  App.add_option("--run-ms", A.RunMs, "Run time of each request");
  App.add_option("--deadline-ms", A.DeadlineMs, "Deadline of each request");
  App.add_option("--non-idempotent-percent", A.NonIdempotentPercent,
                 "Percentage of non-idempotent requests")
      ->check(CLI::Range(0, 100));
  App.add_option("--retries", A.Retries,
                 "Additional calls for a request that did not run");
  App.add_option("--seed", A.Seed, "Seed of the random choices");
  App.add_option("--log", A.LogFile, "File to which each answer is logged");
  CLI11_PARSE(App, Argc, Argv);
  return runLoad(A);
}
