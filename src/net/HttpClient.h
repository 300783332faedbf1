#ifndef COMFREYDECK_NET_HTTPCLIENT_H
#define COMFREYDECK_NET_HTTPCLIENT_H

#include "core/Types.h"
#include "core/Verdict.h"
#include "net/Http.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace comfreydeck::net {

/// Kind of host that a call goes to; used only to group the counters.
enum class HttpTarget : std::uint8_t { Other, Store, Worker, Peer, Machines };

inline constexpr std::size_t HttpTargetCount = 5;

const char *nameOf(HttpTarget Target);

/// Counters of finished calls to one kind of host.
struct HttpCounts {
  std::uint64_t Calls = 0;
  /// Connections opened for these calls.
  std::uint64_t Connects = 0;
  /// Calls that sent nothing because the connection failed.
  std::uint64_t NotSent = 0;
  /// Calls that sent nothing before the time limit: connecting took too long,
  /// or no connection was free.
  std::uint64_t NotSentInTime = 0;
  /// Calls that were sent but not answered within the time limit.
  std::uint64_t TimedOut = 0;
  /// Calls whose connection broke during the exchange, or that were cancelled.
  std::uint64_t Cut = 0;
  /// Bytes of response bodies received, including incomplete responses.
  std::uint64_t BytesIn = 0;
  /// Calls whose callback ended with an exception.
  std::uint64_t HandlerFailed = 0;
};

/// When something began, on the clock of \ref bootNow. Thread-safe.
class BeginTime {
public:
  void set(core::TimePoint At) { At_ = At; }
  /// Nothing until it has begun.
  std::optional<core::TimePoint> get() const {
    core::TimePoint At = At_;
    return At == NotBegun ? std::nullopt : std::optional(At);
  }

private:
  static constexpr core::TimePoint NotBegun = core::TimePoint::min();

  std::atomic<core::TimePoint> At_{NotBegun};
};

/// One request to send.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  std::vector<HttpHeader> Headers;
  std::string Body;
  core::Duration ConnectLimit = std::chrono::seconds(1);
  /// Maximum time from the call to the complete response. A response that has
  /// arrived by then is delivered, even if this process was too busy or was
  /// paused and reads it later.
  core::Duration TotalLimit = std::chrono::seconds(5);
  /// Maximum time from the call to the sending of the request, including time
  /// in which the machine is suspended. After that, a request ends as NeverSent
  /// once a connection is ready. Zero: no limit besides TotalLimit.
  core::Duration SendLimit{0};
  /// A longer response body ends the call as cut.
  std::size_t MaxAnswerBytes = std::size_t{64} << 20;
  /// Whether a request that is not a GET may be sent again, on another
  /// connection, if a kept connection ends without any byte of the response.
  /// The receiver may then carry it out twice, or carry out the first one and
  /// refuse the second: see HttpResult::Resent. A GET may always be sent again.
  bool MayResend = false;
  /// Whether to use a new connection, since a kept one may be dead.
  bool OwnConnection = false;
  /// Maximum number of calls in flight to the host, including this one. The
  /// call waits for its turn within TotalLimit. Zero: only
  /// HttpClientOptions::MaxCallsPerHost applies, which is never exceeded.
  std::size_t MaxCallsToHost = 0;
  /// Set once the call has waited for its turn and its exchange begins; null if
  /// nobody wants to know.
  std::shared_ptr<BeginTime> BegunAt;
  /// For https: the client's certificate and the CA that it trusts.
  std::shared_ptr<const TlsIdentity> Tls;
  HttpTarget Target = HttpTarget::Other;
};

/// Outcome of a call, and the response if there was one.
struct HttpResult {
  core::ExchangeEnd End = core::ExchangeEnd::NeverSent;
  /// Valid only if \ref End is Answered.
  HttpResponse Response;
  /// The request was sent more than once. The response is that to the last
  /// attempt; an earlier one may have been carried out, whatever it says.
  bool Resent = false;
  /// libcurl's error message if there is no response.
  std::string Error;
};

using HttpCallback = std::function<void(HttpResult)>;

/// Identifies a call in flight.
struct HttpCallId {
  std::uint64_t Value = 0;
};

struct HttpClientOptions {
  /// Maximum number of connections kept open, over all hosts.
  std::size_t MaxCachedConnections = 256;
  /// Maximum number of calls in flight to one host. Further calls wait within
  /// their time limits.
  std::size_t MaxCallsPerHost = 64;
};

/// Returns options for a process that may open \p Descriptors file descriptors.
/// Kept connections take a fixed share of them, so that enough remain for the
/// servers and files of the process. Thread-safe.
HttpClientOptions clientOptionsFor(std::size_t Descriptors);

/// Returns the soft limit of open file descriptors of this process, zero if it
/// can't be read. Thread-safe.
std::size_t descriptorLimit();

/// Sends HTTP requests from its own thread.
class HttpClient {
public:
  explicit HttpClient(HttpClientOptions Options);
  /// Stops as \ref stop does.
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. \p Done is called exactly once, on the client's thread, and
  /// must not block. An exception that it throws is logged and counted.
  /// Thread-safe.
  HttpCallId send(HttpCall Call, HttpCallback Done);

  /// Cancels a call; its callback is still called. Thread-safe.
  void cancel(HttpCallId Id);

  /// Returns the counters since the start, by target. Thread-safe. The counters
  /// are read one by one, so a call in progress may be in some of them only.
  std::array<HttpCounts, HttpTargetCount> counts() const;

  /// Ends the calls in flight as cut and joins the thread. Calls started while
  /// it stops end without sending a byte; calls started after that get no
  /// callback. Must not be called from a callback. May be called twice.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_HTTPCLIENT_H
