#ifndef COMFREYDECK_TESTS_STANDINS_FAULTSERVER_H
#define COMFREYDECK_TESTS_STANDINS_FAULTSERVER_H

#include "core/Types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace comfreydeck::standins {

/// What becomes of a connection once the answer's bytes are written.
enum class ConnectionEnd : std::uint8_t { Keep, Close, Reset };

/// What the server does with one request.
struct FaultScript {
  static constexpr std::size_t WholeRequest = SIZE_MAX;

  /// Bytes of the request to read before anything else is done.
  std::size_t ReadBytes = WholeRequest;
  /// Waits this long before it writes.
  core::Duration Delay{0};
  /// Raw bytes; `{id}` stands for the value of the request's Task-Id.
  std::string Answer;
  ConnectionEnd End = ConnectionEnd::Keep;
  /// Whether new connections are refused from now on.
  bool CloseListener = false;
};

/// A TCP server that plays a fixed script for each request, on its own thread.
class FaultServer {
public:
  /// \p Scripts are played in the order of the requests; the last one repeats.
  explicit FaultServer(std::vector<FaultScript> Scripts);
  ~FaultServer();

  FaultServer(const FaultServer &) = delete;
  FaultServer &operator=(const FaultServer &) = delete;

  /// Thread-safe.
  std::uint16_t port() const;
  /// Connections accepted so far. Thread-safe.
  std::uint32_t connections() const;
  /// Requests received whole so far. Thread-safe.
  std::uint32_t wholeRequests() const;
  /// Requests of which at least one byte was received. Thread-safe.
  std::uint32_t begunRequests() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// A whole answer to a start, as raw bytes. \p Headers are whole lines.
std::string rawAnswer(int Status, const std::string &Headers,
                      const std::string &Body);

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_FAULTSERVER_H
