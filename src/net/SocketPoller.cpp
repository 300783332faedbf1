#include "net/SocketPoller_p.h"

#include <glog/logging.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace comfreydeck::net::detail {

namespace {

/// Maximum number of events returned by one system call.
constexpr std::size_t MaxEvents = 128;

} // namespace

SocketPoller::SocketPoller()
    : Poll_(epoll_create1(EPOLL_CLOEXEC)),
      Wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = Wake_;
  if (Poll_ < 0 || Wake_ < 0 ||
      epoll_ctl(Poll_, EPOLL_CTL_ADD, Wake_, &Event) != 0) {
    close(Poll_);
    close(Wake_);
    throw std::runtime_error("net: can't create the epoll or event descriptor");
  }
}

SocketPoller::~SocketPoller() {
  close(Wake_);
  close(Poll_);
}

void SocketPoller::wake() {
  std::uint64_t One = 1;
  ssize_t Written = write(Wake_, &One, sizeof(One));
  // EAGAIN means that the counter is full, which ends the wait as well.
  if (Written < 0 && errno != EAGAIN)
    LOG(ERROR) << "net: can't wake the client's thread: "
               << std::strerror(errno);
}

void SocketPoller::updateRegistration(int Socket, Watch &W,
                                      std::uint32_t Events) {
  if (W.Registered == Events)
    return;
  epoll_event Event{};
  Event.events = Events;
  Event.data.fd = Socket;
  int Change = W.Registered == 0 ? EPOLL_CTL_ADD
               : Events == 0     ? EPOLL_CTL_DEL
                                 : EPOLL_CTL_MOD;
  if (epoll_ctl(Poll_, Change, Socket, &Event) != 0)
    // The transfer gets no events and ends at its time limit.
    LOG(ERROR) << "net: can't register a socket with epoll: "
               << std::strerror(errno);
  W.Registered = Events;
}

void SocketPoller::watch(int Socket, bool In, bool Out) {
  Watch &W = Watches_[Socket];
  W.IsIdle = false;
  updateRegistration(Socket, W, (In ? EPOLLIN : 0U) | (Out ? EPOLLOUT : 0U));
}

void SocketPoller::setIdle(int Socket) {
  auto It = Watches_.find(Socket);
  if (It != Watches_.end())
    It->second.IsIdle = true;
}

void SocketPoller::forget(int Socket) { Watches_.erase(Socket); }

bool SocketPoller::isIdle(int Socket) const {
  auto It = Watches_.find(Socket);
  return It != Watches_.end() && It->second.IsIdle;
}

void SocketPoller::handleEvent(int Socket, std::uint32_t Events) {
  if (Socket == Wake_) {
    std::uint64_t Count = 0;
    ssize_t Taken = read(Wake_, &Count, sizeof(Count));
    if (Taken < 0 && errno != EAGAIN)
      LOG(ERROR) << "net: can't read the event descriptor: "
                 << std::strerror(errno);
    return;
  }
  auto It = Watches_.find(Socket);
  if (It == Watches_.end())
    return;
  if (It->second.IsIdle) {
    // The peer closed an idle connection; its next user detects that.
    updateRegistration(Socket, It->second, 0);
    return;
  }
  Events_.push_back({Socket, (Events & (EPOLLIN | EPOLLHUP)) != 0,
                     (Events & EPOLLOUT) != 0, (Events & EPOLLERR) != 0});
}

const std::vector<SocketEvent> &SocketPoller::wait(int Ms) {
  std::array<epoll_event, MaxEvents> Taken{};
  Events_.clear();
  int Count = epoll_wait(Poll_, Taken.data(), MaxEvents, Ms);
  if (Count < 0 && errno != EINTR)
    throw std::runtime_error("net: epoll_wait failed");
  MayHaveMore_ = Count == static_cast<int>(MaxEvents);
  for (int N = 0; N < Count; ++N)
    handleEvent(Taken[N].data.fd, Taken[N].events);
  return Events_;
}

} // namespace comfreydeck::net::detail
