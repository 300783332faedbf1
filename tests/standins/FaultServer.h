#ifndef COMFREYDECK_TESTS_STANDINS_FAULTSERVER_H
#define COMFREYDECK_TESTS_STANDINS_FAULTSERVER_H

#include "core/Types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace comfreydeck::standins {

/// What the server does with a connection after it has written the answer.
enum class ConnectionEnd : std::uint8_t { Keep, Close, Reset };

/// What the server does with one request.
struct FaultScript {
  static constexpr std::size_t WholeRequest = SIZE_MAX;

  /// Number of request bytes to read before doing anything else.
  std::size_t ReadBytes = WholeRequest;
  /// Time to wait before writing the answer.
  core::Duration Delay{0};
  /// Raw bytes to send. `{id}` is replaced by the value of the request's
  /// Task-Id.
  std::string Answer;
  ConnectionEnd End = ConnectionEnd::Keep;
  /// Whether new connections are refused from now on.
  bool CloseListener = false;
};

/// A TCP server that follows a script for each request, to inject faults into
/// HTTP exchanges. Runs on its own thread.
class FaultServer {
public:
  /// The nth request follows the nth of \p Scripts; the last one repeats.
  explicit FaultServer(std::vector<FaultScript> Scripts);
  ~FaultServer();

  FaultServer(const FaultServer &) = delete;
  FaultServer &operator=(const FaultServer &) = delete;

  /// Thread-safe.
  std::uint16_t port() const;
  /// Connections accepted so far. Thread-safe.
  std::uint32_t connections() const;
  /// Complete requests received so far. Thread-safe.
  std::uint32_t wholeRequests() const;
  /// Requests of which at least one byte was received. Thread-safe.
  std::uint32_t startedRequests() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Builds a complete HTTP response as raw bytes. \p Headers are whole lines,
/// each with its CRLF.
std::string rawAnswer(int Status, const std::string &Headers,
                      const std::string &Body);

} // namespace comfreydeck::standins

#endif // COMFREYDECK_TESTS_STANDINS_FAULTSERVER_H
