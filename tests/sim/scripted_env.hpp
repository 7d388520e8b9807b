// An environment whose calls a test answers by hand, in the order it likes.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "transport/env.hpp"

namespace mothslip::sim {

class ScriptedEnv final : public Env {
 public:
  struct Call {
    HttpCall request;
    ReplyHandler handler;
  };
  [[nodiscard]] double now() const override { return now_; }
  [[nodiscard]] double wall() const override { return 1.7e9 + now_; }
  std::uint64_t random() override { return 1; }
  TimerId after(double delay_s, std::function<void()> action) override {
    timers_.emplace(std::pair{now_ + delay_s, ++next_}, std::move(action));
    return next_;
  }
  void cancel(TimerId timer) override {
    std::erase_if(timers_, [timer](const auto& item) { return item.first.second == timer; });
  }
  void call(HttpCall request, ReplyHandler handler) override {
    calls.push_back({std::move(request), std::move(handler)});
  }

  void pass(double seconds) {
    const double until = now_ + seconds;
    while (!timers_.empty() && timers_.begin()->first.first <= until) {
      auto timer = timers_.extract(timers_.begin());
      now_ = timer.key().first;
      timer.mapped()();
    }
    now_ = until;
  }
  // Answers the oldest call that is open.
  void answer(int status, std::string body) {
    const Call call = std::move(calls.front());
    calls.erase(calls.begin());
    call.handler({status, std::move(body)});
  }

  std::vector<Call> calls;  // open, oldest first

 private:
  double now_ = 1000;
  TimerId next_ = 0;
  std::map<std::pair<double, TimerId>, std::function<void()>> timers_;
};

}  // namespace mothslip::sim
