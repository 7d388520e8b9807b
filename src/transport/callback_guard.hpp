// Callbacks that may outlive their object: timers and answers that come after it has gone must find nobody.
#pragma once

#include <memory>
#include <utility>

namespace mothslip {

// A member of the object that owns the callbacks. Wrapped in it, a callback does nothing once the owner is
// gone.
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
