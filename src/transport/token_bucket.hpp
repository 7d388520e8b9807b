// A token bucket: `rate` tokens a second, at most `burst` saved up. Times are in seconds, by any one clock.
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
  // Whether `cost` tokens are there, and `reserve` more that must be left.
  // A cost above the burst passes when the bucket is full and leaves a debt: it must not starve forever.
  [[nodiscard]] bool can_take(double cost, double reserve, double now) {
    refill(now);
    return tokens_ >= std::min(cost + reserve, burst_);
  }
  // Takes them whether or not they are there.
  void take(double cost, double now) {
    refill(now);
    tokens_ -= cost;
  }
  // Seconds until `can_take` turns true.
  [[nodiscard]] double wait_s(double cost, double reserve, double now) {
    refill(now);
    const double missing = std::min(cost + reserve, burst_) - tokens_;
    return missing <= 0 ? 0 : missing / std::max(rate_, 1e-9);
  }
  // How full the bucket is, 0..1.
  [[nodiscard]] double fill_fraction(double now) {
    refill(now);
    return std::max(0.0, tokens_) / std::max(burst_, 1e-9);
  }
  // The service called said 429: it has counted more calls than this bucket, which starts from nothing.
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
