#ifndef COMFREYDECK_OPERATORS_OPERATORCLIENT_H
#define COMFREYDECK_OPERATORS_OPERATORCLIENT_H

#include "net/HttpClient.h"

#include <stdexcept>
#include <string>
#include <vector>

/// The command line for operators.
namespace comfreydeck::operators {

/// Exit codes of the operators' commands.
enum class ExitCode : std::uint8_t {
  Ok = 0,
  Failed = 1,
  Usage = 2,
  /// Another change was committed first.
  Conflict = 3,
  /// Committed, but not yet in force at every entry.
  Pending = 4,
};

/// The entries to call and the key to authenticate with.
struct OperatorAccess {
  /// As `http://IP:PORT`, tried in order; all entries are equivalent.
  std::vector<std::string> Entries = {"http://127.0.0.1:8080"};
  std::string KeySecret;
};

/// A failed command: the message for the operator and the exit code.
class OperatorError : public std::runtime_error {
public:
  explicit OperatorError(const std::string &Message,
                         ExitCode Code = ExitCode::Failed)
      : std::runtime_error(Message), Code_(Code) {}

  ExitCode exitCode() const { return Code_; }

private:
  ExitCode Code_;
};

/// Calls one entry at a time, with one call in flight.
class OperatorClient {
public:
  explicit OperatorClient(OperatorAccess Access);

  /// Sends one request and waits for the answer, whatever its status. Tries the
  /// next entry only if the request can't have taken effect: it was a GET or
  /// was never sent. Throws OperatorError if no entry answers. Not thread-safe.
  net::HttpResponse send(const std::string &Method, const std::string &Path,
                         const std::string &Body);

  /// The same, but returns the body and also throws OperatorError if the status
  /// is an error. Not thread-safe.
  std::string call(const std::string &Method, const std::string &Path,
                   const std::string &Body);

private:
  net::HttpResult sendTo(const std::string &Entry, const std::string &Method,
                         const std::string &Path, const std::string &Body);

  OperatorAccess Access_;
  net::HttpClient Client_;
};

/// Throws OperatorError with the message of \p Response if its status is an
/// error. Thread-safe.
void throwIfRefused(const net::HttpResponse &Response);

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_OPERATORCLIENT_H
