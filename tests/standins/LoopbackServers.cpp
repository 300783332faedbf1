#include "standins/LoopbackServers.h"

#include <asio.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <deque>
#include <thread>

namespace comfreydeck::standins {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadChunkBytes = 4096;
constexpr std::size_t FirstHost = 2;
constexpr std::size_t HostsPerNet = 250;
const std::string HeadMark = "\r\n\r\n";
const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Type: "
                           "application/json\r\nContent-Length: 2\r\n\r\n{}";

std::size_t numberIn(const std::string &Head, const std::string &Name) {
  std::size_t At = Head.find("\r\n" + Name + ": ");
  std::size_t Value = 0;
  if (At == std::string::npos)
    return Value;
  At += Name.size() + 4;
  std::from_chars(Head.data() + At, Head.data() + Head.size(), Value);
  return Value;
}

} // namespace

struct LoopbackServers::Impl {
  struct Host {
    explicit Host(tcp::acceptor A) : Acceptor(std::move(A)) {}
    tcp::acceptor Acceptor;
    std::atomic<std::uint32_t> Accepted = 0;
  };
  struct Connection {
    explicit Connection(tcp::socket S)
        : Socket(std::move(S)), Timer(Socket.get_executor()) {}
    tcp::socket Socket;
    asio::steady_timer Timer;
    std::string Text;
    std::array<char, ReadChunkBytes> Chunk{};
    std::uint32_t Number = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  asio::io_context Io;
  std::deque<Host> Hosts;
  std::atomic<std::uint32_t> Connections = 0;
  std::atomic<std::uint32_t> Requests = 0;
  std::atomic<std::uint32_t> MutedUpTo = 0;
  std::thread Thread;

  void accept(Host &H);
  void read(const ConnectionPtr &C);
  void onRead(const ConnectionPtr &C);
  void answer(const ConnectionPtr &C);
};

void LoopbackServers::Impl::accept(Host &H) {
  H.Acceptor.async_accept([this, &H](std::error_code Failed, tcp::socket S) {
    if (Failed)
      return;
    ++H.Accepted;
    auto C = std::make_shared<Connection>(std::move(S));
    C->Number = ++Connections;
    read(C);
    accept(H);
  });
}

void LoopbackServers::Impl::read(const ConnectionPtr &C) {
  C->Socket.async_read_some(asio::buffer(C->Chunk),
                            [this, C](std::error_code Failed, std::size_t N) {
                              if (Failed)
                                return;
                              C->Text.append(C->Chunk.data(), N);
                              onRead(C);
                            });
}

void LoopbackServers::Impl::onRead(const ConnectionPtr &C) {
  std::size_t HeadEnd = C->Text.find(HeadMark);
  if (HeadEnd == std::string::npos) {
    read(C);
    return;
  }
  std::string Head = C->Text.substr(0, HeadEnd + HeadMark.size());
  std::size_t Whole = Head.size() + numberIn(Head, "Content-Length");
  if (C->Text.size() < Whole) {
    read(C);
    return;
  }
  C->Text.erase(0, Whole);
  ++Requests;
  if (C->Number <= MutedUpTo) {
    // Sends no answer and keeps the connection open until the peer closes it.
    read(C);
    return;
  }
  std::size_t DelayMs = numberIn(Head, "Delay-Ms");
  if (DelayMs == 0) {
    answer(C);
    return;
  }
  C->Timer.expires_after(std::chrono::milliseconds(DelayMs));
  C->Timer.async_wait([this, C](std::error_code Failed) {
    if (!Failed)
      answer(C);
  });
}

void LoopbackServers::Impl::answer(const ConnectionPtr &C) {
  asio::async_write(C->Socket, asio::buffer(Answer),
                    [this, C](std::error_code Failed, std::size_t) {
                      if (!Failed)
                        read(C);
                    });
}

LoopbackServers::LoopbackServers(std::size_t Hosts)
    : Impl_(std::make_unique<Impl>()) {
  for (std::size_t N = 0; N < Hosts; ++N) {
    std::string Address = "127.0." + std::to_string(N / HostsPerNet) + "." +
                          std::to_string(FirstHost + N % HostsPerNet);
    Impl_->Hosts.emplace_back(tcp::acceptor(
        Impl_->Io, tcp::endpoint(asio::ip::make_address(Address), 0)));
    Impl_->accept(Impl_->Hosts.back());
  }
  Impl_->Thread = std::thread([this] { Impl_->Io.run(); });
}

LoopbackServers::~LoopbackServers() {
  Impl_->Io.stop();
  Impl_->Thread.join();
}

std::string LoopbackServers::address(std::size_t Host) const {
  tcp::endpoint Where = Impl_->Hosts[Host].Acceptor.local_endpoint();
  return Where.address().to_string() + ":" + std::to_string(Where.port());
}

std::uint32_t LoopbackServers::connections() const {
  return Impl_->Connections;
}

std::uint32_t LoopbackServers::connections(std::size_t Host) const {
  return Impl_->Hosts[Host].Accepted;
}

std::uint32_t LoopbackServers::requests() const { return Impl_->Requests; }

void LoopbackServers::muteOpenConnections() {
  Impl_->MutedUpTo = Impl_->Connections.load();
}

} // namespace comfreydeck::standins
