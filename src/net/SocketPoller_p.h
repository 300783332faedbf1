#ifndef COMFREYDECK_NET_SOCKETPOLLER_P_H
#define COMFREYDECK_NET_SOCKETPOLLER_P_H

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace comfreydeck::net::detail {

/// What happened to one socket.
struct SocketEvent {
  int Socket = -1;
  bool Readable = false;
  bool Writable = false;
  bool Failed = false;
};

/// Waits for many sockets. A socket that rests stays registered, so that a kept
/// connection costs no system call each time it is used again.
class SocketPoller {
public:
  /// Throws std::runtime_error where the system gives no descriptors.
  SocketPoller();
  ~SocketPoller();

  SocketPoller(const SocketPoller &) = delete;
  SocketPoller &operator=(const SocketPoller &) = delete;

  /// Ends the present or the next \ref wait. Thread-safe; all others only on
  /// one thread.
  void wake();

  /// Reports the socket's events from now on.
  void watch(int Socket, bool In, bool Out);
  /// Reports nothing until the next \ref watch.
  void rest(int Socket);
  /// To be called where the descriptor is new, and before it is closed.
  void forget(int Socket);
  bool isResting(int Socket) const;

  /// Waits \p Ms at most. The events live until the next call.
  const std::vector<SocketEvent> &wait(int Ms);

private:
  struct Watch {
    bool IsResting = false;
    /// What the kernel reports; zero where the socket is not registered.
    std::uint32_t Registered = 0;
  };

  void registerAs(int Socket, Watch &W, std::uint32_t Events);
  void take(int Socket, std::uint32_t Events);

  int Poll_ = -1;
  int Wake_ = -1;
  std::unordered_map<int, Watch> Watches_;
  std::vector<SocketEvent> Events_;
};

} // namespace comfreydeck::net::detail

#endif // COMFREYDECK_NET_SOCKETPOLLER_P_H
