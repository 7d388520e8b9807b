// An environment in which the test answers each call explicitly. Its clock does not advance and its timers
// never fire.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "protocol/settings.hpp"
#include "transport/env.hpp"

namespace mothslip::sim {

// Settings under which the state service's limits delay no call of a test.
inline Settings scripted_settings() {
  Settings out;
  out.state = "10.2.0.1:2379";
  out.state_rps = 1000;
  out.state_write_rps = 300;
  out.txn_ops = 24;
  out.value_kb = 8;
  return out;
}

class ScriptedEnv final : public Env {
 public:
  struct Call {
    HttpCall request;
    ReplyHandler handler;
  };
  [[nodiscard]] double now() const override { return kNow; }
  [[nodiscard]] double wall_time() const override { return 1.7e9 + kNow; }
  std::uint64_t random() override { return 1; }
  TimerId after(double, std::function<void()>) override { return ++next_; }
  void cancel(TimerId) override {}
  void call(HttpCall request, ReplyHandler handler) override {
    calls.push_back({std::move(request), std::move(handler)});
  }

  // Answers the oldest unanswered call.
  void answer(int status, std::string body) {
    const Call call = std::move(calls.front());
    calls.erase(calls.begin());
    call.handler({status, std::move(body)});
  }

  std::vector<Call> calls;  // unanswered, oldest first

 private:
  static constexpr double kNow = 1000;
  TimerId next_ = 0;
};

}  // namespace mothslip::sim
