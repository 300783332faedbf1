#ifndef REVIEW_STANDIN_HTTP_H
#define REVIEW_STANDIN_HTTP_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

/// Blocking HTTP/1.1 over loopback, with control over how a connection ends.
namespace review {

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// How many requests this connection has carried before.
  int EarlierOnConnection = 0;
  /// Set when the server ends; long polls look at it.
  const std::atomic<bool> *Stopping = nullptr;
};

struct Response {
  int Status = 200;
  std::string Body = "{}";
  /// Resets the connection instead of answering.
  bool Reset = false;
};

using Handler = std::function<Response(const Request &)>;

/// Listens on a free port of \ref ownAddress; one thread for each connection.
class Server {
public:
  explicit Server(Handler Handle);
  std::uint16_t port() const { return Port_; }
  /// Closes all connections, as a crash does.
  void dropConnections();

private:
  void accept();
  void serve(int Socket);
  void answerRequests(int Socket);

  Handler Handle_;
  std::mutex Mutex_;
  std::set<int> Open_;
  int Listener_ = -1;
  std::uint16_t Port_ = 0;
};

/// Ends the long polls of all servers.
void stopServers();

/// One call on a connection of its own. Status 0: no whole answer in time.
Response call(std::uint16_t Port, const std::string &Method,
              const std::string &Path,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs);

/// A loopback address of this process alone, so that ports that are free on it
/// stay free.
std::string ownAddress();

/// A port of \ref ownAddress that was free a moment ago.
std::uint16_t freePort();

} // namespace review

#endif // REVIEW_STANDIN_HTTP_H
