#include "cluster/PeerClient.h"
#include "cluster/PeerServer.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace comfreydeck;
using namespace comfreydeck::cluster;

namespace {

constexpr std::chrono::seconds CallLimit(5);

template <typename Reply> void answerEmpty(PeerResponder<Reply> Respond) {
  Respond(Reply());
}

/// Answers every call with an empty reply, and proof requests with a granted
/// proof that echoes the requested version.
class EchoHandler final : public PeerHandler {
public:
  void greet(const wire::GreetRequest & /*Request*/,
             PeerResponder<wire::GreetReply> Respond) override {
    answerEmpty<wire::GreetReply>(std::move(Respond));
  }
  void prove(const wire::ProveRequest &Request,
             PeerResponder<wire::ProveReply> Respond) override {
    wire::ProveReply Reply;
    Reply.set_granted(true);
    Reply.set_config_version(Request.config_version());
    Respond(std::move(Reply));
  }
  void notify(const wire::NotifyRequest & /*Request*/,
              PeerResponder<wire::NotifyReply> Respond) override {
    answerEmpty<wire::NotifyReply>(std::move(Respond));
  }
  void acquire(const wire::AcquireRequest & /*Request*/,
               PeerResponder<wire::AcquireReply> Respond) override {
    answerEmpty<wire::AcquireReply>(std::move(Respond));
  }
  void release(const wire::ReleaseRequest & /*Request*/,
               PeerResponder<wire::ReleaseReply> Respond) override {
    answerEmpty<wire::ReleaseReply>(std::move(Respond));
  }
  void handOver(const wire::HandOverRequest & /*Request*/,
                PeerResponder<wire::HandOverReply> Respond) override {
    answerEmpty<wire::HandOverReply>(std::move(Respond));
  }
  void listRunning(const wire::ListRunningRequest & /*Request*/,
                   PeerResponder<wire::ListRunningReply> Respond) override {
    answerEmpty<wire::ListRunningReply>(std::move(Respond));
  }
};

std::string addressOf(const PeerServer &Server) {
  return "127.0.0.1:" + std::to_string(Server.port());
}

std::optional<wire::ProveReply> prove(const std::string &Address,
                                      const PeerSecurity &Security) {
  PeerClient Client({{7}, "e7"}, Security);
  std::promise<std::optional<wire::ProveReply>> Done;
  wire::ProveRequest Request;
  Request.set_config_version(42);
  Client.prove(Address, Request, CallLimit,
               [&](auto Reply) { Done.set_value(std::move(Reply)); });
  return Done.get_future().get();
}

/// Sends raw bytes and reads until the server closes the connection.
void sendRaw(int Port, const std::string &Bytes) {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, "127.0.0.1", &To.sin_addr);
  REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0);
  CHECK(::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0);
  ::shutdown(Socket, SHUT_WR);
  char Buffer[256];
  while (::recv(Socket, Buffer, sizeof Buffer, 0) > 0) {
  }
  ::close(Socket);
}

std::string readFile(const std::filesystem::path &File) {
  std::ifstream Stream(File);
  std::stringstream Content;
  Content << Stream.rdbuf();
  return Content.str();
}

/// Creates a self-signed certificate for 127.0.0.1 that is also its own CA.
PeerSecurity makeCertificate(const std::string &Token) {
  std::string Folder = "/tmp/comfreydeck-tls-XXXXXX";
  REQUIRE(::mkdtemp(Folder.data()) != nullptr);
  std::string Command =
      "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 "
      "-nodes -days 2 -subj /CN=entry -addext subjectAltName=IP:127.0.0.1 "
      "-keyout " +
      Folder + "/key -out " + Folder + "/cert 2> /dev/null";
  REQUIRE(std::system(Command.c_str()) == 0);
  std::string Certificate = readFile(Folder + "/cert");
  PeerSecurity Security{Token, Certificate, readFile(Folder + "/key"),
                        Certificate};
  std::filesystem::remove_all(Folder);
  return Security;
}

struct TokenCase {
  const char *Token;
  bool Passes;
};

} // namespace

TEST_CASE("calls between entries without the right token are refused") {
  EchoHandler Handler;
  PeerServer Server(Handler, {"0123456789abcdef", "", "", ""});
  Server.start("127.0.0.1:0");
  const TokenCase Cases[] = {
      {"0123456789abcdef", true},   {"0123456789abcdeF", false},
      {"0123456789abcde", false},   {"", false},
      {"0123456789abcdef0", false},
  };
  for (const TokenCase &Case : Cases) {
    CAPTURE(Case.Token);
    auto Reply = prove(addressOf(Server), {Case.Token, "", "", ""});
    CHECK(Reply.has_value() == Case.Passes);
    if (Reply)
      CHECK(Reply->config_version() == 42);
  }
}

TEST_CASE("malformed input does not disturb the peer server") {
  EchoHandler Handler;
  PeerSecurity Security{"0123456789abcdef", "", "", ""};
  PeerServer Server(Handler, Security);
  Server.start("127.0.0.1:0");
  const std::string Cases[] = {"GET / HTTP/1.1\r\n\r\n", std::string(64, '\0'),
                               "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                                   std::string(200, '\xff')};
  for (const std::string &Bytes : Cases)
    sendRaw(Server.port(), Bytes);
  CHECK(prove(addressOf(Server), Security));
}

TEST_CASE("with TLS, only peers with a trusted certificate and the token are "
          "answered") {
  EchoHandler Handler;
  PeerSecurity Good = makeCertificate("0123456789abcdef");
  PeerServer Server(Handler, Good);
  Server.start("127.0.0.1:0");
  CHECK(prove(addressOf(Server), Good));
  CHECK_FALSE(prove(addressOf(Server), {Good.Token, "", "", ""}));
  CHECK_FALSE(prove(addressOf(Server), makeCertificate(Good.Token)));
  PeerSecurity WrongToken = Good;
  WrongToken.Token = "fedcba9876543210";
  CHECK_FALSE(prove(addressOf(Server), WrongToken));
}
