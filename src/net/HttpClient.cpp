#include "net/HttpClient.h"

#include <curl/curl.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <unordered_map>

namespace comfreydeck::net {

namespace {

constexpr int MaxPollMs = 1000;
/// How much longer than its limit a transfer is left to libcurl.
constexpr std::chrono::milliseconds Grace(10);

/// Written on the client's thread.
struct LiveCounts {
  std::atomic<std::uint64_t> Calls = 0;
  std::atomic<std::uint64_t> Connects = 0;
  std::atomic<std::uint64_t> NotSent = 0;
  std::atomic<std::uint64_t> NotSentInTime = 0;
  std::atomic<std::uint64_t> TimedOut = 0;
  std::atomic<std::uint64_t> Cut = 0;
  std::atomic<std::uint64_t> BytesIn = 0;
};

/// One call in the hands of libcurl.
struct Transfer {
  std::uint64_t Id = 0;
  HttpCall Call;
  HttpCallback Done;
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  HttpResult Result;
  std::chrono::steady_clock::time_point Until;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Easy);
  }
};

long toMs(core::Duration D) {
  auto Ms = std::chrono::ceil<std::chrono::milliseconds>(D).count();
  return Ms > 0 ? static_cast<long>(Ms) : 1;
}

std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                   void *Target) {
  auto *T = static_cast<Transfer *>(Target);
  if (T->Result.Response.Body.size() + Size * Count > T->Call.MaxAnswerBytes)
    return 0;
  T->Result.Response.Body.append(Data, Size * Count);
  return Size * Count;
}

