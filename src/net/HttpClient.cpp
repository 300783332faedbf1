#include "net/HttpClient.h"

#include "net/Loop.h"
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

using detail::SocketRegistry;
using detail::SteadyTime;
using detail::Transfer;

constexpr int MaxPollMs = 1000;
/// Maximum number of idle libcurl handles kept for reuse.
constexpr std::size_t MaxIdleHandles = 32;
/// Kept connections may use one in this many of the process's descriptors.
constexpr std::size_t DescriptorsPerConnection = 2;
constexpr std::size_t MinCachedConnections = 256;
/// Bounds the memory of kept connections: each takes a few KB.
constexpr std::size_t CachedConnectionLimit = 2048;
/// Time to read the rest of a response that was still arriving when the call's
/// limit had passed.
constexpr std::chrono::milliseconds LateReadGrace(200);

/// Atomic version of \ref HttpCounts. Written on the client's thread only.
struct AtomicCounts {
  std::atomic<std::uint64_t> Calls = 0;
  std::atomic<std::uint64_t> Connects = 0;
  std::atomic<std::uint64_t> NotSent = 0;
  std::atomic<std::uint64_t> NotSentInTime = 0;
  std::atomic<std::uint64_t> TimedOut = 0;
  std::atomic<std::uint64_t> Cut = 0;
  std::atomic<std::uint64_t> BytesIn = 0;
  std::atomic<std::uint64_t> HandlerFailed = 0;
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
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> InFlight;
  std::set<std::pair<SteadyTime, std::uint64_t>> Deadlines;
  std::array<AtomicCounts, HttpTargetCount> Counts;
  SocketRegistry Registry;
  std::vector<CURL *> IdleHandles;

  void wakeUp();
  void run();
  void wait();
  void startIncoming();
  void finishCancelled();
  void finishExpired();
  bool hasPending();
  int pollMs() const;
  bool mustWait(const Transfer &T) const;
  void begin(Transfer &T);
  void startWaiting(const std::string &Name);
  void shutDownIdle(const std::string &Name);
  CURL *acquireHandle();
  void release(Transfer &T);
  void finish(Transfer &T, CURLcode Code);
  void count(const Transfer &T, CURLcode Code);
  void finishCompleted();
};

HttpClient::Impl::Impl(HttpClientOptions ClientOptions)
    : Options(ClientOptions), Multi(curl_multi_init()) {
  if (!Multi)
    throw std::runtime_error("net: can't create a libcurl multi handle");
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(Options.MaxCachedConnections));
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, detail::onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, &Registry);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, detail::onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, &Registry);
}

HttpClient::Impl::~Impl() {
  for (CURL *Easy : IdleHandles)
    curl_easy_cleanup(Easy);
  curl_multi_cleanup(Multi);
}

void HttpClient::Impl::wakeUp() {
  if (Asleep.exchange(false))
    Registry.Poller.wake();
}

bool HttpClient::Impl::hasPending() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return !Incoming.empty() || !Cancelled.empty();
}

void HttpClient::Impl::wait() {
  Asleep = true;
  // A caller that posts after this check sees Asleep set and wakes the thread.
  bool IsBusy = hasPending() || Stopping;
  Registry.PolledAt = std::chrono::steady_clock::now();
  const std::vector<detail::SocketEvent> &Events =
      Registry.Poller.wait(IsBusy ? 0 : pollMs());
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
    startIncoming();
    finishCancelled();
    int Active = 0;
    if (Registry.TimerAt &&
        *Registry.TimerAt <= std::chrono::steady_clock::now()) {
      Registry.TimerAt.reset();
      curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Active);
    }
    finishCompleted();
    wait();
    finishCompleted();
    finishExpired();
  }
  startIncoming();
  while (!InFlight.empty()) {
    finish(*InFlight.begin()->second, CURLE_ABORTED_BY_CALLBACK);
    startIncoming();
  }
}

void HttpClient::Impl::startIncoming() {
  std::vector<std::unique_ptr<Transfer>> Taken;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Taken.swap(Incoming);
  }
  for (std::unique_ptr<Transfer> &Owned : Taken) {
    Transfer &T = *Owned;
    T.Registry = &Registry;
    T.HostName = detail::hostOf(T.Call.Url);
    Deadlines.emplace(T.Deadline, T.Id);
    InFlight[T.Id] = std::move(Owned);
    if (Stopping)
      continue;
    if (mustWait(T))
      Registry.Hosts[T.HostName].Waiting.push_back(T.Id);
    else
      begin(T);
  }
}

void HttpClient::Impl::finishCancelled() {
  std::vector<std::uint64_t> Taken;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Taken.swap(Cancelled);
  }
  for (std::uint64_t Id : Taken) {
    auto It = InFlight.find(Id);
    if (It != InFlight.end())
      finish(*It->second, CURLE_ABORTED_BY_CALLBACK);
  }
}

/// Ends calls past their deadline. Must follow \ref wait: responses that
/// arrived while this thread was busy or the process was paused have been read
/// by then.
void HttpClient::Impl::finishExpired() {
  if (Registry.Poller.mayHaveMore())
    return;
  std::vector<std::uint64_t> Expired;
  for (const auto &[Deadline, Id] : Deadlines) {
    if (Deadline > Registry.PolledAt)
      break;
    Transfer &T = *InFlight.at(Id);
    if (!T.GraceUntil)
      T.GraceUntil = Registry.PolledAt + LateReadGrace;
    bool Arriving =
        T.ReceivedAt == Registry.PolledAt && Registry.PolledAt < *T.GraceUntil;
    if (!Arriving)
      Expired.push_back(Id);
  }
  for (std::uint64_t Id : Expired)
    finish(*InFlight.at(Id), CURLE_OPERATION_TIMEDOUT);
}

