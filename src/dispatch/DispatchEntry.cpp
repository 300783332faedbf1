#include "dispatch/DispatchEntry.h"

#include "dispatch/Clock.h"
#include "dispatch/EntryMonitor.h"
#include "dispatch/EventLog.h"
#include "dispatch/FleetControl.h"
#include "dispatch/JobApi.h"
#include "dispatch/OrderForwarder.h"
#include "dispatch/OrderRelay.h"
#include "dispatch/PeerMessages_p.h"
#include "dispatch/StrayJobs.h"
#include "dispatch/TeamAllotments.h"
#include "net/HttpServer.h"

#include <charconv>
#include <future>
#include <random>

namespace comfreydeck::dispatch {

using std::chrono::milliseconds;

namespace {

/// The load balancer keeps sending new connections until two probes have
/// failed; it probes once a second.
constexpr milliseconds DeregistrationDelay(2300);
/// Part of the grace period reserved for the exit of the process.
constexpr milliseconds ExitMargin(1000);
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr int StatusNotFound = 404;

std::string randomLife() {
  std::random_device Device;
  std::uint64_t High = Device();
  return std::to_string((High << 32U) | Device());
}

net::HttpServerOptions serverOptions(const std::string &Address) {
  net::HttpServerOptions Options;
  std::size_t Colon = Address.rfind(':');
  Options.Address = Address.substr(0, Colon);
  std::from_chars(Address.data() + Colon + 1, Address.data() + Address.size(),
                  Options.Port);
  Options.MaxBodyBytes = std::size_t{1} << 20;
  return Options;
}

} // namespace

struct DispatchEntry::Impl {
  settings::DispatchSettings Settings;
  PlatformPorts Ports;
  net::Loop Loop;
  JobMetrics Count;
  std::string Life = randomLife();
  OrderRelay Relay;
  OrderForwarder Forwarder;
  Context Ctx;
  FleetView View;
  Ownership Owners;
  Peers PeerCalls;
  TeamAllotments Allotments;
  StrayJobs Stray;
  FleetControl Fleet;
  JobApi Api;
  EntryMonitor Monitor;
  std::atomic<bool> Ready = false;
  std::atomic<bool> Leaving = false;
  net::HttpServer CallerServer;
  net::HttpServer ReadinessServer;
  net::HttpServer PeerServer;
  std::unique_ptr<net::HttpServer> MetricsServer;

  Impl(settings::DispatchSettings S, net::HttpClient &Client, PlatformPorts P)
      : Settings(std::move(S)), Ports(std::move(P)),
        Relay(Loop, Client, Ports.Workers, {Settings.Name, Life}, addresses(),
              Settings.LinkMbps),
        Forwarder(Loop, Client, Ports.Store, Ports.Workers,
                  {Settings.Name, Life}, addresses()),
        Ctx{Settings,       Loop,       Client,      Ports.Store, Relay,
            Ports.Machines, Ports.Rows, Ports.Codec, Count,       Life},
        View(Ctx, [this](ViewChange What) { refresh(What); }),
        Owners(Ctx, View), PeerCalls(Ctx, View, Owners),
        Allotments(Ctx, View, Owners), Stray(Ctx, View, Owners),
        Fleet(Ctx, View, Owners, PeerCalls), Api(Ctx, View, PeerCalls),
        Monitor(Ctx, Relay, Forwarder),
        CallerServer(
            serverOptions(Settings.Callers),
            [this](net::HttpRequest Request, net::HttpResponder Respond) {
              Api.receive(Request, std::move(Respond));
            }),
        ReadinessServer(serverOptions(Settings.Readiness),
                        [this](const net::HttpRequest &Request,
                               const net::HttpResponder &Respond) {
                          probe(Request, Respond);
                        }),
        PeerServer(
            serverOptions(Settings.Peers),
            [this](net::HttpRequest Request, net::HttpResponder Respond) {
              Loop.post([this, Request = std::move(Request),
                         Respond = std::move(Respond),
                         At = bootNow()] { Respond(answerPeer(Request, At)); });
            }) {
    Owners.setProbe(
        [this](const std::string &Pool, std::function<void(bool)> Done) {
          PeerCalls.probeOwner(Pool, std::move(Done));
        });
    Owners.setStopQuery(
        [this](const std::string &Entry, const std::string &Pool,
               std::uint64_t Token,
               std::function<void(std::optional<core::Duration>)> Done) {
          PeerCalls.askToStop(Entry, Pool, Token, std::move(Done));
        });
    if (!Settings.Metrics.empty())
      MetricsServer = std::make_unique<net::HttpServer>(
          serverOptions(Settings.Metrics),
          [this](const net::HttpRequest &, const net::HttpResponder &Respond) {
            Respond({StatusOk,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     Count.text()});
          });
  }

