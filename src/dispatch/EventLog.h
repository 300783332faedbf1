#ifndef COMFREYDECK_DISPATCH_EVENTLOG_H
#define COMFREYDECK_DISPATCH_EVENTLOG_H

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <utility>
#include <variant>

/// Structured logging to standard output.
namespace comfreydeck::dispatch {

/// Value of a log field.
using LogValue = std::variant<std::string, std::int64_t, std::uint64_t, double>;

/// A named value of a log line; takes any numeric type.
struct LogField {
  const char *Name;
  LogValue Value;

  LogField(const char *N, const char *V) : Name(N), Value(std::string(V)) {}
  LogField(const char *N, std::string V) : Name(N), Value(std::move(V)) {}
  LogField(const char *N, std::int64_t V) : Name(N), Value(V) {}
  LogField(const char *N, int V) : Name(N), Value(std::int64_t{V}) {}
  LogField(const char *N, std::uint64_t V) : Name(N), Value(V) {}
  LogField(const char *N, std::uint32_t V) : Name(N), Value(std::uint64_t{V}) {}
  LogField(const char *N, double V) : Name(N), Value(V) {}
};

/// Writes one line of JSON. Lines that exceed the event's rate or can't be
/// written immediately are dropped and counted in the event's next line.
/// Callers must never log API keys or request bodies. Thread-safe; never
/// blocks.
void logEvent(const char *Event, std::initializer_list<LogField> Fields = {});
void logEvent(const char *Event, std::span<const LogField> Fields);

} // namespace comfreydeck::dispatch

#endif // COMFREYDECK_DISPATCH_EVENTLOG_H
