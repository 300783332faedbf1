#ifndef COMFREYDECK_NET_SOCKETPOLLER_P_H
#define COMFREYDECK_NET_SOCKETPOLLER_P_H

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace comfreydeck::net::detail {

/// Readiness of one socket.
struct SocketEvent {
  int Socket = -1;
  bool Readable = false;
  bool Writable = false;
  bool Failed = false;
};

/// Waits for events on many sockets (epoll). The socket of an idle connection
/// stays registered with the kernel, so that reusing it needs no system call.
class SocketPoller {
public:
  /// Throws std::runtime_error if the epoll or event descriptor can't be
  /// created.
  SocketPoller();
  ~SocketPoller();

  SocketPoller(const SocketPoller &) = delete;
  SocketPoller &operator=(const SocketPoller &) = delete;

  /// Ends the current or the next \ref wait. Thread-safe; all other methods
  /// must be called on one thread.
  void wake();

  /// Starts reporting the socket's events: readable if \p In, writable if
  /// \p Out.
  void watch(int Socket, bool In, bool Out);
  /// Reports no events of the socket until the next \ref watch.
  void setIdle(int Socket);
  /// Drops the socket's state. Must be called for a new descriptor and before a
  /// descriptor is closed.
  void forget(int Socket);
  bool isIdle(int Socket) const;

  /// Waits at most \p Ms milliseconds. The returned events are valid until the
  /// next call. Throws std::runtime_error if the wait fails.
  const std::vector<SocketEvent> &wait(int Ms);

  /// Whether the last \ref wait may have left further events unreported.
  bool mayHaveMore() const { return MayHaveMore_; }

private:
  struct Watch {
    bool IsIdle = false;
    /// epoll events registered with the kernel; zero if the socket is not
    /// registered.
    std::uint32_t Registered = 0;
  };

  void updateRegistration(int Socket, Watch &W, std::uint32_t Events);
  void handleEvent(int Socket, std::uint32_t Events);

  int Poll_ = -1;
  int Wake_ = -1;
  std::unordered_map<int, Watch> Watches_;
  std::vector<SocketEvent> Events_;
  bool MayHaveMore_ = false;
};

} // namespace comfreydeck::net::detail

#endif // COMFREYDECK_NET_SOCKETPOLLER_P_H
