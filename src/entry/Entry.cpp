#include "entry/Entry.h"

#include "cluster/PeerServer.h"
#include "entry/FleetRoutes.h"
#include "entry/OperatorService.h"
#include "entry/TaskService.h"
#include "entry/UnresolvedRoutes.h"
#include "store/HttpPlatform.h"

#include <glog/logging.h>

#include <atomic>
#include <charconv>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace comfreydeck::entry {

namespace {

using namespace cluster;

/// Maximum wait for handing over pools and deregistering.
constexpr std::chrono::seconds LeaveLimit(5);
/// How long a stopping entry waits for pending writes of request outcomes.
constexpr std::chrono::seconds WriteLimit(5);
constexpr std::chrono::milliseconds WritePoll(5);

core::Incarnation newIncarnation() {
  std::random_device Device;
  core::Incarnation Id;
  while (!Id.isValid())
    Id.Value = (std::uint64_t{Device()} << 32) | Device();
  return Id;
}

std::string readFile(const std::string &File) {
  if (File.empty())
    return {};
  std::ifstream Stream(File);
  if (!Stream)
    throw std::runtime_error("can't read " + File);
  std::stringstream Content;
  Content << Stream.rdbuf();
  return Content.str();
}

PeerSecurity securityOf(const settings::ClusterSettings &Cluster) {
  return {Cluster.Token, readFile(Cluster.CertificateFile),
          readFile(Cluster.KeyFile), readFile(Cluster.AuthorityFile)};
}

net::HttpServerOptions serverOptions(const settings::Settings &S) {
  std::size_t Colon = S.Entry.Listen.rfind(':');
  net::HttpServerOptions Options;
  Options.Address = S.Entry.Listen.substr(0, Colon);
  std::from_chars(S.Entry.Listen.data() + Colon + 1,
                  S.Entry.Listen.data() + S.Entry.Listen.size(), Options.Port);
  Options.Threads = S.Entry.TrafficThreads;
  // Reads bodies somewhat over the limit, so that they get an error response.
  Options.MaxBodyBytes = std::size_t{S.Traffic.MaxBodyBytes} * 2;
  Options.HandleLimit = S.Traffic.MaxDeadline + std::chrono::seconds(30);
  return Options;
}

} // namespace

struct Entry::Impl final : PeerHandler {
  explicit Impl(settings::Settings S);

  settings::Settings Settings;
  core::Incarnation Self = newIncarnation();
  core::Rng Random{Self.Value};
  Metrics Counters;
  /// Set once a graceful stop has begun.
  std::atomic<bool> IsStopping = false;
  net::Loop Control;
  net::HttpClient PlatformClient{net::HttpClientOptions()};
  net::HttpClient WorkerClient{net::HttpClientOptions()};
  PeerClient Peers;
  std::unique_ptr<store::TableService> Tables;
  std::unique_ptr<store::ObjectStore> Objects;
  std::unique_ptr<store::InstanceList> Instances;
  Context Shared;
  Membership Members;
  ConfigStore Config;
  Fleet Workers;
  PoolService Pools;
  Maintenance Upkeep;
  FleetRoutes Routes;
  TaskService Tasks;
  OperatorService Operators;
  PeerServer PeerListener;
  net::HttpServer HttpListener;

  void route(net::HttpRequest Request, net::HttpResponder Respond);
  void startControl();
  std::size_t openWrites();
  void waitForWrites(core::TimePoint Until);

  void greet(const wire::GreetRequest &Request,
             PeerResponder<wire::GreetReply> Respond) override;
  void prove(const wire::ProveRequest &Request,
             PeerResponder<wire::ProveReply> Respond) override;
  void notify(const wire::NotifyRequest &Request,
              PeerResponder<wire::NotifyReply> Respond) override;
  void acquire(const wire::AcquireRequest &Request,
               PeerResponder<wire::AcquireReply> Respond) override;
  void release(const wire::ReleaseRequest &Request,
               PeerResponder<wire::ReleaseReply> Respond) override;
  void handOver(const wire::HandOverRequest &Request,
                PeerResponder<wire::HandOverReply> Respond) override;
  void listRunning(const wire::ListRunningRequest &Request,
                   PeerResponder<wire::ListRunningReply> Respond) override;
};

Entry::Impl::Impl(settings::Settings S)
    : Settings(std::move(S)),
      Peers({Self, Settings.Entry.Name}, securityOf(Settings.Cluster)),
      Tables(store::makeHttpTableService(
          PlatformClient,
          {Settings.Platform.TableService, Settings.Platform.CallLimit})),
      Objects(store::makeHttpObjectStore(
          PlatformClient,
          {Settings.Platform.ObjectStore, Settings.Platform.CallLimit})),
      Instances(store::makeHttpInstanceList(
          PlatformClient,
          {Settings.Platform.InstanceList, Settings.Platform.CallLimit})),
      Shared{Settings,   Self,         Control, *Tables,  *Objects,
             *Instances, WorkerClient, Peers,   Counters, Random},
      Members(Shared), Config(Shared, Members), Workers(Shared),
      Pools(Shared, Members, Config, Workers),
      Upkeep(Shared, Members, Config, Workers, Pools),
      Routes(Shared, Config, Workers, Pools, Upkeep),
      Tasks(Shared, Members, Config, Pools, Workers),
      Operators(Shared, Members, Config, Workers, Pools),
      PeerListener(*this, securityOf(Settings.Cluster)),
      HttpListener(serverOptions(Settings), [this](net::HttpRequest Request,
                                                   net::HttpResponder Respond) {
        route(std::move(Request), std::move(Respond));
      }) {
  Operators.add(Routes.routes());
  Operators.add(unresolvedRoutes(Tasks.unresolved()));
}

