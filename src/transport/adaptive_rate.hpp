// A rate of calls that the service called may lower without notice, down to a known floor.
#pragma once

#include <algorithm>

namespace mothslip {

// Cut when the service turns calls down, and raised again slowly, between the two limits. Where both are the
// same it never moves: being turned down now and then is then only a sign that several callers were busy at
// once. Times are in seconds, by any one clock.
class AdaptiveRate {
 public:
  AdaptiveRate(double max_rps, double min_rps, double now)
      : max_rps_(max_rps), min_rps_(std::min(max_rps, min_rps)), current_rps_(max_rps), raised_at_(now) {}

  // Calls a second.
  [[nodiscard]] double current_rps() const { return current_rps_; }
  // A call was turned down. True when the rate has changed. Refusals that come together count once.
  bool on_refusal(double now) {
    if (now - cut_at_ < kMinCutIntervalSeconds) return false;
    cut_at_ = raised_at_ = now;
    const double previous_rps = current_rps_;
    current_rps_ = std::max(min_rps_, current_rps_ * kCutFactor);
    return current_rps_ != previous_rps;
  }
  // To be called now and then. True when the rate has changed.
  bool raise(double now) {
    const double previous_rps = current_rps_;
    if (now - cut_at_ > kRaiseDelaySeconds)
      current_rps_ =
          std::min(max_rps_, current_rps_ + kRaiseFractionPerSecond * max_rps_ * (now - raised_at_));
    raised_at_ = now;
    return current_rps_ != previous_rps;
  }

 private:
  static constexpr double kMinCutIntervalSeconds = 1.0;    // seconds in which refusals count once
  static constexpr double kCutFactor = 0.7;                // times the present rate
  static constexpr double kRaiseDelaySeconds = 10.0;       // seconds without a refusal
  static constexpr double kRaiseFractionPerSecond = 0.02;  // of the highest rate, a second
  double max_rps_;
  double min_rps_;
  double current_rps_;
  double raised_at_;
  double cut_at_ = -1e9;
};

}  // namespace mothslip
