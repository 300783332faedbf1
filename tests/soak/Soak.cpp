#include "soak/Soak.h"

#include "HttpStore.h"
#include "adapter/FakePlatform.h"
#include "soak/Callers.h"
#include "soak/Proxy.h"
#include "soak/Workers.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <stdexcept>

#include <sys/wait.h>

namespace comfreydeck::soak {

using std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

constexpr const char *PoolName = "p";
constexpr milliseconds Tick(50);
constexpr milliseconds WorkerBeat(1500);
/// The platform ends a process this long after SIGTERM.
constexpr std::chrono::seconds Grace(6);
/// Delay of the platform before it restarts a process.
constexpr milliseconds RestartDelay(500);
constexpr milliseconds OperatorTimeout(500);
constexpr std::chrono::seconds StartLimit(60);
/// The rules allow 12 s for the recovery and 14 s for the rest of the jobs; the
/// limit is far longer, so that only jobs that are stuck exceed it.
constexpr std::chrono::seconds FinishLimit(90);
constexpr int TransactionsToLose = 5;
constexpr int OrdersToDelay = 4;

/// Something that ends or follows a fault.
struct Followup {
  core::TimePoint At;
  std::function<void()> Action;
};

class Soak {
public:
  explicit Soak(const SoakOptions &Options);
  ~Soak();

  SoakResult run();

private:
  void startFleet();
  void tick();
  void sleepTicking(core::TimePoint Until);
  void inject(const Fault &F);
  void injectSignal(const Fault &F);
  void injectLink(std::size_t Proxy, FaultKind Kind, const Fault &F);
  void follow(core::Duration Delay, std::function<void()> Action);
  void lasting(const Fault &F, std::function<void()> End);
  void instant();
  void reviewProcesses();
  void writeRows();
  bool commit(store::PartTransaction T);
  std::string configText() const;
  void log(const std::string &Line);

