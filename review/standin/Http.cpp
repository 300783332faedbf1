#include "Http.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

std::atomic<bool> Ending = false;

constexpr std::size_t ReadBytes = 16384;
constexpr int HexBase = 16;
constexpr int Backlog = 512;

/// Process ids have at most 22 bits; 127.0.x.x is left to others.
std::uint32_t ownNumber() {
  constexpr std::uint32_t Loopback = 127;
  auto Id = static_cast<std::uint32_t>(::getpid());
  return Loopback << 24U | ((Id + (1U << 16U)) & 0xffffffU);
}

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(ownNumber());
  Address.sin_port = htons(Port);
  return Address;
}

int listenOn(std::uint16_t &Port) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(0);
  auto *Plain = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Length = sizeof(Address);
  bool Ok = Socket >= 0 && ::bind(Socket, Plain, Length) == 0 &&
            ::listen(Socket, Backlog) == 0 &&
            ::getsockname(Socket, Plain, &Length) == 0;
  if (!Ok)
    throw std::system_error(errno, std::generic_category(), "listen");
  Port = ntohs(Address.sin_port);
  return Socket;
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::string unescape(const std::string &Text) {
  std::string Plain;
  for (std::size_t N = 0; N < Text.size(); ++N) {
    if (Text[N] == '%' && N + 2 < Text.size()) {
      Plain +=
          static_cast<char>(std::stoi(Text.substr(N + 1, 2), nullptr, HexBase));
      N += 2;
    } else {
      Plain += Text[N];
    }
  }
  return Plain;
}

std::map<std::string, std::string> queryOf(const std::string &Text) {
  std::map<std::string, std::string> Query;
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t End = std::min(Text.find('&', At), Text.size());
    std::string Field = Text.substr(At, End - At);
    std::size_t Equals = std::min(Field.find('='), Field.size());
    std::string Value =
        Equals < Field.size() ? unescape(Field.substr(Equals + 1)) : "";
    Query[Field.substr(0, Equals)] = Value;
    At = End + 1;
  }
  return Query;
}

/// Reads until \p Buffer holds a whole head; returns its length or zero.
std::size_t readHead(int Socket, std::string &Buffer) {
  char Bytes[ReadBytes];
  std::size_t End = Buffer.find("\r\n\r\n");
  while (End == std::string::npos) {
    ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return 0;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    End = Buffer.find("\r\n\r\n");
  }
  return End + 4;
}

std::map<std::string, std::string> headersOf(const std::string &Head) {
  std::map<std::string, std::string> Headers;
  std::size_t At = Head.find("\r\n") + 2;
  while (At < Head.size()) {
    std::size_t End = std::min(Head.find("\r\n", At), Head.size());
    std::string Line = Head.substr(At, End - At);
    std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      std::size_t From = Line.find_first_not_of(' ', Colon + 1);
      Headers[lower(Line.substr(0, Colon))] =
          From == std::string::npos ? "" : Line.substr(From);
    }
    At = End + 2;
  }
  return Headers;
}

bool readBody(int Socket, std::string &Buffer, std::size_t Bytes) {
  char Part[ReadBytes];
  while (Buffer.size() < Bytes) {
    ssize_t Count = ::recv(Socket, Part, sizeof(Part), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Part, static_cast<std::size_t>(Count));
  }
  return true;
}

std::size_t lengthOf(const std::map<std::string, std::string> &Headers) {
  auto It = Headers.find("content-length");
  return It == Headers.end() ? 0 : std::stoul(It->second);
}

bool sendAll(int Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    ssize_t Count =
        ::send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

Request parse(const std::string &Head) {
  Request R;
  std::size_t First = Head.find(' ');
  std::size_t Second = Head.find(' ', First + 1);
  R.Method = Head.substr(0, First);
  std::string Target = Head.substr(First + 1, Second - First - 1);
  std::size_t Mark = std::min(Target.find('?'), Target.size());
  R.Path = Target.substr(0, Mark);
  if (Mark < Target.size())
    R.Query = queryOf(Target.substr(Mark + 1));
  R.Headers = headersOf(Head);
  return R;
}

} // namespace

Server::Server(Handler Handle) : Handle_(std::move(Handle)) {
  Listener_ = listenOn(Port_);
  std::thread([this] { accept(); }).detach();
}

void Server::accept() {
  while (!Ending) {
    int Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::thread([this, Socket] { serve(Socket); }).detach();
  }
}

void Server::dropConnections() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (int Socket : Open_)
    ::shutdown(Socket, SHUT_RDWR);
}

void Server::serve(int Socket) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Open_.insert(Socket);
  }
  answerRequests(Socket);
  std::lock_guard<std::mutex> Lock(Mutex_);
  Open_.erase(Socket);
  ::close(Socket);
}

void Server::answerRequests(int Socket) {
  std::string Buffer;
  for (int Earlier = 0; !Ending; ++Earlier) {
    std::size_t HeadBytes = readHead(Socket, Buffer);
    if (HeadBytes == 0)
      break;
    Request R = parse(Buffer.substr(0, HeadBytes));
    Buffer.erase(0, HeadBytes);
    std::size_t BodyBytes = lengthOf(R.Headers);
    if (!readBody(Socket, Buffer, BodyBytes))
      break;
    R.Body = Buffer.substr(0, BodyBytes);
    Buffer.erase(0, BodyBytes);
    R.EarlierOnConnection = Earlier;
    R.Stopping = &Ending;
    Response Answer = Handle_(R);
    if (Answer.Reset) {
      // The close that follows resets the connection.
      linger Now{1, 0};
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
      return;
    }
    std::string Text =
        "HTTP/1.1 " + std::to_string(Answer.Status) +
        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(Answer.Body.size()) + "\r\n\r\n" + Answer.Body;
    if (!sendAll(Socket, Text))
      break;
  }
}

void stopServers() { Ending = true; }

Response call(std::uint16_t Port, const std::string &Method,
              const std::string &Path,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs) {
  constexpr int MsPerS = 1000;
  Response Nothing;
  Nothing.Status = 0;
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{TimeoutMs / MsPerS, (TimeoutMs % MsPerS) * MsPerS};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Address = loopback(Port);
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text +=
      "Connection: close\r\nContent-Length: " + std::to_string(Body.size()) +
      "\r\n\r\n" + Body;
  std::string Buffer;
  std::size_t HeadBytes = 0;
  bool Ok = ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0 &&
            sendAll(Socket, Text);
  if (Ok)
    HeadBytes = readHead(Socket, Buffer);
  if (HeadBytes > 0) {
    std::string Head = Buffer.substr(0, HeadBytes);
    Buffer.erase(0, HeadBytes);
    std::size_t BodyBytes = lengthOf(headersOf(Head));
    if (readBody(Socket, Buffer, BodyBytes)) {
      Nothing.Status = std::stoi(Head.substr(Head.find(' ') + 1));
      Nothing.Body = Buffer.substr(0, BodyBytes);
    }
  }
  ::close(Socket);
  return Nothing;
}

std::string ownAddress() {
  constexpr std::uint32_t Octet = 0xff;
  std::uint32_t Number = ownNumber();
  return "127." + std::to_string(Number >> 16U & Octet) + "." +
         std::to_string(Number >> 8U & Octet) + "." +
         std::to_string(Number & Octet);
}

std::uint16_t freePort() {
  std::uint16_t Port = 0;
  ::close(listenOn(Port));
  return Port;
}

} // namespace review