std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                     void *Target) {
  auto *T = static_cast<Transfer *>(Target);
  std::string_view Line(Data, Size * Count);
  // An interim answer may come before the real one.
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

/// The text must live as long as the transfer.
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

void setUp(Transfer &T) {
  T.Easy = curl_easy_init();
  if (!T.Easy)
    throw std::runtime_error("net: no memory for a transfer");
  CURL *E = T.Easy;
  curl_easy_setopt(E, CURLOPT_URL, T.Call.Url.c_str());
  curl_easy_setopt(E, CURLOPT_CUSTOMREQUEST, T.Call.Method.c_str());
  curl_easy_setopt(E, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(E, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(E, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(E, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(E, CURLOPT_CONNECTTIMEOUT_MS, toMs(T.Call.ConnectLimit));
  curl_easy_setopt(E, CURLOPT_TIMEOUT_MS, toMs(T.Call.TotalLimit));
  curl_easy_setopt(E, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(E, CURLOPT_WRITEDATA, &T);
  curl_easy_setopt(E, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(E, CURLOPT_HEADERDATA, &T);
  curl_easy_setopt(E, CURLOPT_PRIVATE, &T);
  if (T.Call.Tls)
    setIdentity(E, *T.Call.Tls);
  if (!T.Call.MayResend) {
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

/// Whether any byte of the request left this process.
bool anySent(CURL *Easy) {
  long RequestBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  return RequestBytes > 0;
}

/// Whether the answer says where it ends. One that ends with its connection
/// can't be told from one that was cut.
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

core::ExchangeEnd endOf(const Transfer &T, CURLcode Code) {
  CURL *Easy = T.Easy;
  if (Code == CURLE_OK && isDelimited(T))
    return core::ExchangeEnd::Answered;
  if (!anySent(Easy))
    return core::ExchangeEnd::ConnectFailed;
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return core::ExchangeEnd::TimedOut;
  if (Code == CURLE_SEND_ERROR)
    return core::ExchangeEnd::SendCut;
  return core::ExchangeEnd::AnswerCut;
}

} // namespace

const char *nameOf(HttpTarget Target) {
  switch (Target) {
  case HttpTarget::Other:
    return "other";
  case HttpTarget::Store:
    return "store";
  case HttpTarget::Worker:
    return "worker";
  case HttpTarget::Peer:
    return "peer";
  case HttpTarget::Machines:
    return "machines";
  }
  return "";
}

struct HttpClient::Impl {
  explicit Impl(HttpClientOptions ClientOptions) : Options(ClientOptions) {}

  HttpClientOptions Options;
  CURLM *Multi = nullptr;
  std::thread Thread;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::uint64_t NextId = 1;
  std::vector<std::unique_ptr<Transfer>> Incoming;
  std::vector<std::uint64_t> Cancelled;
  /// Only on the client's thread.
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> Flying;
  std::set<std::pair<std::chrono::steady_clock::time_point, std::uint64_t>>
      Overdue;
  std::array<LiveCounts, HttpTargets> Counts;

  void run();
  void takeIncoming();
  void takeCancelled();
  void endOverdue();
  int pollMs() const;
  void finish(Transfer &T, CURLcode Code);
  void count(const Transfer &T, CURLcode Code);
  void collect();
};

void HttpClient::Impl::run() {
  while (!Stopping) {
    takeIncoming();
    takeCancelled();
    int Active = 0;
    curl_multi_perform(Multi, &Active);
    collect();
    endOverdue();
    curl_multi_poll(Multi, nullptr, 0, pollMs(), nullptr);
  }
  takeIncoming();
  while (!Flying.empty()) {
    finish(*Flying.begin()->second, CURLE_ABORTED_BY_CALLBACK);
    takeIncoming();
  }
}

void HttpClient::Impl::takeIncoming() {
  std::vector<std::unique_ptr<Transfer>> Taken;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Taken.swap(Incoming);
  }
  for (std::unique_ptr<Transfer> &T : Taken) {
    setUp(*T);
    curl_multi_add_handle(Multi, T->Easy);
    T->Until = std::chrono::steady_clock::now() + T->Call.TotalLimit + Grace;
    Overdue.emplace(T->Until, T->Id);
    Flying[T->Id] = std::move(T);
  }
}

void HttpClient::Impl::takeCancelled() {
  std::vector<std::uint64_t> Taken;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Taken.swap(Cancelled);
  }
  for (std::uint64_t Id : Taken) {
    auto It = Flying.find(Id);
    if (It != Flying.end())
      finish(*It->second, CURLE_ABORTED_BY_CALLBACK);
  }
}

/// libcurl's own limit does not end a transfer that waits for a connection.
void HttpClient::Impl::endOverdue() {
  auto Now = std::chrono::steady_clock::now();
  while (!Overdue.empty() && Overdue.begin()->first <= Now)
    finish(*Flying.at(Overdue.begin()->second), CURLE_OPERATION_TIMEDOUT);
}

int HttpClient::Impl::pollMs() const {
  if (Overdue.empty())
    return MaxPollMs;
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      Overdue.begin()->first - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp<std::int64_t>(Left.count(), 0, MaxPollMs));
}

void HttpClient::Impl::finish(Transfer &T, CURLcode Code) {
  T.Result.End = endOf(T, Code);
  if (T.Result.End == core::ExchangeEnd::Answered) {
    long Status = 0;
    curl_easy_getinfo(T.Easy, CURLINFO_RESPONSE_CODE, &Status);
    T.Result.Response.Status = static_cast<int>(Status);
  } else {
    T.Result.Error = curl_easy_strerror(Code);
  }
  count(T, Code);
  curl_multi_remove_handle(Multi, T.Easy);
  auto It = Flying.find(T.Id);
  std::unique_ptr<Transfer> Owned = std::move(It->second);
  Flying.erase(It);
  Overdue.erase({Owned->Until, Owned->Id});
  Owned->Done(std::move(Owned->Result));
}

void HttpClient::Impl::count(const Transfer &T, CURLcode Code) {
  LiveCounts &To = Counts[static_cast<std::size_t>(T.Call.Target)];
  auto Add = [](std::atomic<std::uint64_t> &Count, std::uint64_t More) {
    Count.fetch_add(More, std::memory_order_relaxed);
  };
  long Connects = 0;
  curl_easy_getinfo(T.Easy, CURLINFO_NUM_CONNECTS, &Connects);
  Add(To.Calls, 1);
  Add(To.Connects, static_cast<std::uint64_t>(Connects));
  Add(To.BytesIn, T.Result.Response.Body.size());
  switch (T.Result.End) {
  case core::ExchangeEnd::Answered:
    return;
  case core::ExchangeEnd::NeverSent:
  case core::ExchangeEnd::ConnectFailed:
    Add(Code == CURLE_OPERATION_TIMEDOUT ? To.NotSentInTime : To.NotSent, 1);
    return;
  case core::ExchangeEnd::TimedOut:
    Add(To.TimedOut, 1);
    return;
  case core::ExchangeEnd::SendCut:
  case core::ExchangeEnd::AnswerCut:
  case core::ExchangeEnd::WrongRequest:
  case core::ExchangeEnd::RefusedByTarget:
    Add(To.Cut, 1);
    return;
  }
}

void HttpClient::Impl::collect() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURLcode Code = Message->data.result;
    Transfer *T = nullptr;
    curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &T);
    finish(*T, Code);
  }
}

HttpClient::HttpClient(HttpClientOptions Options)
    : Impl_(std::make_unique<Impl>(Options)) {
  static const CURLcode Global = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Global != CURLE_OK)
    throw std::runtime_error("net: libcurl can't start");
  Impl_->Multi = curl_multi_init();
  curl_multi_setopt(Impl_->Multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(Options.MaxKept));
  curl_multi_setopt(Impl_->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(Options.MaxPerHost));
  Impl_->Thread = std::thread([this] { Impl_->run(); });
}

HttpClient::~HttpClient() {
  stop();
  curl_multi_cleanup(Impl_->Multi);
}

void HttpClient::stop() {
  if (!Impl_->Thread.joinable())
    return;
  Impl_->Stopping = true;
  curl_multi_wakeup(Impl_->Multi);
  Impl_->Thread.join();
}

HttpCallId HttpClient::send(HttpCall Call, HttpCallback Done) {
  auto T = std::make_unique<Transfer>();
  T->Call = std::move(Call);
  T->Done = std::move(Done);
  std::uint64_t Id = 0;
  {
    std::lock_guard<std::mutex> Lock(Impl_->Mutex);
    Id = Impl_->NextId++;
    T->Id = Id;
    Impl_->Incoming.push_back(std::move(T));
  }
  curl_multi_wakeup(Impl_->Multi);
  return {Id};
}

void HttpClient::cancel(HttpCallId Id) {
  {
    std::lock_guard<std::mutex> Lock(Impl_->Mutex);
    Impl_->Cancelled.push_back(Id.Value);
  }
  curl_multi_wakeup(Impl_->Multi);
}

std::array<HttpCounts, HttpTargets> HttpClient::counts() const {
  std::array<HttpCounts, HttpTargets> Read;
  for (std::size_t T = 0; T < HttpTargets; ++T) {
    const LiveCounts &From = Impl_->Counts[T];
    Read[T] = {From.Calls,    From.Connects, From.NotSent, From.NotSentInTime,
               From.TimedOut, From.Cut,      From.BytesIn};
  }
  return Read;
}

} // namespace comfreydeck::net
