#include "net/Loop.h"

#include <asio.hpp>
#include <glog/logging.h>

#include <atomic>
#include <ctime>
#include <thread>
#include <utility>

namespace comfreydeck::net {

core::TimePoint now() {
  return std::chrono::time_point_cast<core::Duration>(
      std::chrono::steady_clock::now());
}

core::TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return core::TimePoint(std::chrono::seconds(Time.tv_sec) +
                         std::chrono::duration_cast<core::Duration>(
                             std::chrono::nanoseconds(Time.tv_nsec)));
}

struct Loop::Impl {
  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(Io);
  std::thread Thread;
  std::atomic<std::uint64_t> Posts = 0;
  /// This member and Use are accessed on the loop's thread only.
  std::uint64_t PostsTaken = 0;
  LoopUsage Usage;

  void run(const std::function<void()> &Function);
};

void Loop::Impl::run(const std::function<void()> &Function) {
  try {
    Function();
  } catch (const std::exception &E) {
    ++Usage.Failures;
    LOG(ERROR) << "loop: a function failed: " << E.what();
  }
}

Loop::Loop() : Impl_(std::make_unique<Impl>()) {}

Loop::~Loop() { stop(); }

void Loop::start() {
  Impl_->Thread = std::thread([this] { Impl_->Io.run(); });
}

void Loop::stop() {
  Impl_->Io.stop();
  if (Impl_->Thread.joinable())
    Impl_->Thread.join();
}

void Loop::post(std::function<void()> Work) {
  if (Impl_->Posts.fetch_add(1, std::memory_order_relaxed) % SampleEvery != 0) {
    asio::post(Impl_->Io,
               [I = Impl_.get(), Work = std::move(Work)] { I->run(Work); });
    return;
  }
  asio::post(Impl_->Io, [this, At = now(), Work = std::move(Work)] {
    runTimed(At, Work);
  });
}

void Loop::runTimed(core::TimePoint PostedAt,
                    const std::function<void()> &Work) {
  LoopUsage &Usage = Impl_->Usage;
  core::TimePoint Begin = now();
  core::addSample(Usage.Waits, Begin - PostedAt);
  Impl_->run(Work);
  core::Duration Ran = now() - Begin;
  core::addSample(Usage.Runs, Ran);
  Usage.Busy += Ran * SampleEvery;
}

void Loop::after(core::Duration Delay, std::function<void()> Work) {
  auto Timer = std::make_shared<asio::steady_timer>(Impl_->Io, Delay);
  Timer->async_wait(
      [this, Timer, Work = std::move(Work)](std::error_code Failed) {
        if (Failed)
          return;
        core::TimePoint Begin = now();
        Impl_->run(Work);
        core::Duration Ran = now() - Begin;
        core::addSample(Impl_->Usage.Runs, Ran);
        Impl_->Usage.Busy += Ran;
      });
}

void Loop::every(core::Duration Period, std::function<void()> Work) {
  after(Period, [this, Period, Work = std::move(Work)] {
    Impl_->run(Work);
    every(Period, Work);
  });
}

LoopUsage Loop::takeUsage() {
  std::uint64_t Posts = Impl_->Posts.load(std::memory_order_relaxed);
  LoopUsage Taken = std::exchange(Impl_->Usage, {});
  Taken.Posts = Posts - std::exchange(Impl_->PostsTaken, Posts);
  return Taken;
}

} // namespace comfreydeck::net
