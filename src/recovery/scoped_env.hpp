// An Env whose timers and answers end with it: what was started within its life finds nobody afterwards. With
// it a process can end one life of its actors and begin another.
#pragma once

#include <memory>
#include <utility>

#include "transport/env.hpp"

namespace mothslip::recovery {

class ScopedEnv final : public Env {
 public:
  explicit ScopedEnv(Env& outer) : outer_(outer) {}
  [[nodiscard]] double now() const override { return outer_.now(); }
  [[nodiscard]] double wall_time() const override { return outer_.wall_time(); }
  std::uint64_t random() override { return outer_.random(); }
  TimerId after(double delay_s, std::function<void()> action) override {
    return outer_.after(delay_s, [alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
      if (!alive.expired()) action();
    });
  }
  void cancel(TimerId timer) override { outer_.cancel(timer); }
  void call(HttpCall request, ReplyHandler handler) override {
    outer_.call(std::move(request),
                [alive = std::weak_ptr<bool>(alive_), handler = std::move(handler)](HttpReply reply) {
                  if (!alive.expired()) handler(std::move(reply));
                });
  }

 private:
  Env& outer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mothslip::recovery