int HttpClient::Impl::pollMs() const {
  SteadyTime Now = std::chrono::steady_clock::now();
  SteadyTime Deadline = Now + std::chrono::milliseconds(MaxPollMs);
  if (!Deadlines.empty())
    Deadline = std::min(Deadline, Deadlines.begin()->first);
  if (Registry.TimerAt)
    Deadline = std::min(Deadline, *Registry.TimerAt);
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(Deadline - Now);
  return static_cast<int>(std::clamp<std::int64_t>(Left.count(), 0, MaxPollMs));
}

/// Whether the call must wait until another call to its host has ended.
bool HttpClient::Impl::mustWait(const Transfer &T) const {
  auto It = Registry.Hosts.find(T.HostName);
  std::size_t MaxCalls = Options.MaxCallsPerHost;
  if (T.Call.MaxCallsToHost > 0)
    MaxCalls = std::min(MaxCalls, T.Call.MaxCallsToHost);
  return It != Registry.Hosts.end() && It->second.InFlight >= MaxCalls;
}

CURL *HttpClient::Impl::acquireHandle() {
  if (!IdleHandles.empty()) {
    CURL *Easy = IdleHandles.back();
    IdleHandles.pop_back();
    return Easy;
  }
  CURL *Easy = curl_easy_init();
  if (!Easy)
    throw std::runtime_error("net: can't create a libcurl easy handle");
  return Easy;
}

void HttpClient::Impl::begin(Transfer &T) {
  if (T.Call.BegunAt)
    T.Call.BegunAt->set(bootNow());
  T.Easy = acquireHandle();
  detail::setOptions(T);
  curl_multi_add_handle(Multi, T.Easy);
  ++Registry.Hosts[T.HostName].InFlight;
}

/// Starts calls that waited for a connection to this host.
void HttpClient::Impl::startWaiting(const std::string &Name) {
  auto It = Registry.Hosts.find(Name);
  if (It == Registry.Hosts.end())
    return;
  std::deque<std::uint64_t> &Waiting = It->second.Waiting;
  while (!Waiting.empty() && !Stopping) {
    auto Next = InFlight.find(Waiting.front());
    if (Next != InFlight.end()) {
      if (mustWait(*Next->second))
        return;
      begin(*Next->second);
    }
    Waiting.pop_front();
  }
  detail::removeIfIdle(Registry, Name);
}

/// Shuts down the host's idle connections. Called after a timeout: if one
/// connection went silent, the others may be dead as well.
void HttpClient::Impl::shutDownIdle(const std::string &Name) {
  auto It = Registry.Hosts.find(Name);
  if (It == Registry.Hosts.end())
    return;
  for (int Socket : It->second.Sockets)
    // libcurl discards a connection that was shut down instead of reusing it.
    if (Registry.Poller.isIdle(Socket) && shutdown(Socket, SHUT_RDWR) != 0)
      VLOG(1) << "net: an idle connection was already closed";
}

/// Removes the call's handle from the multi handle and keeps it for reuse.
void HttpClient::Impl::release(Transfer &T) {
  curl_multi_remove_handle(Multi, T.Easy);
  --Registry.Hosts[T.HostName].InFlight;
  // A handle with a TLS identity is not reused for other calls.
  if (T.Call.Tls || IdleHandles.size() >= MaxIdleHandles)
    return;
  curl_easy_reset(T.Easy);
  IdleHandles.push_back(T.Easy);
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
  auto It = InFlight.find(T.Id);
  std::unique_ptr<Transfer> Owned = std::move(It->second);
  InFlight.erase(It);
  Deadlines.erase({T.Deadline, T.Id});
  if (T.Easy) {
    release(T);
    if (T.Result.End == core::ExchangeEnd::TimedOut)
      shutDownIdle(T.HostName);
    startWaiting(T.HostName);
  }
  try {
    T.Done(std::move(T.Result));
  } catch (const std::exception &E) {
    AtomicCounts &To = Counts[static_cast<std::size_t>(T.Call.Target)];
    To.HandlerFailed.fetch_add(1, std::memory_order_relaxed);
    LOG(ERROR) << "net: the callback of a call to " << T.HostName
               << " failed: " << E.what();
  }
}

void HttpClient::Impl::count(const Transfer &T, CURLcode Code) {
  AtomicCounts &To = Counts[static_cast<std::size_t>(T.Call.Target)];
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

void HttpClient::Impl::finishCompleted() {
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

HttpClientOptions clientOptionsFor(std::size_t Descriptors) {
  HttpClientOptions Options;
  Options.MaxCachedConnections =
      std::clamp(Descriptors / DescriptorsPerConnection, MinCachedConnections,
                 CachedConnectionLimit);
  return Options;
}

std::size_t descriptorLimit() {
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
  T->Deadline = std::chrono::steady_clock::now() + Call.TotalLimit;
  if (Call.SendLimit > core::Duration::zero())
    T->SendBy = bootNow() + Call.SendLimit;
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

std::array<HttpCounts, HttpTargetCount> HttpClient::counts() const {
  std::array<HttpCounts, HttpTargetCount> Read;
  for (std::size_t T = 0; T < HttpTargetCount; ++T) {
    const AtomicCounts &From = Impl_->Counts[T];
    Read[T] = {From.Calls,    From.Connects, From.NotSent, From.NotSentInTime,
               From.TimedOut, From.Cut,      From.BytesIn, From.HandlerFailed};
  }
  return Read;
}

} // namespace comfreydeck::net