  OrderRelay::AddressOf addresses() {
    return [this](const std::string &Entry) -> std::optional<std::string> {
      const jobs::EntryView *Known = View.entry(Entry);
      return Known ? std::optional(Known->PeerAddress) : std::nullopt;
    };
  }

  net::HttpResponse answerPeer(const net::HttpRequest &Request,
                               core::TimePoint ReceivedAt) {
    auto IsKnown = [this](const EntryIdentity &Entry) {
      const jobs::EntryView *Known = View.entry(Entry.Name);
      return Known && Known->Life == Entry.Life;
    };
    if (Request.Path == paths::Orders)
      return net::jsonResponse(
          Forwarder.handleOrders(Request.Body, ReceivedAt, IsKnown), "{}");
    if (Request.Path == paths::Results)
      return net::jsonResponse(
          Relay.handleResults(Request.Body, ReceivedAt, IsKnown), "{}");
    return PeerCalls.handle(Request);
  }

  /// Chooses the entries that send for the pools of this one.
  void assignSenders() {
    std::vector<jobs::EntryView> Helpers = jobs::findHelpers(
        View.entries(), View.pools(), bootNow(), Ownership::HeartbeatTimeout);
    std::erase_if(Helpers, [this](const jobs::EntryView &Entry) {
      return Entry.Name == Settings.Name || Relay.isSuspended(Entry.Name);
    });
    for (const auto &[Pool, Controller] : Owners.controllers()) {
      std::vector<const jobs::WorkerEntry *> Workers;
      for (const auto &[Id, Worker] : Controller->state().workers())
        if (!Worker->Gone)
          Workers.push_back(&Worker->Entry);
      Relay.setSenders(Pool,
                       jobs::chooseSenders({Pool, Owners.self(), Helpers,
                                            Workers, Relay.isRelaying(Pool)}));
    }
  }

  void refresh(ViewChange What) {
    if (What != ViewChange::Workers) {
      Owners.review();
      Allotments.apply();
    }
    // The owned pools don't depend on control rows, which change all the time.
    if (What != ViewChange::Control)
      Owners.refreshControllers();
    if (What == ViewChange::Workers)
      assignSenders();
  }

  void probe(const net::HttpRequest &Request,
             const net::HttpResponder &Respond) const {
    int Status = Ready && !Leaving ? StatusOk : StatusUnavailable;
    if (Request.Path != Ports.Codec.ReadinessPath)
      Status = StatusNotFound;
    Respond(net::jsonResponse(Status, "{}"));
  }

  /// Handles changes that only depend on time; all others are driven by store
  /// events.
  void tick() {
    constexpr milliseconds Period(250);
    Loop.after(Period, [this] { tick(); });
    Ready = Api.isCurrent();
    Owners.review();
    assignSenders();
  }
};

DispatchEntry::DispatchEntry(settings::DispatchSettings Settings,
                             net::HttpClient &Client, PlatformPorts Ports)
    : Impl_(std::make_unique<Impl>(std::move(Settings), Client,
                                   std::move(Ports))) {}

DispatchEntry::~DispatchEntry() { Impl_->Loop.stop(); }

void DispatchEntry::start() {
  Impl &I = *Impl_;
  I.CallerServer.start();
  I.ReadinessServer.start();
  I.PeerServer.start();
  if (I.MetricsServer)
    I.MetricsServer->start();
  I.Loop.start();
  I.Loop.post([&I] {
    I.View.start();
    I.Owners.start();
    I.Allotments.start();
    I.Fleet.start();
    I.Relay.begin();
    I.Monitor.start();
    I.tick();
  });
  logEvent("started", {{"entry", I.Settings.Name}, {"life", I.Ctx.Life}});
}

void DispatchEntry::stop() {
  Impl &I = *Impl_;
  core::TimePoint Until = bootNow() + I.Settings.Grace - ExitMargin;
  logEvent("stopping", {{"entry", I.Settings.Name}});
  I.Leaving = true;
  auto Left = std::make_shared<std::promise<void>>();
  auto Released = Left->get_future();
  I.Loop.post([&I, Left] { I.Owners.shutDown([Left] { Left->set_value(); }); });
  std::this_thread::sleep_for(DeregistrationDelay);
  Released.wait_for(std::max(Until - bootNow(), core::Duration::zero()));
  I.CallerServer.drain(std::max(Until - bootNow(), core::Duration::zero()));
  logEvent("stopped", {{"entry", I.Settings.Name},
                       {"open", I.CallerServer.openRequests()}});
}

} // namespace comfreydeck::dispatch
