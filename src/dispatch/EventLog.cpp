#include "dispatch/EventLog.h"

#include "dispatch/Clock.h"

#include <nlohmann/json.hpp>

#include <cstring>
#include <map>
#include <mutex>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace comfreydeck::dispatch {

namespace {

/// Most lines of one event per second; bounds the log's volume under load.
constexpr std::uint32_t LinesPerSecond = 40;

struct EventRate {
  std::int64_t Second = 0;
  std::uint32_t Lines = 0;
  std::uint64_t Suppressed = 0;
};

std::mutex RateMutex;
std::map<std::string, EventRate> Rates;

/// Whether the line is within its event's rate. \p Suppressed gets the number
/// of lines dropped since the last one written.
bool admitLine(const char *Event, std::int64_t WallMs,
               std::uint64_t &Suppressed) {
  constexpr std::int64_t SecondMs = 1000;
  std::lock_guard<std::mutex> Lock(RateMutex);
  EventRate &Rate = Rates[Event];
  if (Rate.Second != WallMs / SecondMs) {
    Rate.Second = WallMs / SecondMs;
    Rate.Lines = 0;
  }
  if (Rate.Lines >= LinesPerSecond) {
    ++Rate.Suppressed;
    return false;
  }
  ++Rate.Lines;
  Suppressed = std::exchange(Rate.Suppressed, 0);
  return true;
}

void countSuppressed(const char *Event) {
  std::lock_guard<std::mutex> Lock(RateMutex);
  ++Rates[Event].Suppressed;
}

/// Writes the line, or nothing if the reader is slow.
bool writeLine(const std::string &Line) {
  pollfd Out{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&Out, 1, 0) != 1 || (Out.revents & POLLOUT) == 0)
    return false;
  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  constexpr std::size_t MaxBytes = 4096;
  if (Line.size() > MaxBytes)
    return false;
  return ::write(STDOUT_FILENO, Line.data(), Line.size()) ==
         static_cast<ssize_t>(Line.size());
}

} // namespace

void logEvent(const char *Event, std::initializer_list<LogField> Fields) {
  logEvent(Event, std::span(Fields.begin(), Fields.size()));
}

void logEvent(const char *Event, std::span<const LogField> Fields) {
  std::int64_t Now = wallMs();
  std::uint64_t Suppressed = 0;
  if (!admitLine(Event, Now, Suppressed))
    return;
  nlohmann::ordered_json Line = {{"ts", Now}, {"event", Event}};
  for (const LogField &Field : Fields)
    std::visit([&](const auto &Value) { Line[Field.Name] = Value; },
               Field.Value);
  if (Suppressed > 0)
    Line["left_out"] = Suppressed;
  std::string Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (!writeLine(Text + '\n'))
    countSuppressed(Event);
}

} // namespace comfreydeck::dispatch
