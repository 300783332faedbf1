#ifndef REVIEW_STANDIN_RECORD_H
#define REVIEW_STANDIN_RECORD_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

std::int64_t msSince(Clock::time_point From);
std::int64_t unixMs();

/// Writes what was sent, answered and run, with times since the start, and
/// counts the breaches of the rule. Thread-safe.
class Record {
public:
  explicit Record(const std::string &File);
  void line(const std::string &Text);
  void breach(const std::string &Rule, const std::string &Text);
  int breaches();
  std::int64_t nowMs() const { return msSince(Start_); }

private:
  std::mutex Mutex_;
  std::ofstream Out_;
  Clock::time_point Start_ = Clock::now();
  int Breaches_ = 0;
};

} // namespace review

#endif // REVIEW_STANDIN_RECORD_H
