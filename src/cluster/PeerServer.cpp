#include "cluster/PeerServer.h"

#include "cluster/PeerPaths_p.h"
#include "net/HttpServer.h"

#include <charconv>
#include <map>

namespace comfreydeck::cluster {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
/// Calls between entries are small; a larger body can't come from an entry.
constexpr std::size_t MaxCallBytes = std::size_t{4} << 20;

bool constantTimeEqual(const std::string &A, const std::string &B) {
  if (A.size() != B.size())
    return false;
  unsigned Different = 0;
  for (std::size_t I = 0; I < A.size(); ++I)
    Different |=
        static_cast<unsigned char>(A[I]) ^ static_cast<unsigned char>(B[I]);
  return Different == 0;
}

net::HttpResponse bytesResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", detail::MessageType}}, std::move(Body)};
}

using Method =
    std::function<void(const net::HttpRequest &, net::HttpResponder)>;

/// Returns a method that decodes a call, checks its token and passes it to the
/// handler.
template <typename Request, typename Reply>
Method methodOf(PeerHandler &Handler, const std::string &Token,
                void (PeerHandler::*Call)(const Request &,
                                          PeerResponder<Reply>)) {
  return [&Handler, &Token, Call](const net::HttpRequest &Received,
                                  net::HttpResponder Respond) {
    Request Asked;
    if (!Asked.ParseFromString(Received.Body)) {
      Respond(bytesResponse(StatusBadRequest, ""));
      return;
    }
    if (!constantTimeEqual(Asked.sender().token(), Token)) {
      Respond(bytesResponse(StatusUnauthorized, ""));
      return;
    }
    (Handler.*Call)(Asked, [Respond = std::move(Respond)](const Reply &Answer) {
      Respond(bytesResponse(StatusOk, Answer.SerializeAsString()));
    });
  };
}

net::HttpServerOptions serverOptions(const std::string &Address,
                                     const PeerSecurity &Security) {
  net::HttpServerOptions Options;
  std::size_t Colon = Address.rfind(':');
  Options.Address = Address.substr(0, Colon);
  std::from_chars(Address.data() + Colon + 1, Address.data() + Address.size(),
                  Options.Port);
  Options.MaxBodyBytes = MaxCallBytes;
  if (Security.usesTls())
    Options.Tls = std::make_shared<net::TlsIdentity>(net::TlsIdentity{
        Security.Certificate, Security.Key, Security.Authority});
  return Options;
}

} // namespace

struct PeerServer::Impl {
  Impl(PeerHandler &Handler, PeerSecurity PeerSecurity)
      : Security(std::move(PeerSecurity)) {
    const std::string &Token = Security.Token;
    Methods = {
        {detail::GreetPath, methodOf(Handler, Token, &PeerHandler::greet)},
        {detail::ProvePath, methodOf(Handler, Token, &PeerHandler::prove)},
        {detail::NotifyPath, methodOf(Handler, Token, &PeerHandler::notify)},
        {detail::AcquirePath, methodOf(Handler, Token, &PeerHandler::acquire)},
        {detail::ReleasePath, methodOf(Handler, Token, &PeerHandler::release)},
        {detail::HandOverPath,
         methodOf(Handler, Token, &PeerHandler::handOver)},
        {detail::ListRunningPath,
         methodOf(Handler, Token, &PeerHandler::listRunning)}};
  }

  void handle(const net::HttpRequest &Request, net::HttpResponder Respond) {
    auto It = Methods.find(Request.Path);
    if (It == Methods.end())
      Respond(bytesResponse(StatusNotFound, ""));
    else
      It->second(Request, std::move(Respond));
  }

  PeerSecurity Security;
  std::map<std::string, Method> Methods;
  std::unique_ptr<net::HttpServer> Server;
};

PeerServer::PeerServer(PeerHandler &Handler, PeerSecurity Security)
    : Impl_(std::make_unique<Impl>(Handler, std::move(Security))) {}

PeerServer::~PeerServer() { stop(); }

void PeerServer::start(const std::string &Address) {
  Impl *I = Impl_.get();
  I->Server = std::make_unique<net::HttpServer>(
      serverOptions(Address, I->Security),
      [I](net::HttpRequest Request, net::HttpResponder Respond) {
        I->handle(Request, std::move(Respond));
      });
  I->Server->start();
}

void PeerServer::stop() {
  if (Impl_->Server)
    Impl_->Server->stop();
}

int PeerServer::port() const { return Impl_->Server->port(); }

} // namespace comfreydeck::cluster
