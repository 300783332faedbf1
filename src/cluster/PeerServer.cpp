#include "cluster/PeerServer.h"

#include "Peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <vector>

namespace comfreydeck::cluster {

namespace {

constexpr std::chrono::milliseconds StopLimit(200);

bool sameToken(const std::string &A, const std::string &B) {
  if (A.size() != B.size())
    return false;
  unsigned Different = 0;
  for (std::size_t I = 0; I < A.size(); ++I)
    Different |=
        static_cast<unsigned char>(A[I]) ^ static_cast<unsigned char>(B[I]);
  return Different == 0;
}

/// A call that is answered once, by the handler or when the server stops.
class OpenCall {
public:
  explicit OpenCall(grpc::ServerUnaryReactor *Reactor) : Reactor_(Reactor) {}

  /// Thread-safe. \p Fill runs only where the call is still open.
  void finish(const std::function<void()> &Fill, const grpc::Status &Status) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Reactor_)
      return;
    Fill();
    std::exchange(Reactor_, nullptr)->Finish(Status);
  }

private:
  std::mutex Mutex_;
  grpc::ServerUnaryReactor *Reactor_;
};

/// The calls that may be open; a server waits for all of them when it stops.
class OpenCalls {
public:
  /// Thread-safe.
  void add(const std::shared_ptr<OpenCall> &Call) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Stopped_)
      return Call->finish([] {}, cut());
    if (Calls_.size() >= SweepAt_) {
      std::erase_if(Calls_, [](const auto &Item) { return Item.expired(); });
      SweepAt_ = std::max(LeastSweep, 2 * Calls_.size());
    }
    Calls_.push_back(Call);
  }

  /// Thread-safe. Cuts every call that the handler has not answered, and all
  /// that come yet.
  void stop() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopped_ = true;
    for (const std::weak_ptr<OpenCall> &Item : Calls_)
      if (std::shared_ptr<OpenCall> Call = Item.lock())
        Call->finish([] {}, cut());
    Calls_.clear();
  }

private:
  static grpc::Status cut() {
    return {grpc::StatusCode::UNAVAILABLE, "the entry stops"};
  }

  static constexpr std::size_t LeastSweep = 1024;
  std::mutex Mutex_;
  std::vector<std::weak_ptr<OpenCall>> Calls_;
  std::size_t SweepAt_ = LeastSweep;
  bool Stopped_ = false;
};

class PeerService final : public wire::Peer::CallbackService {
public:
  PeerService(PeerHandler &Handler, std::string Token)
      : Handler_(Handler), Token_(std::move(Token)) {}

  /// Thread-safe. No call stays open from now on.
  void cutCalls() { Calls_.stop(); }

  grpc::ServerUnaryReactor *Greet(grpc::CallbackServerContext *Context,
                                  const wire::GreetRequest *Request,
                                  wire::GreetReply *Reply) override {
    return pass(Context, Request, Reply, &PeerHandler::greet);
  }

  grpc::ServerUnaryReactor *Prove(grpc::CallbackServerContext *Context,
                                  const wire::ProveRequest *Request,
                                  wire::ProveReply *Reply) override {
    return pass(Context, Request, Reply, &PeerHandler::prove);
  }

  grpc::ServerUnaryReactor *Notify(grpc::CallbackServerContext *Context,
                                   const wire::NotifyRequest *Request,
                                   wire::NotifyReply *Reply) override {
    return pass(Context, Request, Reply, &PeerHandler::notify);
  }

  grpc::ServerUnaryReactor *Acquire(grpc::CallbackServerContext *Context,
                                    const wire::AcquireRequest *Request,
                                    wire::AcquireReply *Reply) override {
    return pass(Context, Request, Reply, &PeerHandler::acquire);
  }

  grpc::ServerUnaryReactor *Release(grpc::CallbackServerContext *Context,
                                    const wire::ReleaseRequest *Request,
                                    wire::ReleaseReply *Reply) override {
    return pass(Context, Request, Reply, &PeerHandler::release);
  }

  grpc::ServerUnaryReactor *HandOver(grpc::CallbackServerContext *Context,
                                     const wire::HandOverRequest *Request,
                                     wire::HandOverReply *Reply) override {
    return pass(Context, Request, Reply, &PeerHandler::handOver);
  }

  grpc::ServerUnaryReactor *
  ListRunning(grpc::CallbackServerContext *Context,
              const wire::ListRunningRequest *Request,
              wire::ListRunningReply *Reply) override {
    return pass(Context, Request, Reply, &PeerHandler::listRunning);
  }

private:
  template <typename Request, typename Reply>
  grpc::ServerUnaryReactor *
  pass(grpc::CallbackServerContext *Context, const Request *Asked, Reply *Out,
       void (PeerHandler::*Method)(const Request &, PeerResponder<Reply>)) {
    grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
    if (!sameToken(Asked->sender().token(), Token_)) {
      Reactor->Finish({grpc::StatusCode::UNAUTHENTICATED, "wrong token"});
      return Reactor;
    }
    auto Open = std::make_shared<OpenCall>(Reactor);
    Calls_.add(Open);
    (Handler_.*Method)(*Asked, [Open, Out](Reply Answer) {
      Open->finish([&] { *Out = std::move(Answer); }, grpc::Status::OK);
    });
    return Reactor;
  }

  PeerHandler &Handler_;
  std::string Token_;
  OpenCalls Calls_;
};

std::shared_ptr<grpc::ServerCredentials>
credentialsOf(const PeerSecurity &Security) {
  if (!Security.usesTls())
    return grpc::InsecureServerCredentials();
  grpc::SslServerCredentialsOptions Options(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  Options.pem_root_certs = Security.Authority;
  Options.pem_key_cert_pairs.push_back({Security.Key, Security.Certificate});
  return grpc::SslServerCredentials(Options);
}

} // namespace

struct PeerServer::Impl {
  Impl(PeerHandler &Handler, PeerSecurity PeerSecurity)
      : Security(std::move(PeerSecurity)), Service(Handler, Security.Token) {}

  PeerSecurity Security;
  PeerService Service;
  std::unique_ptr<grpc::Server> Server;
  int Port = 0;
};

PeerServer::PeerServer(PeerHandler &Handler, PeerSecurity Security)
    : Impl_(std::make_unique<Impl>(Handler, std::move(Security))) {}

PeerServer::~PeerServer() { stop(); }

void PeerServer::start(const std::string &Address) {
  grpc::ServerBuilder Builder;
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(Address, credentialsOf(Impl_->Security),
                           &Impl_->Port);
  Builder.RegisterService(&Impl_->Service);
  Impl_->Server = Builder.BuildAndStart();
  if (!Impl_->Server || Impl_->Port == 0)
    throw std::runtime_error("cluster: can't listen on " + Address);
}

void PeerServer::stop() {
  if (!Impl_->Server)
    return;
  Impl_->Service.cutCalls();
  Impl_->Server->Shutdown(std::chrono::system_clock::now() + StopLimit);
  Impl_->Server->Wait();
  Impl_->Server.reset();
}

int PeerServer::port() const { return Impl_->Port; }

} // namespace comfreydeck::cluster
