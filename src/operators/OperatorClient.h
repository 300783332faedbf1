#ifndef COMFREYDECK_OPERATORS_OPERATORCLIENT_H
#define COMFREYDECK_OPERATORS_OPERATORCLIENT_H

#include "net/HttpClient.h"

#include <stdexcept>
#include <string>
#include <vector>

/// The operators' side of the command line.
namespace comfreydeck::operators {

/// Exit codes of the operators' commands.
enum class ExitCode : std::uint8_t {
  Ok = 0,
  Failed = 1,
  Usage = 2,
  /// Another change came first.
  Conflict = 3,
  /// Committed, but not yet in force at every entry.
  Pending = 4,
};

/// Which entries to speak to, and as whom.
struct OperatorAccess {
  /// `http://IP:PORT`, tried in turn; any entry will do.
  std::vector<std::string> Entries = {"http://127.0.0.1:8080"};
  std::string KeySecret;
};

/// What the operator is told instead of an answer.
class OperatorError : public std::runtime_error {
public:
  explicit OperatorError(const std::string &Message,
                         ExitCode Code = ExitCode::Failed)
      : std::runtime_error(Message), Code_(Code) {}

  ExitCode exitCode() const { return Code_; }

private:
  ExitCode Code_;
};

/// Speaks to one entry at a time, one call at a time.
class OperatorClient {
public:
  explicit OperatorClient(OperatorAccess Access);

  /// Sends one request and waits for the answer, whatever its status. The next
  /// entry is tried only where the request can't have been acted on. Throws
  /// OperatorError where there is no answer. Not thread-safe.
  net::HttpResponse send(const std::string &Method, const std::string &Path,
                         const std::string &Body);

  /// The same, but a refusal throws too. Not thread-safe.
  std::string call(const std::string &Method, const std::string &Path,
                   const std::string &Body);

private:
  net::HttpResult sendTo(const std::string &Entry, const std::string &Method,
                         const std::string &Path, const std::string &Body);

  OperatorAccess Access_;
  net::HttpClient Client_;
};

/// Throws OperatorError with the refusal's own words where \p Response is one.
/// Thread-safe.
void throwIfRefused(const net::HttpResponse &Response);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_OPERATORCLIENT_H
