// An Env that drops the callbacks of its timers and calls once it is destroyed. With it a process can destroy
// a set of objects and create a new set while timers and calls of the old set are still pending.
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
