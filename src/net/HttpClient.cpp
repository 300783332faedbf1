#include "net/HttpClient.h"

#include "net/Transfer_p.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>

namespace comfreydeck::net {

namespace {

using detail::SocketBook;
using detail::SteadyTime;
using detail::Transfer;

constexpr int MaxPollMs = 1000;
/// Maximum number of idle libcurl handles kept for reuse.
constexpr std::size_t MaxSpareHandles = 32;
/// Kept connections may use one in this many of the process's descriptors.
constexpr std::size_t ClientShare = 2;
constexpr std::size_t MinKept = 256;
/// Bounds the memory of kept connections: each takes a few KB.
constexpr std::size_t MaxKeptEver = 2048;
/// Extra time after a call's limit before the client ends the transfer itself,
/// so that libcurl's own timeout comes first.
constexpr std::chrono::milliseconds Grace(10);

/// Atomic version of \ref HttpCounts. Written on the client's thread only.
struct LiveCounts {
  std::atomic<std::uint64_t> Calls = 0;
  std::atomic<std::uint64_t> Connects = 0;
  std::atomic<std::uint64_t> NotSent = 0;
  std::atomic<std::uint64_t> NotSentInTime = 0;
  std::atomic<std::uint64_t> TimedOut = 0;
  std::atomic<std::uint64_t> Cut = 0;
  std::atomic<std::uint64_t> BytesIn = 0;
};

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
  explicit Impl(HttpClientOptions ClientOptions);
  ~Impl();

  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  HttpClientOptions Options;
  CURLM *Multi = nullptr;
  std::thread Thread;
  std::atomic<bool> Stopping = false;
  /// Whether the thread waits or is about to, and must be woken.
  std::atomic<bool> Asleep = false;
  std::mutex Mutex;
  std::uint64_t NextId = 1;
  std::vector<std::unique_ptr<Transfer>> Incoming;
  std::vector<std::uint64_t> Cancelled;
  /// This member and all that follow are used on the client's thread only.
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> Flying;
  std::set<std::pair<SteadyTime, std::uint64_t>> Overdue;
  std::array<LiveCounts, HttpTargets> Counts;
  SocketBook Book;
  std::vector<CURL *> Spare;

  void wakeUp();
  void run();
  void wait();
  void takeIncoming();
  void takeCancelled();
  void endOverdue();
  bool hasPosted();
  int pollMs() const;
  bool isFull(const Transfer &T) const;
  void begin(Transfer &T);
  void beginWaiting(const std::string &Name);
  void endKept(const std::string &Name);
  CURL *takeHandle();
  void release(Transfer &T);
  void finish(Transfer &T, CURLcode Code);
  void count(const Transfer &T, CURLcode Code);
  void collect();
};

HttpClient::Impl::Impl(HttpClientOptions ClientOptions)
    : Options(ClientOptions), Multi(curl_multi_init()) {
  if (!Multi)
    throw std::runtime_error("net: can't create a libcurl multi handle");
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(Options.MaxKept));
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, detail::onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, &Book);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, detail::onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, &Book);
}

HttpClient::Impl::~Impl() {
  for (CURL *Easy : Spare)
    curl_easy_cleanup(Easy);
  curl_multi_cleanup(Multi);
}

void HttpClient::Impl::wakeUp() {
  if (Asleep.exchange(false))
    Book.Poller.wake();
}

bool HttpClient::Impl::hasPosted() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return !Incoming.empty() || !Cancelled.empty();
}

void HttpClient::Impl::wait() {
  Asleep = true;
  // A caller that posts after this check sees Asleep set and wakes the thread.
  bool IsBusy = hasPosted() || Stopping;
  const std::vector<detail::SocketEvent> &Events =
      Book.Poller.wait(IsBusy ? 0 : pollMs());
  Asleep = false;
  int Active = 0;
  for (const detail::SocketEvent &Event : Events) {
    int Bits = (Event.Readable ? CURL_CSELECT_IN : 0) |
               (Event.Writable ? CURL_CSELECT_OUT : 0) |
               (Event.Failed ? CURL_CSELECT_ERR : 0);
    curl_multi_socket_action(Multi, Event.Socket, Bits, &Active);
  }
}

