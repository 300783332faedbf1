#include "Record.h"

#include <iomanip>

namespace review {

std::int64_t msSince(Clock::time_point From) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               From)
      .count();
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Record::Record(const std::string &File) : Out_(File) {}

void Record::line(const std::string &Text) {
  constexpr int Width = 7;
  std::lock_guard<std::mutex> Lock(Mutex_);
  Out_ << std::setw(Width) << nowMs() << " ms  " << Text << std::endl;
}

void Record::breach(const std::string &Rule, const std::string &Text) {
  line("BREACH " + Rule + ": " + Text);
  std::lock_guard<std::mutex> Lock(Mutex_);
  ++Breaches_;
}

int Record::breaches() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Breaches_;
}

} // namespace review
