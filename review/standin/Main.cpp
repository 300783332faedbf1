#include "Site.h"

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <set>

/// Plays one case: `standin CASE RECORD`. Exits with 1 if the rule was broken,
/// 0 if it held, 2 if the case could not run. Without the disruption if the
/// variable TROUBLE is 0.
namespace review {

namespace {

using std::chrono::milliseconds;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

void pause(int Ms) { std::this_thread::sleep_for(milliseconds(Ms)); }

/// Ends the processes and then this one, whose threads serve until then.
[[noreturn]] void finish(Site &S, int Result) {
  S.end();
  std::_Exit(Result);
}

[[noreturn]] void judge(Record &Log, Site &S) {
  if (!S.end()) {
    Log.line("an entry had ended by itself");
    std::_Exit(NotRun);
  }
  Log.line(Log.breaches() == 0 ? "the rule held" : "the rule was broken");
  std::_Exit(Log.breaches() == 0 ? Held : Broken);
}

/// One worker of twelve is grey for some seconds: connections that it has kept
/// are reset once it has carried out a start, new ones get 503.
[[noreturn]] void startOnResetConnection(Record &Log, bool Trouble) {
  constexpr std::int64_t GreyMs = 6000;
  constexpr int Cpu = 3200;
  std::atomic<std::int64_t> GreyFrom = -1;
  std::atomic<int> GreyWorker = -1;
  SiteOptions Options;
  Options.StartFaults = [&](std::size_t Worker, const Request &R) {
    std::int64_t From = GreyFrom;
    bool Grey = From >= 0 && Log.nowMs() - From < GreyMs;
    int None = -1;
    if (Grey)
      GreyWorker.compare_exchange_strong(None, static_cast<int>(Worker));
    if (!Grey || GreyWorker != static_cast<int>(Worker))
      return StartFault::None;
    return R.EarlierOnConnection > 0 ? StartFault::DoAndReset
                                     : StartFault::Busy;
  };
  Site S(Log, Options);
  if (!S.start())
    finish(S, NotRun);
  std::vector<std::string> Jobs;
  constexpr int Before = 6;
  constexpr int During = 20;
  for (int N = 0; N < Before + During; ++N) {
    if (N == Before && Trouble)
      GreyFrom = Log.nowMs();
    Jobs.push_back(S.newJob());
    if (S.submit(N % Site::Entries, Jobs.back(), 2, Cpu, "2500") != 200)
      finish(S, NotRun);
    pause(300);
  }
  for (const std::string &Job : Jobs)
    if (!S.waitFor(Job, "completed", 20000))
      Log.line(Job + " was not shown as completed in time");
  judge(Log, S);
}

/// The store turns one entry of three away, three times for two seconds: what
/// it had taken is done and its connections are reset, new calls get 503.
[[noreturn]] void submitOnResetConnection(Record &Log, bool Trouble) {
  constexpr int AwayMs = 2000;
  constexpr int BetweenMs = 2000;
  constexpr int Times = 3;
  constexpr int Clients = 8;
  std::atomic<bool> Away = false;
  SiteOptions Options;
  Options.StoreFaults = [&](std::size_t Caller, const Request &) {
    return Caller == 0 && Away ? StoreFault::Busy : StoreFault::None;
  };
  Site S(Log, Options);
  if (!S.start())
    finish(S, NotRun);
  std::mutex Mutex;
  std::set<std::string> Refused;
  std::atomic<bool> Ending = false;
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (int N = 0; N < Clients; ++N)
    Threads.emplace_back([&] {
      constexpr int Cpu = 200;
      while (!Ending) {
        std::string Job = S.newJob();
        if (S.submit(0, Job, 1, Cpu, "200") == 503) {
          std::lock_guard<std::mutex> Lock(Mutex);
          Refused.insert(Job);
        }
        pause(12);
        if (Away)
          pause(200);
      }
    });
  for (int N = 0; N < Times; ++N) {
    pause(BetweenMs);
    Away = Trouble;
    Log.line(Trouble ? "the store turns entry 0 away" : "no trouble");
    pause(AwayMs);
    Away = false;
  }
  Ending = true;
  for (std::thread &T : Threads)
    T.join();
  pause(8000);
  for (const std::string &Job : Refused)
    if (S.workers().startsOf(Job) > 0)
      Log.breach("REFUSED", Job + " got 503 as its only answer and has run");
  Log.line(std::to_string(Refused.size()) + " jobs were refused");
  judge(Log, S);
}

/// The store forgets its history after jobs have been over for longer than
/// their state is kept, while all workers are busy for some seconds.
[[noreturn]] void historyForgotten(Record &Log, bool Trouble) {
  constexpr int DefaultStatusS = 20;
  constexpr int StableWindowMs = 3000;
  constexpr int Cpu = 8000;
  constexpr int LargeCpu = 60000;
  const char *Given = std::getenv("STATUS_S");
  int StatusS = Given ? std::atoi(Given) : DefaultStatusS;
  SiteOptions Options;
  Options.StatusS = StatusS;
  Site S(Log, Options);
  if (!S.start())
    finish(S, NotRun);
  std::vector<std::string> Jobs;
  for (int N = 0; N < 5; ++N) {
    Jobs.push_back(S.newJob());
    if (S.submit(N % Site::Entries, Jobs.back(), 2, Cpu, "500") != 200)
      finish(S, NotRun);
  }
  for (const std::string &Job : Jobs)
    if (!S.waitFor(Job, "completed", 10000))
      finish(S, NotRun);
  // The state is kept for status_s and ten seconds.
  pause((StatusS + 13) * 1000);
  for (std::size_t N = 0; N < Site::WorkerCount; ++N)
    if (S.submit(N % Site::Entries, S.newJob(), 1, LargeCpu, "7000") != 200)
      finish(S, NotRun);
  pause(1000);
  if (Trouble) {
    Log.line("the store forgets its history");
    S.workers().setInTouchFrom(Log.nowMs() + StableWindowMs);
    S.store().dropHistory();
  }
  pause(12000);
  judge(Log, S);
}

/// The store's version counter is that of a store in use for long.
[[noreturn]] void largeVersions(Record &Log, bool Trouble) {
  constexpr std::uint64_t LargeVersion = 3000000000;
  constexpr int CancelMs = 3000;
  constexpr int StopMs = 400;
  constexpr int SlackMs = 1000;
  SiteOptions Options;
  if (Trouble)
    Options.FirstVersion = LargeVersion;
  Site S(Log, Options);
  if (!S.start())
    finish(S, NotRun);
  constexpr int Cpu = 1000;
  std::string Job = S.newJob();
  if (S.submit(0, Job, 8, Cpu, "20000") != 200)
    finish(S, NotRun);
  pause(3000);
  if (S.workers().startsOf(Job) < 8 || S.cancel(1, Job) != 200)
    finish(S, NotRun);
  pause(CancelMs + StopMs + SlackMs);
  for (const std::string &Run : S.workers().runningOf(Job))
    Log.breach("UNASKED", Run + " goes on " +
                              std::to_string(CancelMs + StopMs + SlackMs) +
                              " ms after its job's cancelling");
  S.state(2, Job);
  judge(Log, S);
}

/// A large job comes whose tasks save their state.
[[noreturn]] void largeJob(Record &Log, bool Trouble) {
  constexpr int AckMs = 4000;
  constexpr int Tasks = 3000;
  constexpr int SmallCpu = 500;
  constexpr int Cpu = 10;
  SiteOptions Options;
  Site S(Log, Options);
  if (!S.start())
    finish(S, NotRun);
  std::string Large = S.newJob();
  if (Trouble && S.submit(0, Large, Tasks, Cpu, "9000c", true) != 200)
    finish(S, NotRun);
  std::vector<std::string> Jobs;
  for (int N = 0; N < 60; ++N) {
    Jobs.push_back(S.newJob());
    if (S.submit(N % Site::Entries, Jobs.back(), 2, SmallCpu, "500") != 200)
      finish(S, NotRun);
    pause(250);
  }
  pause(AckMs * 3);
  int Missing = 0;
  for (const std::string &Job : Jobs)
    Missing += S.state(1, Job) == "completed" ? 0 : 1;
  auto [Listed, Noted] = S.workers().endsAndNoted();
  Log.line(std::to_string(Listed) + " ends listed, " + std::to_string(Noted) +
           " taken note of, " + std::to_string(Missing) + " of " +
           std::to_string(Jobs.size()) + " small jobs not completed");
  if ((Listed - Noted) * 5 > Listed)
    Log.breach("Acks", "more than a fifth of the ends are not taken note of");
  judge(Log, S);
}

/// An idle worker starts again under its id, gets a start before the owner
/// knows of it, and is cut off some seconds later.
[[noreturn]] void restartThenCut(Record &Log, bool Trouble) {
  constexpr int LargeCpu = 60000;
  constexpr int Cpu = 8000;
  SiteOptions Options;
  Site S(Log, Options);
  if (!S.start())
    finish(S, NotRun);
  // Workers that have been up for a while.
  pause(8000);
  for (std::size_t N = 1; N < Site::WorkerCount; ++N)
    if (S.submit(0, S.newJob(), 1, LargeCpu, "7000") != 200)
      finish(S, NotRun);
  pause(1500);
  std::size_t Idle = S.workers().idle();
  if (Idle == S.workers().size())
    finish(S, NotRun);
  if (Trouble) {
    S.holdBeat(Idle);
    S.workers().restart(Idle);
  }
  pause(200);
  std::string Job = S.newJob();
  if (S.submit(1, Job, 1, Cpu, "25000") != 200)
    finish(S, NotRun);
  pause(4000);
  if (Trouble)
    S.workers().setCut(Idle, true);
  pause(5500);
  S.workers().setCut(Idle, false);
  pause(3000);
  judge(Log, S);
}

int play(const std::string &Case, const std::string &File) {
  const char *Value = std::getenv("TROUBLE");
  bool Trouble = !Value || std::string(Value) != "0";
  const std::map<std::string, std::function<void(Record &, bool)>> Cases = {
      {"start-on-reset-connection", startOnResetConnection},
      {"submit-on-reset-connection", submitOnResetConnection},
      {"history-forgotten", historyForgotten},
      {"large-versions", largeVersions},
      {"large-job", largeJob},
      {"restart-then-cut", restartThenCut}};
  auto It = Cases.find(Case);
  if (It == Cases.end())
    return NotRun;
  Record Log(File);
  It->second(Log, Trouble);
  return NotRun;
}

} // namespace

} // namespace review

int main(int Count, char **Arguments) {
  constexpr int NotRun = 2;
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 3)
    return NotRun;
  try {
    int Result = review::play(Arguments[1], Arguments[2]);
    std::_Exit(Result);
  } catch (const std::exception &E) {
    std::cerr << E.what() << '\n';
  }
  std::_Exit(NotRun);
}