void HttpClient::Impl::run() {
  while (!Stopping) {
    takeIncoming();
    takeCancelled();
    int Active = 0;
    if (Book.TimerAt && *Book.TimerAt <= std::chrono::steady_clock::now()) {
      Book.TimerAt.reset();
      curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Active);
    }
    collect();
    endOverdue();
    wait();
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
  for (std::unique_ptr<Transfer> &Owned : Taken) {
    Transfer &T = *Owned;
    T.Book = &Book;
    T.HostName = detail::hostOf(T.Call.Url);
    Overdue.emplace(T.Until, T.Id);
    Flying[T.Id] = std::move(Owned);
    if (Stopping)
      continue;
    if (isFull(T))
      Book.Hosts[T.HostName].Waiting.push_back(T.Id);
    else
      begin(T);
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

/// Ends calls past their deadline. libcurl's own timeout does not cover a call
/// that still waits for a connection.
void HttpClient::Impl::endOverdue() {
  auto Now = std::chrono::steady_clock::now();
  while (!Overdue.empty() && Overdue.begin()->first <= Now)
    finish(*Flying.at(Overdue.begin()->second), CURLE_OPERATION_TIMEDOUT);
}

int HttpClient::Impl::pollMs() const {
  SteadyTime Now = std::chrono::steady_clock::now();
  SteadyTime Until = Now + std::chrono::milliseconds(MaxPollMs);
  if (!Overdue.empty())
    Until = std::min(Until, Overdue.begin()->first);
  if (Book.TimerAt)
    Until = std::min(Until, *Book.TimerAt);
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(Until - Now);
  return static_cast<int>(std::clamp<std::int64_t>(Left.count(), 0, MaxPollMs));
}

/// Whether the call must wait until another call to its host has ended.
bool HttpClient::Impl::isFull(const Transfer &T) const {
  auto It = Book.Hosts.find(T.HostName);
  std::size_t Most = Options.MaxPerHost;
  if (T.Call.MaxToHost > 0)
    Most = std::min(Most, T.Call.MaxToHost);
  return It != Book.Hosts.end() && It->second.Flying >= Most;
}

CURL *HttpClient::Impl::takeHandle() {
  if (!Spare.empty()) {
    CURL *Easy = Spare.back();
    Spare.pop_back();
    return Easy;
  }
  CURL *Easy = curl_easy_init();
  if (!Easy)
    throw std::runtime_error("net: can't create a libcurl easy handle");
  return Easy;
}

void HttpClient::Impl::begin(Transfer &T) {
  T.Easy = takeHandle();
  detail::setUp(T, std::chrono::ceil<core::Duration>(
                       T.Until - Grace - std::chrono::steady_clock::now()));
  curl_multi_add_handle(Multi, T.Easy);
  ++Book.Hosts[T.HostName].Flying;
}

/// Starts calls that waited for a connection to this host.
void HttpClient::Impl::beginWaiting(const std::string &Name) {
  auto It = Book.Hosts.find(Name);
  if (It == Book.Hosts.end())
    return;
  std::deque<std::uint64_t> &Waiting = It->second.Waiting;
  while (!Waiting.empty() && !Stopping) {
    auto Next = Flying.find(Waiting.front());
    if (Next != Flying.end()) {
      if (isFull(*Next->second))
        return;
      begin(*Next->second);
    }
    Waiting.pop_front();
  }
  detail::forgetIfIdle(Book, Name);
}

/// Shuts down the host's idle connections. Called after a timeout: if one
/// connection went silent, the others may be dead as well.
void HttpClient::Impl::endKept(const std::string &Name) {
  auto It = Book.Hosts.find(Name);
  if (It == Book.Hosts.end())
    return;
  for (int Socket : It->second.Sockets)
    // libcurl discards a connection that was shut down instead of reusing it.
    if (Book.Poller.isResting(Socket) && shutdown(Socket, SHUT_RDWR) != 0)
      VLOG(1) << "net: an idle connection was already closed";
}

/// Removes the call's handle from the multi handle and keeps it for reuse.
void HttpClient::Impl::release(Transfer &T) {
  curl_multi_remove_handle(Multi, T.Easy);
  --Book.Hosts[T.HostName].Flying;
  // A handle with a TLS identity is not reused for other calls.
  if (T.Call.Tls || Spare.size() >= MaxSpareHandles)
    return;
  curl_easy_reset(T.Easy);
  Spare.push_back(T.Easy);
  T.Easy = nullptr;
}

void HttpClient::Impl::finish(Transfer &T, CURLcode Code) {
  T.Result.End = detail::endOf(T, Code);
  if (T.Result.End == core::ExchangeEnd::Answered) {
    long Status = 0;
    curl_easy_getinfo(T.Easy, CURLINFO_RESPONSE_CODE, &Status);
    T.Result.Response.Status = static_cast<int>(Status);
  } else {
    T.Result.Error = curl_easy_strerror(Code);
  }
  count(T, Code);
  auto It = Flying.find(T.Id);
  std::unique_ptr<Transfer> Owned = std::move(It->second);
  Flying.erase(It);
  Overdue.erase({T.Until, T.Id});
  if (T.Easy) {
    release(T);
    if (T.Result.End == core::ExchangeEnd::TimedOut)
      endKept(T.HostName);
    beginWaiting(T.HostName);
  }
  T.Done(std::move(T.Result));
}

void HttpClient::Impl::count(const Transfer &T, CURLcode Code) {
  LiveCounts &To = Counts[static_cast<std::size_t>(T.Call.Target)];
  auto Add = [](std::atomic<std::uint64_t> &Count, std::uint64_t More) {
    Count.fetch_add(More, std::memory_order_relaxed);
  };
  long Connects = 0;
  if (T.Easy)
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

namespace {

void startLibrary() {
  static const CURLcode Global = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Global != CURLE_OK)
    throw std::runtime_error("net: can't initialise libcurl");
}

} // namespace

HttpClientOptions optionsFor(std::size_t Descriptors) {
  HttpClientOptions Options;
  Options.MaxKept = std::clamp(Descriptors / ClientShare, MinKept, MaxKeptEver);
  return Options;
}

std::size_t grantedDescriptors() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return 0;
  return Limit.rlim_cur;
}

HttpClient::HttpClient(HttpClientOptions Options) {
  startLibrary();
  Impl_ = std::make_unique<Impl>(Options);
  Impl_->Thread = std::thread([this] { Impl_->run(); });
}

HttpClient::~HttpClient() { stop(); }

void HttpClient::stop() {
  if (!Impl_->Thread.joinable())
    return;
  Impl_->Stopping = true;
  Impl_->wakeUp();
  Impl_->Thread.join();
}

HttpCallId HttpClient::send(HttpCall Call, HttpCallback Done) {
  auto T = std::make_unique<Transfer>();
  T->Until = std::chrono::steady_clock::now() + Call.TotalLimit + Grace;
  T->Call = std::move(Call);
  T->Done = std::move(Done);
  std::uint64_t Id = 0;
  {
    std::lock_guard<std::mutex> Lock(Impl_->Mutex);
    Id = Impl_->NextId++;
    T->Id = Id;
    Impl_->Incoming.push_back(std::move(T));
  }
  Impl_->wakeUp();
  return {Id};
}

void HttpClient::cancel(HttpCallId Id) {
  {
    std::lock_guard<std::mutex> Lock(Impl_->Mutex);
    Impl_->Cancelled.push_back(Id.Value);
  }
  Impl_->wakeUp();
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
