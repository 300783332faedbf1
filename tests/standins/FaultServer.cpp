#include "standins/FaultServer.h"

#include <asio.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <thread>

namespace comfreydeck::standins {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadChunkBytes = 64 * 1024;

std::string headerValue(const std::string &Text, const std::string &Name) {
  std::size_t At = Text.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 4;
  return Text.substr(At, Text.find("\r\n", At) - At);
}

/// Returns the length of the first complete request in \p Text, zero if there
/// is none.
std::size_t wholeLength(const std::string &Text) {
  std::size_t HeadEnd = Text.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return 0;
  std::string Length = headerValue(Text.substr(0, HeadEnd), "Content-Length");
  std::size_t Body = 0;
  std::from_chars(Length.data(), Length.data() + Length.size(), Body);
  std::size_t Whole = HeadEnd + 4 + Body;
  return Text.size() >= Whole ? Whole : 0;
}

std::string withId(std::string Answer, const std::string &Id) {
  const std::string Mark = "{id}";
  for (std::size_t At = 0; (At = Answer.find(Mark, At)) != std::string::npos;)
    Answer.replace(At, Mark.size(), Id);
  return Answer;
}

} // namespace

struct FaultServer::Impl {
  /// One connection and the bytes read of its current request.
  struct Connection {
    explicit Connection(tcp::socket S) : Socket(std::move(S)) {}
    tcp::socket Socket;
    std::string Text;
    std::array<char, ReadChunkBytes> Chunk{};
    FaultScript Script;
    bool Scripted = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  explicit Impl(std::vector<FaultScript> S)
      : Scripts(std::move(S)),
        Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Port = Acceptor.local_endpoint().port();
  }

  void accept();
  void beginRequest(const ConnectionPtr &C);
  void read(const ConnectionPtr &C);
  void onRead(const ConnectionPtr &C);
  void act(const ConnectionPtr &C);
  void write(const ConnectionPtr &C, const std::string &Id);
  void end(const ConnectionPtr &C);

  std::vector<FaultScript> Scripts;
  std::size_t NextScript = 0;
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  std::atomic<std::uint32_t> Connections = 0;
  std::atomic<std::uint32_t> Whole = 0;
  std::atomic<std::uint32_t> Started = 0;
  std::thread Thread;
};

void FaultServer::Impl::accept() {
  Acceptor.async_accept([this](std::error_code Failed, tcp::socket Socket) {
    if (Failed)
      return;
    ++Connections;
    beginRequest(std::make_shared<Connection>(std::move(Socket)));
    accept();
  });
}

void FaultServer::Impl::beginRequest(const ConnectionPtr &C) {
  C->Scripted = false;
  if (Scripts[std::min(NextScript, Scripts.size() - 1)].ReadBytes == 0) {
    C->Script = Scripts[std::min(NextScript++, Scripts.size() - 1)];
    return act(C);
  }
  read(C);
}

void FaultServer::Impl::read(const ConnectionPtr &C) {
  C->Socket.async_read_some(asio::buffer(C->Chunk),
                            [this, C](std::error_code Failed, std::size_t N) {
                              if (Failed)
                                return;
                              C->Text.append(C->Chunk.data(), N);
                              onRead(C);
                            });
}

void FaultServer::Impl::onRead(const ConnectionPtr &C) {
  if (!C->Scripted) {
    ++Started;
    C->Scripted = true;
    C->Script = Scripts[std::min(NextScript++, Scripts.size() - 1)];
  }
  bool Enough = C->Script.ReadBytes == FaultScript::WholeRequest
                    ? wholeLength(C->Text) > 0
                    : C->Text.size() >= C->Script.ReadBytes;
  if (!Enough)
    return read(C);
  act(C);
}

void FaultServer::Impl::act(const ConnectionPtr &C) {
  std::string Id = headerValue(C->Text, "Task-Id");
  std::size_t Length = wholeLength(C->Text);
  Whole += Length > 0 ? 1 : 0;
  C->Text.erase(0, Length);
  if (C->Script.CloseListener)
    Acceptor.close();
  auto Timer = std::make_shared<asio::steady_timer>(Io, C->Script.Delay);
  Timer->async_wait([this, C, Id, Timer](std::error_code Failed) {
    if (!Failed)
      write(C, Id);
  });
}

void FaultServer::Impl::write(const ConnectionPtr &C, const std::string &Id) {
  if (C->Script.Answer.empty())
    return end(C);
  auto Bytes = std::make_shared<std::string>(withId(C->Script.Answer, Id));
  asio::async_write(C->Socket, asio::buffer(*Bytes),
                    [this, C, Bytes](std::error_code Failed, std::size_t) {
                      if (!Failed)
                        end(C);
                    });
}

void FaultServer::Impl::end(const ConnectionPtr &C) {
  std::error_code Ignored;
  switch (C->Script.End) {
  case ConnectionEnd::Keep:
    return beginRequest(C);
  case ConnectionEnd::Close:
    C->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    C->Socket.close(Ignored);
    return;
  case ConnectionEnd::Reset:
    C->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    C->Socket.close(Ignored);
    return;
  }
}

FaultServer::FaultServer(std::vector<FaultScript> Scripts)
    : Impl_(std::make_unique<Impl>(std::move(Scripts))) {
  Impl_->accept();
  Impl_->Thread = std::thread([this] { Impl_->Io.run(); });
}

FaultServer::~FaultServer() {
  Impl_->Io.stop();
  Impl_->Thread.join();
}

std::uint16_t FaultServer::port() const { return Impl_->Port; }

std::uint32_t FaultServer::connections() const { return Impl_->Connections; }

std::uint32_t FaultServer::wholeRequests() const { return Impl_->Whole; }

std::uint32_t FaultServer::startedRequests() const { return Impl_->Started; }

std::string rawAnswer(int Status, const std::string &Headers,
                      const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace comfreydeck::standins
