// A rate of calls that the service called may lower without notice, down to a known floor.
#pragma once

#include <algorithm>

namespace mothslip {

// Cut when the service turns calls down, and raised again slowly, between the two limits. Where both are the
// same it never moves: being turned down now and then is then only a sign that several callers were busy at
// once. Times are in seconds, by any one clock.
class AdaptiveRate {
 public:
  AdaptiveRate(double highest, double lowest, double now)
      : highest_(highest), lowest_(std::min(highest, lowest)), current_(highest), raised_at_(now) {}

  // Calls a second.
  [[nodiscard]] double current() const { return current_; }
  // A call was turned down. True when the rate has changed. Refusals that come together count once.
  bool turned_down(double now) {
    if (now - cut_at_ < kOneCut) return false;
    cut_at_ = raised_at_ = now;
    const double before = current_;
    current_ = std::max(lowest_, current_ * kCut);
    return current_ != before;
  }
  // To be called now and then. True when the rate has changed.
  bool raise(double now) {
    const double before = current_;
    if (now - cut_at_ > kPause)
      current_ = std::min(highest_, current_ + kRaise * highest_ * (now - raised_at_));
    raised_at_ = now;
    return current_ != before;
  }

 private:
  static constexpr double kOneCut = 1.0;  // seconds in which refusals count once
  static constexpr double kCut = 0.7;     // times the present rate
  static constexpr double kPause = 10.0;  // seconds without a refusal
  static constexpr double kRaise = 0.02;  // of the highest rate, a second
  double highest_;
  double lowest_;
  double current_;
  double raised_at_;
  double cut_at_ = -1e9;
};

}  // namespace mothslip
