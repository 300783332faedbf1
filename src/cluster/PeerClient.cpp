#include "cluster/PeerClient.h"

#include "cluster/PeerPaths_p.h"
#include "net/HttpClient.h"

namespace comfreydeck::cluster {

namespace {

constexpr int StatusOk = 200;
/// Each call that waits at an owner for a slot occupies a connection. This is a
/// quarter of the 4,100 descriptors of a small instance.
constexpr std::size_t MaxWaitingPerOwner = 1024;

std::shared_ptr<const net::TlsIdentity>
identityOf(const PeerSecurity &Security) {
  if (!Security.usesTls())
    return nullptr;
  return std::make_shared<net::TlsIdentity>(
      net::TlsIdentity{Security.Certificate, Security.Key, Security.Authority});
}

template <typename Reply>
std::optional<Reply> decode(const net::HttpResult &Result) {
  Reply Answer;
  bool Ok = Result.End == core::ExchangeEnd::Answered &&
            Result.Response.Status == StatusOk &&
            Answer.ParseFromString(Result.Response.Body);
  if (!Ok)
    return std::nullopt;
  return Answer;
}

} // namespace

struct PeerClient::Impl {
  Impl(PeerIdentity PeerIdentity, PeerSecurity PeerSecurity)
      : Identity(std::move(PeerIdentity)), Security(std::move(PeerSecurity)),
        Tls(identityOf(Security)) {}

  PeerIdentity Identity;
  PeerSecurity Security;
  std::shared_ptr<const net::TlsIdentity> Tls;
  net::HttpClient Client{{}};
  /// For calls that are answered only once a slot is free, so that proofs and
  /// releases don't queue behind them.
  net::HttpClient WaitingClient{{MaxWaitingPerOwner, MaxWaitingPerOwner}};

  template <typename Request, typename Reply>
  void call(net::HttpClient &Through, const char *Path,
            const std::string &Address, Request Asked, core::Duration Limit,
            PeerCallback<Reply> Done) {
    Asked.mutable_sender()->set_incarnation(Identity.Self.Value);
    Asked.mutable_sender()->set_name(Identity.Name);
    Asked.mutable_sender()->set_token(Security.Token);
    net::HttpCall Call;
    Call.Method = "POST";
    Call.Url = (Tls ? "https://" : "http://") + Address + Path;
    Call.Headers = {{"Content-Type", detail::MessageType}};
    Call.Body = Asked.SerializeAsString();
    Call.ConnectLimit = Limit;
    Call.TotalLimit = Limit;
    Call.Tls = Tls;
    Through.send(std::move(Call),
                 [Done = std::move(Done)](const net::HttpResult &Result) {
                   Done(decode<Reply>(Result));
                 });
  }
};

PeerClient::PeerClient(PeerIdentity Identity, PeerSecurity Security)
    : Impl_(std::make_unique<Impl>(std::move(Identity), std::move(Security))) {}

PeerClient::~PeerClient() { stop(); }

void PeerClient::stop() {
  Impl_->WaitingClient.stop();
  Impl_->Client.stop();
}

void PeerClient::greet(const std::string &Address, wire::GreetRequest Request,
                       core::Duration Limit,
                       PeerCallback<wire::GreetReply> Done) {
  Impl_->call(Impl_->Client, detail::GreetPath, Address, std::move(Request),
              Limit, std::move(Done));
}

void PeerClient::prove(const std::string &Address, wire::ProveRequest Request,
                       core::Duration Limit,
                       PeerCallback<wire::ProveReply> Done) {
  Impl_->call(Impl_->Client, detail::ProvePath, Address, std::move(Request),
              Limit, std::move(Done));
}

void PeerClient::notify(const std::string &Address, wire::NotifyRequest Request,
                        core::Duration Limit,
                        PeerCallback<wire::NotifyReply> Done) {
  Impl_->call(Impl_->Client, detail::NotifyPath, Address, std::move(Request),
              Limit, std::move(Done));
}

void PeerClient::acquire(const std::string &Address,
                         wire::AcquireRequest Request, core::Duration Limit,
                         PeerCallback<wire::AcquireReply> Done) {
  Impl_->call(Impl_->WaitingClient, detail::AcquirePath, Address,
              std::move(Request), Limit, std::move(Done));
}

void PeerClient::release(const std::string &Address,
                         wire::ReleaseRequest Request, core::Duration Limit,
                         PeerCallback<wire::ReleaseReply> Done) {
  Impl_->call(Impl_->Client, detail::ReleasePath, Address, std::move(Request),
              Limit, std::move(Done));
}

void PeerClient::handOver(const std::string &Address,
                          wire::HandOverRequest Request, core::Duration Limit,
                          PeerCallback<wire::HandOverReply> Done) {
  Impl_->call(Impl_->Client, detail::HandOverPath, Address, std::move(Request),
              Limit, std::move(Done));
}

void PeerClient::listRunning(const std::string &Address,
                             wire::ListRunningRequest Request,
                             core::Duration Limit,
                             PeerCallback<wire::ListRunningReply> Done) {
  Impl_->call(Impl_->Client, detail::ListRunningPath, Address,
              std::move(Request), Limit, std::move(Done));
}

} // namespace comfreydeck::cluster
