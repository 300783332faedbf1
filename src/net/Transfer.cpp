#include "net/Transfer_p.h"

#include "net/Loop.h"

#include <algorithm>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace comfreydeck::net::detail {

namespace {

long toMs(core::Duration D) {
  auto Ms = std::chrono::ceil<std::chrono::milliseconds>(D).count();
  return Ms > 0 ? static_cast<long>(Ms) : 1;
}

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *Target) {
  auto *T = static_cast<Transfer *>(Target);
  T->ReceivedAt = T->Registry->PolledAt;
  if (T->Result.Response.Body.size() + Size * Count > T->Call.MaxAnswerBytes)
    return 0;
  T->Result.Response.Body.append(Data, Size * Count);
  return Size * Count;
}

std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                     void *Target) {
  auto *T = static_cast<Transfer *>(Target);
  T->ReceivedAt = T->Registry->PolledAt;
  std::string_view Line(Data, Size * Count);
  // An interim (1xx) response may precede the final one.
  if (Line.starts_with("HTTP/"))
    T->Result.Response.Headers.clear();
  std::size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos) {
    std::string_view Value = Line.substr(Colon + 1);
    while (!Value.empty() && Value.front() == ' ')
      Value.remove_prefix(1);
    while (!Value.empty() && (Value.back() == '\r' || Value.back() == '\n'))
      Value.remove_suffix(1);
    T->Result.Response.Headers.push_back(
        {std::string(Line.substr(0, Colon)), std::string(Value)});
  }
  return Size * Count;
}

/// Not copied: \p Text must live as long as the transfer.
curl_blob blobOf(const std::string &Text) {
  return {const_cast<char *>(Text.data()), Text.size(), CURL_BLOB_NOCOPY};
}

void setIdentity(CURL *E, const TlsIdentity &Identity) {
  curl_blob Certificate = blobOf(Identity.Certificate);
  curl_blob Key = blobOf(Identity.Key);
  curl_blob Authority = blobOf(Identity.Authority);
  curl_easy_setopt(E, CURLOPT_SSLCERT_BLOB, &Certificate);
  curl_easy_setopt(E, CURLOPT_SSLKEY_BLOB, &Key);
  curl_easy_setopt(E, CURLOPT_CAINFO_BLOB, &Authority);
}

/// Whether any byte of the request was sent.
bool anySent(CURL *Easy) {
  long RequestBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  return RequestBytes > 0;
}

bool mayResend(const HttpCall &Call) {
  return Call.MayResend || Call.Method == "GET";
}

curl_socket_t onOpen(void *UserData, curlsocktype, curl_sockaddr *Address) {
  auto *T = static_cast<Transfer *>(UserData);
  // libcurl is about to repeat the request.
  if (!mayResend(T->Call) && anySent(T->Easy))
    return CURL_SOCKET_BAD;
  int Socket = socket(Address->family, Address->socktype | SOCK_CLOEXEC,
                      Address->protocol);
  if (Socket < 0)
    return CURL_SOCKET_BAD;
  T->Registry->Poller.forget(Socket);
  T->Registry->HostOfSocket[Socket] = T->HostName;
  T->Registry->Hosts[T->HostName].Sockets.push_back(Socket);
  return Socket;
}

int onClose(void *UserData, curl_socket_t Socket) {
  auto *Registry = static_cast<SocketRegistry *>(UserData);
  Registry->Poller.forget(Socket);
  auto It = Registry->HostOfSocket.find(Socket);
  if (It != Registry->HostOfSocket.end()) {
    std::string Name = std::move(It->second);
    Registry->HostOfSocket.erase(It);
    std::erase(Registry->Hosts[Name].Sockets, Socket);
    removeIfIdle(*Registry, Name);
  }
  return close(Socket);
}

