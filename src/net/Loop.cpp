#include "net/Loop.h"

#include <asio.hpp>

#include <thread>

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
  asio::post(Impl_->Io, std::move(Work));
}

void Loop::after(core::Duration Delay, std::function<void()> Work) {
  auto Timer = std::make_shared<asio::steady_timer>(Impl_->Io, Delay);
  Timer->async_wait([Timer, Work = std::move(Work)](std::error_code Failed) {
    if (!Failed)
      Work();
  });
}

void Loop::every(core::Duration Period, std::function<void()> Work) {
  after(Period, [this, Period, Work = std::move(Work)] {
    Work();
    every(Period, Work);
  });
}

} // namespace comfreydeck::net