  SoakOptions Options_;
  Bounds Bounds_;
  Ledger Seen_{Bounds_};
  net::Loop Timers_;
  tests::FakeStore Store_{Timers_};
  WorkerFleet Workers_;
  ProxyNetwork Network_;
  net::HttpClient Operator_{{}};
  std::unique_ptr<platform::HttpStore> OperatorStore_;
  std::vector<std::size_t> StoreLinks_;
  std::vector<std::size_t> WorkerLinks_;
  std::vector<std::unique_ptr<EntryProcess>> Entries_;
  std::vector<core::TimePoint> TerminatedAt_;
  std::vector<Followup> Followups_;
  core::TimePoint BeganAt_ = net::now();
  core::TimePoint NextBeat_;
  std::uint64_t ConfigVersion_ = 1;
  bool ConfigStored_ = false;
  std::vector<bool> Lapsed_;
  /// The rows of the workers that were stored, by id.
  std::map<std::string, std::size_t> StoredIds_;
  SoakResult Result_;
  std::ofstream Log_;
};

Soak::Soak(const SoakOptions &Options)
    : Options_(Options), Workers_(Timers_, Seen_, Options.Workers,
                                  {Options.TornReports, Options.TornAgain,
                                   Options.ShuffledEnds, Options.Seed}),
      Lapsed_(Options.Workers), Log_(Options.Directory + "/soak.log") {
  Timers_.start();
  Store_.start();
  Workers_.start();
  OperatorStore_ =
      std::make_unique<platform::HttpStore>(Operator_, Store_.address());
  std::string Address = Store_.address();
  auto StorePort = static_cast<std::uint16_t>(
      std::stoul(Address.substr(Address.find(':') + 1)));
  for (std::size_t N = 0; N < Options.Workers; ++N)
    WorkerLinks_.push_back(Network_.add(Workers_.port(N)));
  for (std::size_t N = 0; N < Options.Entries; ++N) {
    StoreLinks_.push_back(Network_.add(StorePort));
    Entries_.push_back(
        std::make_unique<EntryProcess>(Options.Program, Options.Directory, N,
                                       Network_.port(StoreLinks_.back())));
  }
  TerminatedAt_.resize(Options.Entries);
  Network_.start();
}

Soak::~Soak() {
  Entries_.clear();
  Network_.stop();
  Operator_.stop();
  Timers_.stop();
  Workers_.stop();
  Store_.stop();
}

void Soak::log(const std::string &Line) {
  auto Ms = std::chrono::duration_cast<milliseconds>(net::now() - BeganAt_);
  auto Day = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  Log_ << Day.count() << " " << Ms.count() << " " << Line << std::endl;
}

// The platform: rows of the operators and workers, and the processes.

std::string Soak::configText() const {
  Json Routes = Json::array();
  auto AddRoute = [&Routes](const std::string &Name, const std::string &Path) {
    Routes.push_back({{"Name", Name},
                      {"Hostname", "h"},
                      {"PathPrefix", Path},
                      {"ServiceName", PoolName},
                      {"MaxAttempts", 3}});
  };
  AddRoute("r", "/q/");
  // Every other version has one more queue, which nobody uses.
  if (ConfigVersion_ % 2 == 0)
    AddRoute("extra", "/extra/");
  return Json({{"Version", ConfigVersion_},
               {"Routes", Routes},
               {"Services", {{{"Name", PoolName}}}},
               {"Tenants", {{{"Name", "t"}, {"ApiKeys", {"k"}}}}}})
      .dump();
}

bool Soak::commit(store::PartTransaction T) {
  auto Done = std::make_shared<std::promise<bool>>();
  OperatorStore_->commit(
      std::move(T), OperatorTimeout, [Done](const store::PartAnswer &Answer) {
        Done->set_value(Answer.Outcome == store::PartOutcome::Ok);
      });
  return Done->get_future().get();
}

/// Stores the configuration if it has changed, and the rows of the workers at
/// each beat. What the store doesn't take is tried again at the next beat.
void Soak::writeRows() {
  if (net::now() < NextBeat_)
    return;
  NextBeat_ = net::now() + WorkerBeat;
  if (!ConfigStored_) {
    store::PartTransaction T;
    T.Puts.push_back({{"op", "", "config"}, configText()});
    ConfigStored_ = commit(std::move(T));
  }
  store::PartTransaction T;
  std::map<std::string, std::size_t> Ids;
  for (std::size_t N = 0; N < Workers_.size(); ++N) {
    if (Lapsed_[N])
      continue;
    std::string Address =
        "127.0.0.1:" + std::to_string(Network_.port(WorkerLinks_[N]));
    T.Puts.push_back(
        {{"servers", "", Workers_.id(N)}, Workers_.row(N, PoolName, Address)});
    Ids[Workers_.id(N)] = N;
  }
  for (const auto &[Id, N] : StoredIds_)
    if (!Ids.contains(Id))
      T.Removals.push_back({"servers", "", Id});
  if (commit(std::move(T)))
    StoredIds_ = std::move(Ids);
}

void Soak::reviewProcesses() {
  std::size_t Resident = 0;
  for (std::size_t N = 0; N < Entries_.size(); ++N) {
    EntryProcess &Entry = *Entries_[N];
    Resident += Entry.residentBytes();
    if (Entry.isLeaving() && Entry.isRunning() &&
        net::now() - TerminatedAt_[N] > Grace) {
      if (Entry.disturbedAt() < TerminatedAt_[N] - Bounds_.StableWindow)
        Seen_.breach("a process ends within its grace period", Entry.name());
      Entry.signal(SIGKILL);
    }
    int Status = 0;
    if (!Entry.hasEnded(Status))
      continue;
    log(Entry.name() + " ended with status " + std::to_string(Status));
    bool Killed = WIFSIGNALED(Status) && WTERMSIG(Status) == SIGKILL;
    bool Stopped =
        Entry.isLeaving() && WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
    if (!Killed && !Stopped)
      Seen_.breach("no process ends by itself",
                   Entry.name() + " with status " + std::to_string(Status));
    follow(RestartDelay, [&Entry] { Entry.start(); });
  }
  Result_.ResidentBytes = std::max(Result_.ResidentBytes, Resident);
}

void Soak::tick() {
  reviewProcesses();
  writeRows();
  std::vector<Followup> Due;
  for (const Followup &F : Followups_)
    if (F.At <= net::now())
      Due.push_back(F);
  std::erase_if(Followups_,
                [Now = net::now()](const Followup &F) { return F.At <= Now; });
  for (const Followup &F : Due)
    F.Action();
}

void Soak::sleepTicking(core::TimePoint Until) {
  while (net::now() < Until) {
    tick();
    std::this_thread::sleep_for(std::min<core::Duration>(
        Tick, std::max(Until - net::now(), core::Duration::zero())));
  }
}

// Faults.

void Soak::follow(core::Duration Delay, std::function<void()> Action) {
  Followups_.push_back({net::now() + Delay, std::move(Action)});
}

void Soak::lasting(const Fault &F, std::function<void()> End) {
  Seen_.faultBegins();
  follow(F.Lasts, [this, F, End = std::move(End)] {
    End();
    Seen_.faultEnds(net::now());
    log(std::string("end of ") + nameOf(F.Kind) + " " +
        std::to_string(F.Target));
  });
}

void Soak::instant() {
  Seen_.faultBegins();
  Seen_.faultEnds(net::now());
}

void Soak::injectSignal(const Fault &F) {
  EntryProcess &Entry = *Entries_[F.Target];
  switch (F.Kind) {
  case FaultKind::Kill:
    Entry.signal(SIGKILL);
    break;
  case FaultKind::KillAll:
    for (const auto &Each : Entries_)
      Each->signal(SIGKILL);
    break;
  case FaultKind::Terminate:
    if (!Entry.isLeaving() && Entry.isRunning()) {
      TerminatedAt_[F.Target] = net::now();
      Entry.signal(SIGTERM);
    }
    break;
  case FaultKind::Reload:
    Entry.signal(SIGHUP);
    break;
  default:
    Entry.signal(SIGSTOP);
    lasting(F, [&Entry] { Entry.signal(SIGCONT); });
    return;
  }
  instant();
}

void Soak::injectLink(std::size_t Proxy, FaultKind Kind, const Fault &F) {
  constexpr milliseconds Delay(300);
  auto For = [&](LinkFault Link) {
    Network_.setFault(Proxy, Link, Delay);
    lasting(F, [this, Proxy] {
      Network_.setFault(Proxy, LinkFault::None, core::Duration::zero());
    });
  };
  switch (Kind) {
  case FaultKind::StoreLinkDelay:
    For(LinkFault::Delay);
    return;
  case FaultKind::StoreLinkHoldRequests:
    For(LinkFault::HoldRequests);
    return;
  case FaultKind::StoreLinkHoldResponses:
    For(LinkFault::HoldResponses);
    return;
  case FaultKind::StoreLinkSilence:
    For(LinkFault::Silence);
    return;
  case FaultKind::StoreLinkReset:
    Network_.reset(Proxy);
    break;
  default:
    Network_.silenceOpen(Proxy);
    break;
  }
  instant();
}

void Soak::inject(const Fault &F) {
  log(std::string(nameOf(F.Kind)) + " " + std::to_string(F.Target));
  if (F.Kind <= FaultKind::KillAll) {
    injectSignal(F);
    return;
  }
  if (F.Kind <= FaultKind::StoreLinkSilenceOpen) {
    injectLink(StoreLinks_[F.Target], F.Kind, F);
    return;
  }
  if (F.Kind <= FaultKind::WorkerLinkSilenceOpen) {
    // The faults of both kinds of link are listed in the same order.
    auto Same =
        static_cast<FaultKind>(static_cast<int>(F.Kind) -
                               static_cast<int>(FaultKind::WorkerLinkDelay) +
                               static_cast<int>(FaultKind::StoreLinkDelay));
    injectLink(WorkerLinks_[F.Target], Same, F);
    return;
  }
  switch (F.Kind) {
  case FaultKind::WorkerCrash:
  case FaultKind::WorkerCrashNewId:
    Workers_.crash(F.Target, F.Kind == FaultKind::WorkerCrashNewId);
    NextBeat_ = net::now();
    lasting(F, [] {});
    return;
  case FaultKind::WorkerRowLapses:
    Lapsed_[F.Target] = true;
    NextBeat_ = net::now();
    lasting(F, [this, F] {
      Lapsed_[F.Target] = false;
      NextBeat_ = net::now();
    });
    return;
  case FaultKind::WorkerAppliesLate:
    Workers_.applyLate(F.Target, OrdersToDelay, F.Lasts);
    lasting(F, [this, F] {
      Workers_.applyLate(F.Target, 0, core::Duration::zero());
    });
    return;
  case FaultKind::StoreFails:
    Store_.failAll(503);
    lasting(F, [this] { Store_.failAll(0); });
    return;
  case FaultKind::StoreLosesAnswers:
    Store_.dropResponses(TransactionsToLose);
    lasting(F, [this] { Store_.dropResponses(0); });
    return;
  case FaultKind::StoreAppliesLate:
    Store_.applyLate(TransactionsToLose, F.Lasts);
    lasting(F, [this] { Store_.applyLate(0, core::Duration::zero()); });
    return;
  case FaultKind::StoreForgetsHistory:
    Store_.dropHistory();
    instant();
    return;
  default:
    ++ConfigVersion_;
    ConfigStored_ = false;
    NextBeat_ = net::now();
    return;
  }
}

// The run.

void Soak::startFleet() {
  for (const auto &Entry : Entries_)
    Entry->start();
  core::TimePoint Until = net::now() + StartLimit;
  for (const auto &Entry : Entries_) {
    bool Serves = false;
    while (!Serves) {
      if (net::now() > Until)
        throw std::runtime_error("soak: " + Entry->name() + " doesn't serve");
      tick();
      std::this_thread::sleep_for(Tick);
      CallerConnection Connection;
      Serves = Connection.open(Entry->ports().Callers) &&
               Connection.exchange("GET", "/q/", "").Status == 200;
    }
  }
}

SoakResult Soak::run() {
  startFleet();
  BeganAt_ = net::now();
  log("begin");
  Callers Load(Seen_, Bounds_, Entries_, Options_.Workers, Options_.Seed);
  Load.start();
  std::vector<Fault> Plan = drawFaults(
      Options_.Seed, {Options_.Entries, Options_.Workers, Options_.Span},
      Options_.Kinds, Options_.Without);
  for (const Fault &F : Plan) {
    sleepTicking(BeganAt_ + F.At);
    inject(F);
  }
  Result_.Faults = Plan.size();
  sleepTicking(BeganAt_ + Options_.Span);
  while (!Followups_.empty())
    sleepTicking(net::now() + Tick);
  // Traffic goes on into the calm, in which the bounds in time hold.
  sleepTicking(net::now() + Bounds_.StableWindow + Bounds_.Cancel);
  log("end of traffic");
  auto Left = std::async(std::launch::async, [&] {
    Load.stop();
    return Load.awaitCompleted(Seen_.owedJobs(), FinishLimit);
  });
  while (Left.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    sleepTicking(net::now() + Tick);
  for (const std::string &Id : Left.get())
    Seen_.breach("every accepted job is finished after the faults", Id);
  Result_.Counts = Seen_.counts();
  Result_.Breaches = Seen_.breaches();
  for (const std::string &Breach : Result_.Breaches)
    log("BROKEN " + Breach);
  std::ofstream SeenLog(Options_.Directory + "/seen.log");
  Seen_.writeTo(SeenLog);
  return Result_;
}

} // namespace

SoakResult runSoak(const SoakOptions &Options) { return Soak(Options).run(); }

} // namespace comfreydeck::soak