/// Called when a connection is ready, before the first byte is sent on it: the
/// process may have been paused since the call was begun, or libcurl repeats
/// the request.
int onReady(void *UserData, char *, char *, int, int) {
  auto *T = static_cast<Transfer *>(UserData);
  T->Result.Resent = anySent(T->Easy);
  T->Withheld = T->SendBy && bootNow() > *T->SendBy;
  bool IsUnwanted = T->Result.Resent && !mayResend(T->Call);
  return T->Withheld || IsUnwanted ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/// Sets the options that are the same for all calls.
void setCommonOptions(CURL *E) {
  curl_easy_setopt(E, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(E, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(E, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(E, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(E, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(E, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(E, CURLOPT_OPENSOCKETFUNCTION, onOpen);
  curl_easy_setopt(E, CURLOPT_CLOSESOCKETFUNCTION, onClose);
}

/// Whether the response declares its end. A response that ends when the
/// connection closes can't be distinguished from a truncated one.
bool isDelimited(const Transfer &T) {
  constexpr long NoContent = 204;
  constexpr long NotModified = 304;
  long Status = 0;
  curl_easy_getinfo(T.Easy, CURLINFO_RESPONSE_CODE, &Status);
  bool HasNoBody =
      Status == NoContent || Status == NotModified || T.Call.Method == "HEAD";
  const std::vector<HttpHeader> &Headers = T.Result.Response.Headers;
  return HasNoBody || hasHeader(Headers, "Content-Length") ||
         hasHeader(Headers, "Transfer-Encoding");
}

} // namespace

std::string hostOf(const std::string &Url) {
  std::size_t Scheme = Url.find("://");
  std::size_t Start = Scheme == std::string::npos ? 0 : Scheme + 3;
  return Url.substr(0, Url.find('/', Start));
}

void removeIfIdle(SocketRegistry &Registry, const std::string &Name) {
  auto It = Registry.Hosts.find(Name);
  if (It != Registry.Hosts.end() && It->second.InFlight == 0 &&
      It->second.Waiting.empty() && It->second.Sockets.empty())
    Registry.Hosts.erase(It);
}

int onSocket(CURL *, curl_socket_t Socket, int What, void *UserData, void *) {
  auto *Registry = static_cast<SocketRegistry *>(UserData);
  if (What == CURL_POLL_REMOVE)
    Registry->Poller.setIdle(Socket);
  else
    Registry->Poller.watch(Socket, (What & CURL_POLL_IN) != 0,
                           (What & CURL_POLL_OUT) != 0);
  return 0;
}

int onTimer(CURLM *, long Ms, void *UserData) {
  auto *Registry = static_cast<SocketRegistry *>(UserData);
  if (Ms < 0)
    Registry->TimerAt.reset();
  else
    Registry->TimerAt =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(Ms);
  return 0;
}

void setOptions(Transfer &T) {
  CURL *E = T.Easy;
  setCommonOptions(E);
  curl_easy_setopt(E, CURLOPT_URL, T.Call.Url.c_str());
  curl_easy_setopt(E, CURLOPT_CUSTOMREQUEST, T.Call.Method.c_str());
  curl_easy_setopt(E, CURLOPT_CONNECTTIMEOUT_MS, toMs(T.Call.ConnectLimit));
  curl_easy_setopt(E, CURLOPT_PREREQFUNCTION, onReady);
  curl_easy_setopt(E, CURLOPT_PREREQDATA, &T);
  curl_easy_setopt(E, CURLOPT_WRITEDATA, &T);
  curl_easy_setopt(E, CURLOPT_HEADERDATA, &T);
  curl_easy_setopt(E, CURLOPT_OPENSOCKETDATA, &T);
  // Not the call, since the connection may outlive it.
  curl_easy_setopt(E, CURLOPT_CLOSESOCKETDATA, T.Registry);
  curl_easy_setopt(E, CURLOPT_PRIVATE, &T);
  if (T.Call.Tls)
    setIdentity(E, *T.Call.Tls);
  if (T.Call.OwnConnection) {
    curl_easy_setopt(E, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(E, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!T.Call.Body.empty() || T.Call.Method == "POST" ||
      T.Call.Method == "PUT") {
    curl_easy_setopt(E, CURLOPT_POSTFIELDS, T.Call.Body.data());
    curl_easy_setopt(E, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(T.Call.Body.size()));
    T.Headers = curl_slist_append(T.Headers, "Expect:");
  }
  for (const HttpHeader &Header : T.Call.Headers) {
    std::string Line = Header.Name + ": " + Header.Value;
    T.Headers = curl_slist_append(T.Headers, Line.c_str());
  }
  curl_easy_setopt(E, CURLOPT_HTTPHEADER, T.Headers);
}

core::ExchangeEnd endOf(const Transfer &T, CURLcode Code) {
  CURL *Easy = T.Easy;
  if (!Easy)
    return core::ExchangeEnd::ConnectFailed;
  if (Code == CURLE_OK && isDelimited(T))
    return core::ExchangeEnd::Answered;
  if (!anySent(Easy))
    return T.Withheld ? core::ExchangeEnd::NeverSent
                      : core::ExchangeEnd::ConnectFailed;
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return core::ExchangeEnd::TimedOut;
  if (Code == CURLE_SEND_ERROR)
    return core::ExchangeEnd::SendCut;
  return core::ExchangeEnd::AnswerCut;
}

} // namespace comfreydeck::net::detail
