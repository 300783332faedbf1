#ifndef COMFREYDECK_OPERATORS_OPERATORCLIENT_H
#define COMFREYDECK_OPERATORS_OPERATORCLIENT_H

#include "net/HttpClient.h"

#include <stdexcept>
#include <string>

/// The operators' side of the command line.
namespace comfreydeck::operators {

/// Which entry to speak to, and as whom.
struct OperatorAccess {
  /// `http://IP:PORT` of any entry.
  std::string Entry = "http://127.0.0.1:8080";
  std::string KeySecret;
  /// `table` or `json`.
  std::string Output = "table";
};

/// An entry's refusal, or no answer at all.
class OperatorError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Speaks to one entry, one call at a time.
class OperatorClient {
public:
  explicit OperatorClient(OperatorAccess Access);

  /// Sends one request and waits for the JSON answer. Throws OperatorError
  /// where there is none or it is a refusal. Not thread-safe.
  std::string call(const std::string &Method, const std::string &Path,
                   const std::string &Body);

private:
  OperatorAccess Access_;
  net::HttpClient Client_;
};

} // namespace comfreydeck::operators

#endif // COMFREYDECK_OPERATORS_OPERATORCLIENT_H
