// A token bucket that gains `rate` tokens per second and holds at most `burst`. Times are in seconds, all
// from the same clock.
#pragma once

#include <algorithm>

namespace mothslip {

class TokenBucket {
 public:
  TokenBucket(double rate, double burst, double now)
      : rate_(rate), burst_(burst), tokens_(burst), refilled_at_(now) {}

  void set_rate(double rate, double burst, double now) {
    refill(now);
    rate_ = rate;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }
  // Returns true if the bucket holds `cost` tokens, and `reserve` more that must remain. If the sum is above
  // the burst, a full bucket is enough: the request would otherwise wait forever. Taking it leaves a negative
  // balance.
  [[nodiscard]] bool can_take(double cost, double reserve, double now) {
    refill(now);
    return tokens_ >= std::min(cost + reserve, burst_);
  }
  // Takes `cost` tokens even if the bucket holds fewer, which leaves a negative balance.
  void take(double cost, double now) {
    refill(now);
    tokens_ -= cost;
  }
  // Returns the time until `can_take` returns true.
  [[nodiscard]] double wait_s(double cost, double reserve, double now) {
    refill(now);
    const double missing = std::min(cost + reserve, burst_) - tokens_;
    return missing <= 0 ? 0 : missing / std::max(rate_, 1e-9);
  }
  // Returns the balance as a fraction of the burst, 0..1.
  [[nodiscard]] double fill_fraction(double now) {
    refill(now);
    return std::max(0.0, tokens_) / std::max(burst_, 1e-9);
  }
  // Empties the bucket; a negative balance stays. The caller uses this when the service has answered 429,
  // which means that the service has counted more calls than this bucket has.
  void drain(double now) {
    refill(now);
    tokens_ = std::min(tokens_, 0.0);
  }

 private:
  void refill(double now) {
    if (now > refilled_at_) tokens_ = std::min(burst_, tokens_ + rate_ * (now - refilled_at_));
    refilled_at_ = std::max(refilled_at_, now);
  }
  double rate_;
  double burst_;
  double tokens_;
  double refilled_at_;
};

}  // namespace mothslip
