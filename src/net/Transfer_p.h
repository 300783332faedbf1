#ifndef COMFREYDECK_NET_TRANSFER_P_H
#define COMFREYDECK_NET_TRANSFER_P_H

#include "net/HttpClient.h"
#include "net/SocketPoller_p.h"

#include <curl/curl.h>

#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>

/// What libcurl is told of one call, and what it tells of sockets. All of it is
/// used on a client's thread only.
namespace comfreydeck::net::detail {

using SteadyTime = std::chrono::steady_clock::time_point;

/// What goes on with one host.
struct Host {
  std::size_t Flying = 0;
  /// Calls that wait for a connection; some may have ended meanwhile.
  std::deque<std::uint64_t> Waiting;
  /// Open sockets, in use or kept.
  std::vector<int> Sockets;
};

/// The sockets of a client's hosts.
struct SocketBook {
  SocketPoller Poller;
  std::unordered_map<std::string, Host> Hosts;
  std::unordered_map<int, std::string> HostOfSocket;
  /// When libcurl wants to be called without an event.
  std::optional<SteadyTime> TimerAt;
};

/// One call; its handle is null until a connection may be used for it.
struct Transfer {
  std::uint64_t Id = 0;
  HttpCall Call;
  HttpCallback Done;
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  HttpResult Result;
  SteadyTime Until;
  std::string HostName;
  SocketBook *Book = nullptr;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Easy);
  }
};

/// The part of a URL before its path.
std::string hostOf(const std::string &Url);

/// Drops what is known of a host that has neither calls nor sockets.
void forgetIfIdle(SocketBook &Book, const std::string &Name);

/// Tells the call's handle all about it. It ends \p Left from now at most.
void setUp(Transfer &T, core::Duration Left);

/// How a call ended that libcurl ended with \p Code.
core::ExchangeEnd endOf(const Transfer &T, CURLcode Code);

/// Callbacks of a multi handle; the last pointer but one is the SocketBook.
int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *Book,
             void *Unused);
int onTimer(CURLM *Multi, long Ms, void *Book);

} // namespace comfreydeck::net::detail

#endif // COMFREYDECK_NET_TRANSFER_P_H
