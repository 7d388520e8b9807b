// Callbacks that outlive the object that asked for them.
#pragma once

#include <memory>
#include <utility>

namespace mothslip {

// Member of a class that gives out callbacks: a timer or a reply that comes after the owner's destruction
// does nothing.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  // The callback, to be called only while this guard exists.
  template <typename Callback>
  auto wrap(Callback callback) const {
    return [alive = std::weak_ptr<bool>(alive_), callback = std::move(callback)](auto&&... args) mutable {
      if (!alive.expired()) callback(std::forward<decltype(args)>(args)...);
    };
  }

 private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mothslip
