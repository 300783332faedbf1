#include "cluster/PeerClient.h"

#include "Peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace comfreydeck::cluster {

namespace {

constexpr int ReconnectLeastMs = 50;
constexpr int ReconnectMostMs = 1000;

std::shared_ptr<grpc::ChannelCredentials>
credentialsOf(const PeerSecurity &Security) {
  if (!Security.usesTls())
    return grpc::InsecureChannelCredentials();
  grpc::SslCredentialsOptions Options;
  Options.pem_root_certs = Security.Authority;
  Options.pem_private_key = Security.Key;
  Options.pem_cert_chain = Security.Certificate;
  return grpc::SslCredentials(Options);
}

} // namespace

struct PeerClient::Impl {
  Impl(PeerIdentity PeerIdentity, PeerSecurity PeerSecurity)
      : Identity(std::move(PeerIdentity)), Security(std::move(PeerSecurity)),
        Credentials(credentialsOf(Security)) {}

  PeerIdentity Identity;
  PeerSecurity Security;
  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  std::mutex Mutex;
  std::condition_variable AllDone;
  std::map<std::string, std::shared_ptr<wire::Peer::Stub>> Stubs;
  std::set<grpc::ClientContext *> Flying;

  std::shared_ptr<wire::Peer::Stub> stubFor(const std::string &Address);
  void began(grpc::ClientContext *Context);
  void ended(grpc::ClientContext *Context);

  template <typename Request, typename Reply, typename Method>
  void call(const std::string &Address, Request Asked, core::Duration Limit,
            PeerCallback<Reply> Done, Method Start);
};

std::shared_ptr<wire::Peer::Stub>
PeerClient::Impl::stubFor(const std::string &Address) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::shared_ptr<wire::Peer::Stub> &Stub = Stubs[Address];
  if (!Stub) {
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectLeastMs);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectLeastMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMostMs);
    Stub = wire::Peer::NewStub(
        grpc::CreateCustomChannel(Address, Credentials, Arguments));
  }
  return Stub;
}

void PeerClient::Impl::began(grpc::ClientContext *Context) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Flying.insert(Context);
}

void PeerClient::Impl::ended(grpc::ClientContext *Context) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Flying.erase(Context);
  AllDone.notify_all();
}

template <typename Request, typename Reply, typename Method>
void PeerClient::Impl::call(const std::string &Address, Request Asked,
                            core::Duration Limit, PeerCallback<Reply> Done,
                            Method Start) {
  /// Lives until the callback has run.
  struct Call {
    std::shared_ptr<wire::Peer::Stub> Stub;
    grpc::ClientContext Context;
    Request Asked;
    Reply Answer;
  };
  auto C = std::make_shared<Call>();
  C->Stub = stubFor(Address);
  C->Asked = std::move(Asked);
  C->Asked.mutable_sender()->set_incarnation(Identity.Self.Value);
  C->Asked.mutable_sender()->set_name(Identity.Name);
  C->Asked.mutable_sender()->set_token(Security.Token);
  C->Context.set_deadline(std::chrono::system_clock::now() + Limit);
  began(&C->Context);
  Start(*C->Stub->async(), &C->Context, &C->Asked, &C->Answer,
        [this, C, Done = std::move(Done)](const grpc::Status &Status) {
          if (Status.ok())
            Done(std::move(C->Answer));
          else
            Done(std::nullopt);
          ended(&C->Context);
        });
}

PeerClient::PeerClient(PeerIdentity Identity, PeerSecurity Security)
    : Impl_(std::make_unique<Impl>(std::move(Identity), std::move(Security))) {}

PeerClient::~PeerClient() { stop(); }

void PeerClient::stop() {
  std::unique_lock<std::mutex> Lock(Impl_->Mutex);
  for (grpc::ClientContext *Context : Impl_->Flying)
    Context->TryCancel();
  Impl_->AllDone.wait(Lock, [this] { return Impl_->Flying.empty(); });
}

void PeerClient::greet(const std::string &Address, wire::GreetRequest Request,
                       core::Duration Limit,
                       PeerCallback<wire::GreetReply> Done) {
  Impl_->call(Address, std::move(Request), Limit, std::move(Done),
              [](auto &Stub, auto... Arguments) { Stub.Greet(Arguments...); });
}

void PeerClient::prove(const std::string &Address, wire::ProveRequest Request,
                       core::Duration Limit,
                       PeerCallback<wire::ProveReply> Done) {
  Impl_->call(Address, std::move(Request), Limit, std::move(Done),
              [](auto &Stub, auto... Arguments) { Stub.Prove(Arguments...); });
}

void PeerClient::notify(const std::string &Address, wire::NotifyRequest Request,
                        core::Duration Limit,
                        PeerCallback<wire::NotifyReply> Done) {
  Impl_->call(Address, std::move(Request), Limit, std::move(Done),
              [](auto &Stub, auto... Arguments) { Stub.Notify(Arguments...); });
}

void PeerClient::acquire(const std::string &Address,
                         wire::AcquireRequest Request, core::Duration Limit,
                         PeerCallback<wire::AcquireReply> Done) {
  Impl_->call(
      Address, std::move(Request), Limit, std::move(Done),
      [](auto &Stub, auto... Arguments) { Stub.Acquire(Arguments...); });
}

void PeerClient::release(const std::string &Address,
                         wire::ReleaseRequest Request, core::Duration Limit,
                         PeerCallback<wire::ReleaseReply> Done) {
  Impl_->call(
      Address, std::move(Request), Limit, std::move(Done),
      [](auto &Stub, auto... Arguments) { Stub.Release(Arguments...); });
}

void PeerClient::handOver(const std::string &Address,
                          wire::HandOverRequest Request, core::Duration Limit,
                          PeerCallback<wire::HandOverReply> Done) {
  Impl_->call(
      Address, std::move(Request), Limit, std::move(Done),
      [](auto &Stub, auto... Arguments) { Stub.HandOver(Arguments...); });
}

void PeerClient::listRunning(const std::string &Address,
                             wire::ListRunningRequest Request,
                             core::Duration Limit,
                             PeerCallback<wire::ListRunningReply> Done) {
  Impl_->call(
      Address, std::move(Request), Limit, std::move(Done),
      [](auto &Stub, auto... Arguments) { Stub.ListRunning(Arguments...); });
}

} // namespace comfreydeck::cluster