void Entry::Impl::route(net::HttpRequest Request, net::HttpResponder Respond) {
  if (Request.Path.starts_with("/v1/operator/"))
    return Operators.handle(std::move(Request), std::move(Respond));
  if (Request.Path.starts_with("/v1/"))
    return Tasks.handle(std::move(Request), std::move(Respond));
  net::HttpResponse Response;
  if (Request.Path == "/metrics")
    Response.Body = Counters.text();
  else if (Request.Path == "/healthz")
    Response.Body = "ok\n";
  else if (Request.Path == "/readyz")
    Response = !IsStopping && Members.isCurrent(net::now())
                   ? net::jsonResponse(200, R"({"ready":true})")
                   : net::jsonResponse(503, R"({"ready":false})");
  else
    Response = net::jsonResponse(404, R"({"error":"there is no such path"})");
  Respond(std::move(Response));
}

void Entry::Impl::startControl() {
  Config.start([this] { Pools.refresh(); });
  Members.start([this] { Pools.refresh(); });
  Workers.start([this] {
    Pools.refresh();
    Upkeep.step();
  });
  Pools.start();
}

void Entry::Impl::greet(const wire::GreetRequest &Request,
                        PeerResponder<wire::GreetReply> Respond) {
  Control.post([this, Request, Respond = std::move(Respond)] {
    Respond(Members.exchange().serveGreet(Request));
  });
}

void Entry::Impl::prove(const wire::ProveRequest &Request,
                        PeerResponder<wire::ProveReply> Respond) {
  Control.post([this, Request, Respond = std::move(Respond)] {
    Respond(Members.exchange().serveProve(Request));
  });
}

void Entry::Impl::notify(const wire::NotifyRequest &Request,
                         PeerResponder<wire::NotifyReply> Respond) {
  Control.post([this, Request, Respond = std::move(Respond)] {
    Respond(Members.exchange().serveNotify(Request));
  });
}

void Entry::Impl::acquire(const wire::AcquireRequest &Request,
                          PeerResponder<wire::AcquireReply> Respond) {
  Control.post([this, Request, Respond = std::move(Respond)] {
    Pools.serveAcquire(Request, Respond);
  });
}

void Entry::Impl::release(const wire::ReleaseRequest &Request,
                          PeerResponder<wire::ReleaseReply> Respond) {
  Control.post([this, Request, Respond = std::move(Respond)] {
    Respond(Pools.serveRelease(Request));
  });
}

void Entry::Impl::handOver(const wire::HandOverRequest &Request,
                           PeerResponder<wire::HandOverReply> Respond) {
  Control.post([this, Request, Respond = std::move(Respond)] {
    Pools.serveHandOver(Request, Respond);
  });
}

void Entry::Impl::listRunning(const wire::ListRunningRequest &Request,
                              PeerResponder<wire::ListRunningReply> Respond) {
  Control.post([this, Request, Respond = std::move(Respond)] {
    Respond(Pools.serveListRunning(Request));
  });
}

std::size_t Entry::Impl::openWrites() {
  auto Count = std::make_shared<std::promise<std::size_t>>();
  Control.post([this, Count] { Count->set_value(Tasks.openWrites()); });
  return Count->get_future().get();
}

void Entry::Impl::waitForWrites(core::TimePoint Until) {
  while (openWrites() > 0 && net::now() < Until)
    std::this_thread::sleep_for(WritePoll);
}

Entry::Entry(settings::Settings Settings, std::function<void()> OnFenced)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {
  Impl_->Members.setOnFenced(std::move(OnFenced));
}

Entry::~Entry() {
  Impl_->HttpListener.stop();
  Impl_->Control.stop();
  Impl_->PeerListener.stop();
  // The clients' callbacks use members that are about to be destroyed.
  Impl_->PlatformClient.stop();
  Impl_->WorkerClient.stop();
  Impl_->Peers.stop();
}

void Entry::start() {
  Impl_->PeerListener.start(Impl_->Settings.Entry.PeerListen);
  Impl_->HttpListener.start();
  Impl_->Control.start();
  Impl_->Control.post([this] { Impl_->startControl(); });
  LOG(INFO) << "entry: listening on " << Impl_->Settings.Entry.Listen;
}

void Entry::stopGracefully() {
  LOG(INFO) << "entry: stopping gracefully";
  Impl_->IsStopping = true;
  Impl_->HttpListener.endConnections();
  std::this_thread::sleep_for(Impl_->Settings.Traffic.LeaveNotice);
  Impl_->HttpListener.drain(Impl_->Settings.Traffic.DrainLimit);
  Impl_->waitForWrites(net::now() + WriteLimit);
  auto HasLeft = std::make_shared<std::promise<void>>();
  Impl_->Control.post([this, HasLeft] {
    Impl_->Pools.leave([this, HasLeft] {
      Impl_->Members.leave([HasLeft] { HasLeft->set_value(); });
    });
  });
  HasLeft->get_future().wait_for(LeaveLimit);
  LOG(INFO) << "entry: stopped";
}

} // namespace comfreydeck::entry
