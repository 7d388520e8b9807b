// Protects against callbacks (timers, replies to calls) that run after their object has been destroyed.
#pragma once

#include <memory>
#include <utility>

namespace mothslip {

// A member of the object that owns the callbacks. A callback that is wrapped by this member does nothing once
// the member, and with it the owner, has been destroyed.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  template <typename F>
  auto operator()(F callback) const {
    return
        [lifetime = std::weak_ptr<bool>(lifetime_), callback = std::move(callback)](auto&&... args) mutable {
          if (!lifetime.expired()) callback(std::forward<decltype(args)>(args)...);
        };
  }

 private:
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace mothslip
