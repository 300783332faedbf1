#ifndef COMFREYDECK_NET_TRANSFER_P_H
#define COMFREYDECK_NET_TRANSFER_P_H

#include "net/HttpClient.h"
#include "net/SocketPoller_p.h"

#include <curl/curl.h>

#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>

/// Sets up libcurl handles for calls, and tracks the sockets that libcurl
/// opens. Used on a client's thread only.
namespace comfreydeck::net::detail {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Calls and sockets of one host.
struct Host {
  std::size_t InFlight = 0;
  /// Ids of calls that wait for a connection; some may have ended already.
  std::deque<std::uint64_t> Waiting;
  /// Open sockets, in use or idle.
  std::vector<int> Sockets;
};

/// Hosts and sockets of one client.
struct SocketRegistry {
  SocketPoller Poller;
  std::unordered_map<std::string, Host> Hosts;
  std::unordered_map<int, std::string> HostOfSocket;
  /// When libcurl's timer is due.
  std::optional<SteadyTime> TimerAt;
  /// When the poller was last asked for events.
  SteadyTime PolledAt;
};

/// One call. Its handle is null while it waits for a free connection.
struct Transfer {
  std::uint64_t Id = 0;
  HttpCall Call;
  HttpCallback Done;
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  HttpResult Result;
  SteadyTime Deadline;
  /// On the clock of \ref bootNow; empty if there is no limit.
  std::optional<core::TimePoint> SendBy;
  /// Not sent, since \ref SendBy had passed.
  bool Withheld = false;
  /// Value of SocketRegistry::PolledAt when the last part of the response was
  /// read.
  SteadyTime ReceivedAt;
  /// Until then, a response that is still arriving after the deadline is read.
  std::optional<SteadyTime> GraceUntil;
  std::string HostName;
  SocketRegistry *Registry = nullptr;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Easy);
  }
};

/// Returns scheme, host and port of a URL: the part before its path.
std::string hostOf(const std::string &Url);

/// Removes a host that has neither calls nor sockets.
void removeIfIdle(SocketRegistry &Registry, const std::string &Name);

/// Sets all options of the call's handle. libcurl bounds the time to connect
/// only; the client ends a transfer that exceeds its total limit.
void setOptions(Transfer &T);

/// Returns how a call ended for which libcurl reported \p Code.
core::ExchangeEnd endOf(const Transfer &T, CURLcode Code);

/// Socket and timer callbacks of a multi handle. \p Registry is the
/// SocketRegistry.
int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *Registry,
             void *Unused);
int onTimer(CURLM *Multi, long Ms, void *Registry);

} // namespace comfreydeck::net::detail

#endif // COMFREYDECK_NET_TRANSFER_P_H
