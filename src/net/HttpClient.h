#ifndef COMFREYDECK_NET_HTTPCLIENT_H
#define COMFREYDECK_NET_HTTPCLIENT_H

#include "core/Types.h"
#include "core/Verdict.h"
#include "net/Http.h"

#include <array>
#include <functional>
#include <memory>

namespace comfreydeck::net {

/// What kind of host a call goes to; for counting only.
enum class HttpTarget : std::uint8_t { Other, Store, Worker, Peer, Machines };

inline constexpr std::size_t HttpTargets = 5;

const char *nameOf(HttpTarget Target);

/// Calls that ended, to one kind of host.
struct HttpCounts {
  std::uint64_t Calls = 0;
  /// Connections opened for them.
  std::uint64_t Connects = 0;
  /// Nothing was sent: the host refused the connection or gave none.
  std::uint64_t NotSent = 0;
  /// Nothing was sent in time: no connection came about, or none was free.
  std::uint64_t NotSentInTime = 0;
  /// Sent, and not answered in time.
  std::uint64_t TimedOut = 0;
  /// The connection broke within the exchange, or the call was given up.
  std::uint64_t Cut = 0;
  /// Bytes of bodies received, of answers that were not whole as well.
  std::uint64_t BytesIn = 0;
};

/// One request to send.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  std::vector<HttpHeader> Headers;
  std::string Body;
  core::Duration ConnectLimit = std::chrono::seconds(1);
  /// Longest time from the call to the whole answer.
  core::Duration TotalLimit = std::chrono::seconds(5);
  /// A longer answer counts as cut.
  std::size_t MaxAnswerBytes = std::size_t{64} << 20;
  /// Whether the request may be sent once more by the library when a kept
  /// connection turns out dead. Never so for a non-idempotent request: it goes
  /// out on a connection of its own.
  bool MayResend = true;
  /// Calls to its host, this one among them, that may be in flight at once; it
  /// waits for that within its limit. Zero: as the client's options say.
  std::size_t MaxToHost = 0;
  /// For https: what this side shows, and whom it trusts.
  std::shared_ptr<const TlsIdentity> Tls;
  HttpTarget Target = HttpTarget::Other;
};

/// How the call ended and what came back.
struct HttpResult {
  core::ExchangeEnd End = core::ExchangeEnd::NeverSent;
  /// Only where \ref End is Answered.
  HttpResponse Response;
  /// The library's words where there is no answer.
  std::string Error;
};

using HttpCallback = std::function<void(HttpResult)>;

/// Names a call in flight.
struct HttpCallId {
  std::uint64_t Value = 0;
};

struct HttpClientOptions {
  /// Connections kept open to all hosts together.
  std::size_t MaxKept = 256;
  /// Calls in flight to one host; those beyond wait within their limits.
  std::size_t MaxPerHost = 64;
};

/// Options of a process that may open that many descriptors: connections are
/// ended for room only where its servers and files could want it. Thread-safe.
HttpClientOptions optionsFor(std::size_t Descriptors);

/// How many descriptors the system grants this process. Thread-safe.
std::size_t grantedDescriptors();

/// Sends HTTP requests from a thread of its own.
class HttpClient {
public:
  explicit HttpClient(HttpClientOptions Options);
  /// Stops as \ref stop does.
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. \p Done is called once, on the client's thread, and must
  /// not block. Thread-safe.
  HttpCallId send(HttpCall Call, HttpCallback Done);

  /// Gives a call up; its callback still comes. Thread-safe.
  void cancel(HttpCallId Id);

  /// Counts since the start, by target. Thread-safe; the figures of one moment
  /// may be of calls apart.
  std::array<HttpCounts, HttpTargets> counts() const;

  /// Ends what is in flight as cut, then joins the thread. Calls that are sent
  /// meanwhile end before any byte of them left; later ones get no callback.
  /// Not to be called from a callback. May be called twice.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace comfreydeck::net

#endif // COMFREYDECK_NET_HTTPCLIENT_H
