#include "entry/TaskRequest.h"

#include <array>
#include <charconv>

namespace comfreydeck::entry {

namespace {

constexpr int BadRequest = 400;
constexpr int TooLarge = 413;
constexpr std::size_t MaxIdBytes = 128;
constexpr std::uint64_t MilliPerCpu = 1000;
constexpr std::uint64_t MaxCpus = 4096;
constexpr std::uint64_t MaxMemoryMb = 1ULL << 24;
constexpr std::uint64_t MaxAccelerators = 64;
constexpr std::uint64_t MaxRunMs = 24ULL * 3600 * 1000;

[[noreturn]] void malformed(const std::string &Message) {
  throw RequestError(BadRequest, core::Reason::MalformedRequest, Message);
}

std::uint64_t numberHeader(const net::HttpRequest &Request, const char *Name,
                           std::uint64_t Default, std::uint64_t Max) {
  std::string_view Text = net::findHeader(Request.Headers, Name);
  if (!net::hasHeader(Request.Headers, Name))
    return Default;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End || Value > Max)
    malformed(std::string(Name) + " must be a whole number from 0 to " +
              std::to_string(Max));
  return Value;
}

std::optional<bool> boolHeader(const net::HttpRequest &Request,
                               const char *Name) {
  if (!net::hasHeader(Request.Headers, Name))
    return std::nullopt;
  std::string_view Text = net::findHeader(Request.Headers, Name);
  if (Text != "true" && Text != "false")
    malformed(std::string(Name) + " must be true or false");
  return Text == "true";
}

bool isIdCharacter(char C) { return C > ' ' && C < '\x7f'; }

std::string idHeader(const net::HttpRequest &Request, const char *Name) {
  if (!net::hasHeader(Request.Headers, Name))
    return {};
  std::string Text(net::findHeader(Request.Headers, Name));
  bool IsValid = !Text.empty() && Text.size() <= MaxIdBytes;
  for (char C : Text)
    IsValid = IsValid && isIdCharacter(C);
  if (!IsValid)
    malformed(std::string(Name) +
              " must consist of 1 to 128 visible ASCII characters");
  return Text;
}

std::optional<core::RequestId> issuedIdHeader(const net::HttpRequest &Request) {
  std::string Text = idHeader(Request, "Comfreydeck-Request-Id");
  if (Text.empty())
    return std::nullopt;
  std::optional<core::RequestId> Id = core::requestFrom(Text);
  if (!Id)
    malformed("Comfreydeck-Request-Id is not a valid id");
  return Id;
}

core::Duration milliseconds(std::uint64_t Ms) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(Ms));
}

std::uint64_t inMs(core::Duration D) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

/// Rejects repeated headers, which would be ambiguous.
void checkSingle(const net::HttpRequest &Request) {
  constexpr std::array<std::string_view, 11> Single = {
      "Authorization",
      "Idempotency-Key",
      "Comfreydeck-Request-Id",
      "Comfreydeck-Idempotent",
      "Comfreydeck-Urgent",
      "Comfreydeck-Deadline-Ms",
      "Comfreydeck-Cpus",
      "Comfreydeck-Memory-Mb",
      "Comfreydeck-Run-Ms",
      "Comfreydeck-Accelerators",
      "Content-Type"};
  for (std::string_view Name : Single)
    if (net::countHeaders(Request.Headers, Name) > 1)
      malformed(std::string(Name) + " is given more than once");
}

} // namespace

std::string bearerKey(const net::HttpRequest &Request) {
  if (!net::hasHeader(Request.Headers, "Authorization"))
    return {};
  std::string_view Text = net::findHeader(Request.Headers, "Authorization");
  constexpr std::string_view Scheme = "Bearer ";
  if (!Text.starts_with(Scheme) || Text.size() == Scheme.size() ||
      Text.size() > Scheme.size() + MaxIdBytes)
    malformed("Authorization must be 'Bearer KEY'");
  return std::string(Text.substr(Scheme.size()));
}

TaskRequest parseTaskRequest(net::HttpRequest Request, std::string Queue,
                             const settings::TrafficSettings &Limits) {
  if (Request.Body.size() > Limits.MaxBodyBytes)
    throw RequestError(TooLarge, core::Reason::BodyTooLarge,
                       "the body must not exceed " +
                           std::to_string(Limits.MaxBodyBytes) + " bytes");
  checkSingle(Request);
  TaskRequest Task;
  Task.Queue = std::move(Queue);
  Task.KeySecret = bearerKey(Request);
  Task.IdempotencyKey = idHeader(Request, "Idempotency-Key");
  Task.IssuedId = issuedIdHeader(Request);
  Task.Forwarded = net::hasHeader(Request.Headers, "Comfreydeck-Forwarded");
  Task.Idempotent = boolHeader(Request, "Comfreydeck-Idempotent");
  Task.Urgent = boolHeader(Request, "Comfreydeck-Urgent").value_or(false);
  std::uint64_t DeadlineMs =
      numberHeader(Request, "Comfreydeck-Deadline-Ms",
                   inMs(Limits.DefaultDeadline), inMs(Limits.MaxDeadline));
  Task.Deadline = milliseconds(DeadlineMs);
  Task.Size.MilliCpus = static_cast<std::uint32_t>(
      numberHeader(Request, "Comfreydeck-Cpus", 0, MaxCpus) * MilliPerCpu);
  Task.Size.MemoryMb = static_cast<std::uint32_t>(
      numberHeader(Request, "Comfreydeck-Memory-Mb", 0, MaxMemoryMb));
  Task.Size.Accelerators = static_cast<std::uint32_t>(
      numberHeader(Request, "Comfreydeck-Accelerators", 0, MaxAccelerators));
  Task.Run =
      milliseconds(numberHeader(Request, "Comfreydeck-Run-Ms", 0, MaxRunMs));
  Task.ContentType = net::findHeader(Request.Headers, "Content-Type");
  Task.Body = std::move(Request.Body);
  if (!Task.IdempotencyKey.empty() && Task.IssuedId)
    malformed("Idempotency-Key and Comfreydeck-Request-Id exclude each other");
  return Task;
}

} // namespace comfreydeck::entry
