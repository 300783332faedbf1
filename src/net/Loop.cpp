#include "net/Loop.h"

#include <asio.hpp>

#include <atomic>
#include <thread>
#include <utility>

namespace comfreydeck::net {

core::TimePoint now() {
  return std::chrono::time_point_cast<core::Duration>(
      std::chrono::steady_clock::now());
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
};

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
    asio::post(Impl_->Io, std::move(Work));
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
  Work();
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
        Work();
        core::Duration Ran = now() - Begin;
        core::addSample(Impl_->Usage.Runs, Ran);
        Impl_->Usage.Busy += Ran;
      });
}

void Loop::every(core::Duration Period, std::function<void()> Work) {
  after(Period, [this, Period, Work = std::move(Work)] {
    Work();
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
