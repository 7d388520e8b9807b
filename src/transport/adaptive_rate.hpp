// A rate limit for calls to a service that may lower its own limit without notice, down to a known minimum.
#pragma once

#include <algorithm>

namespace mothslip {

// The rate is cut when the service refuses calls and rises again slowly; it stays between `min_rps` and
// `max_rps`. If the two are equal, the rate is constant: an occasional refusal then only means that several
// callers were busy at the same time. Times are in seconds, all from the same clock.
class AdaptiveRate {
 public:
  AdaptiveRate(double max_rps, double min_rps, double now)
      : max_rps_(max_rps), min_rps_(std::min(max_rps, min_rps)), current_rps_(max_rps), raised_at_(now) {}

  [[nodiscard]] double current_rps() const { return current_rps_; }
  // Records that the service refused a call, and cuts the rate unless it was cut less than
  // kMinCutIntervalSeconds ago. Returns true if the rate changed.
  bool on_refusal(double now) {
    if (now - cut_at_ < kMinCutIntervalSeconds) return false;
    cut_at_ = raised_at_ = now;
    const double previous_rps = current_rps_;
    current_rps_ = std::max(min_rps_, current_rps_ * kCutFactor);
    return current_rps_ != previous_rps;
  }
  // Raises the rate in proportion to the time since the last call of this function, once kRaiseDelaySeconds
  // have passed since the last cut. The owner calls it periodically. Returns true if the rate changed.
  bool raise(double now) {
    const double previous_rps = current_rps_;
    if (now - cut_at_ > kRaiseDelaySeconds)
      current_rps_ =
          std::min(max_rps_, current_rps_ + kRaiseFractionPerSecond * max_rps_ * (now - raised_at_));
    raised_at_ = now;
    return current_rps_ != previous_rps;
  }

 private:
  static constexpr double kMinCutIntervalSeconds = 1.0;    // refusals within this time count as one
  static constexpr double kCutFactor = 0.7;                // multiplies the current rate
  static constexpr double kRaiseDelaySeconds = 10.0;       // time after a cut before the rate rises
  static constexpr double kRaiseFractionPerSecond = 0.02;  // the fraction of `max_rps` that is added
  double max_rps_;
  double min_rps_;
  double current_rps_;
  double raised_at_;
  double cut_at_ = -1e9;
};

}  // namespace mothslip
