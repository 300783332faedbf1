#include "soak/Proxy.h"

#include <asio.hpp>

#include <array>
#include <set>

namespace comfreydeck::soak {

using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Interval at which held bytes are looked at again.
constexpr milliseconds HoldPoll(20);
constexpr std::size_t BufferBytes = std::size_t{16} << 10;

} // namespace

struct Link;

struct Proxy {
  Proxy(asio::io_context &Io, std::uint16_t ToPort)
      : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Target(asio::ip::address_v4::loopback(), ToPort) {}

  tcp::acceptor Acceptor;
  tcp::endpoint Target;
  LinkFault Fault = LinkFault::None;
  core::Duration Delay{0};
  std::set<std::shared_ptr<Link>> Links;
};

/// A connection and its counterpart at the target.
struct Link : std::enable_shared_from_this<Link> {
  struct Direction {
    explicit Direction(asio::io_context &Io) : Timer(Io) {}
    asio::steady_timer Timer;
    std::array<char, BufferBytes> Buffer;
    std::size_t Length = 0;
    LinkFault HeldBy = LinkFault::None;
  };

  Link(asio::io_context &Io, Proxy &P, tcp::socket From)
      : Owner(P), Client(std::move(From)), Server(Io), Requests(Io),
        Responses(Io) {
    Requests.HeldBy = LinkFault::HoldRequests;
    Responses.HeldBy = LinkFault::HoldResponses;
  }

  Proxy &Owner;
  tcp::socket Client;
  tcp::socket Server;
  Direction Requests;
  Direction Responses;
  bool Silenced = false;

  void begin() {
    Server.async_connect(Owner.Target,
                         [this, Self = shared_from_this()](asio::error_code E) {
                           if (E) {
                             end(true);
                             return;
                           }
                           read(Client, Server, Requests);
                           read(Server, Client, Responses);
                         });
  }

  void read(tcp::socket &From, tcp::socket &To, Direction &D) {
    From.async_read_some(asio::buffer(D.Buffer),
                         [this, &From, &To, &D, Self = shared_from_this()](
                             asio::error_code E, std::size_t Length) {
                           if (E) {
                             end(E == asio::error::connection_reset);
                             return;
                           }
                           D.Length = Length;
                           bool Delayed = Owner.Fault == LinkFault::Delay;
                           wait(From, To, D,
                                Delayed ? Owner.Delay : core::Duration::zero());
                         });
  }

  bool isHeld(const Direction &D) const {
    return Silenced || Owner.Fault == LinkFault::Silence ||
           Owner.Fault == D.HeldBy;
  }

  void wait(tcp::socket &From, tcp::socket &To, Direction &D,
            core::Duration Delay) {
    if (Delay == core::Duration::zero() && !isHeld(D)) {
      write(From, To, D);
      return;
    }
    core::Duration Span =
        Delay == core::Duration::zero() ? core::Duration(HoldPoll) : Delay;
    D.Timer.expires_after(Span);
    D.Timer.async_wait(
        [this, &From, &To, &D, Self = shared_from_this()](asio::error_code E) {
          if (!E)
            wait(From, To, D, core::Duration::zero());
        });
  }

  void write(tcp::socket &From, tcp::socket &To, Direction &D) {
    asio::async_write(To, asio::buffer(D.Buffer, D.Length),
                      [this, &From, &To, &D, Self = shared_from_this()](
                          asio::error_code E, std::size_t) {
                        if (E)
                          end(true);
                        else
                          read(From, To, D);
                      });
  }

  void end(bool WithReset) {
    asio::error_code Ignored;
    for (tcp::socket *Socket : {&Client, &Server}) {
      if (WithReset)
        Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
    Requests.Timer.cancel();
    Responses.Timer.cancel();
    Owner.Links.erase(shared_from_this());
  }
};

struct ProxyNetwork::Impl {
  asio::io_context Io;
  std::vector<std::unique_ptr<Proxy>> Proxies;
  std::thread Thread;

  void accept(Proxy &P) {
    P.Acceptor.async_accept([this, &P](asio::error_code E, tcp::socket Socket) {
      if (E == asio::error::operation_aborted)
        return;
      if (!E) {
        auto New = std::make_shared<Link>(Io, P, std::move(Socket));
        P.Links.insert(New);
        New->begin();
      }
      accept(P);
    });
  }
};

ProxyNetwork::ProxyNetwork() : Impl_(std::make_unique<Impl>()) {}

ProxyNetwork::~ProxyNetwork() { stop(); }

std::size_t ProxyNetwork::add(std::uint16_t Target) {
  Impl_->Proxies.push_back(std::make_unique<Proxy>(Impl_->Io, Target));
  return Impl_->Proxies.size() - 1;
}

void ProxyNetwork::start() {
  for (auto &P : Impl_->Proxies)
    Impl_->accept(*P);
  Impl_->Thread = std::thread([this] { Impl_->Io.run(); });
}

void ProxyNetwork::stop() {
  Impl_->Io.stop();
  if (Impl_->Thread.joinable())
    Impl_->Thread.join();
}

std::uint16_t ProxyNetwork::port(std::size_t N) const {
  return Impl_->Proxies[N]->Acceptor.local_endpoint().port();
}

void ProxyNetwork::setFault(std::size_t N, LinkFault Fault,
                            core::Duration Delay) {
  asio::post(Impl_->Io, [this, N, Fault, Delay] {
    Impl_->Proxies[N]->Fault = Fault;
    Impl_->Proxies[N]->Delay = Delay;
  });
}

void ProxyNetwork::reset(std::size_t N) {
  asio::post(Impl_->Io, [this, N] {
    std::set<std::shared_ptr<Link>> Open = Impl_->Proxies[N]->Links;
    for (const std::shared_ptr<Link> &L : Open)
      L->end(true);
  });
}

void ProxyNetwork::silenceOpen(std::size_t N) {
  asio::post(Impl_->Io, [this, N] {
    for (const std::shared_ptr<Link> &L : Impl_->Proxies[N]->Links)
      L->Silenced = true;
  });
}

} // namespace comfreydeck::soak
