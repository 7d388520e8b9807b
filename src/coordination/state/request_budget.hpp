// Limits this node's requests to its share of the state service's rate limits on calls and writes (changes of
// a key).
//
// Two token buckets, one for calls and one for writes, are filled at this node's share of adaptive rates.
// These rates are cut when the service refuses calls and rise again slowly (transport/adaptive_rate.hpp). All
// times are of the steady clock, in seconds; rates are per second.
#pragma once

#include "protocol/settings.hpp"
#include "transport/adaptive_rate.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip {

// Priority classes of requests, highest first. kLease includes ownership and loading; kOther covers all
// other requests.
enum class RequestPriority { kLease = 0, kCancel, kAccept, kLaunch, kCompletion, kOther, kCount };

class RequestBudget {
 public:
  RequestBudget(const Settings& settings, double now);

  // Sets the fraction of the service's limits that this node may use, 0..1.
  void set_share(double share, double now);
  // Halves the maximum transaction size, after the service has refused a transaction as too large.
  void shrink_transactions(double now);
  // Records that the service refused a call (429). `write` is true if the call makes changes.
  void on_refusal(bool write, double now);
  // Raises the rates again after refusals. Has an effect at most once per second.
  void raise_rates(double now);

  // Takes the tokens for one call with this number of writes. Returns false, and takes nothing, if there are
  // not enough tokens. Requests of class kLease (leases, ownership and loading) always succeed.
  [[nodiscard]] bool take(RequestPriority priority, int writes, double now);
  // Returns the time until `take` would return true.
  [[nodiscard]] double wait_s(RequestPriority priority, int writes, double now);
  // Returns true if this number of calls, or this number of writes, has to wait longer than `max_wait_s`.
  [[nodiscard]] bool wait_exceeds(double calls, double writes, double max_wait_s, double now);

  // Returns the maximum number of writes that one transaction should contain.
  [[nodiscard]] int max_writes_per_txn() const { return max_writes_per_txn_; }
  // Returns the current estimate of the service's write limit for all nodes together.
  [[nodiscard]] double write_limit_rps() const { return write_rate_.current_rps(); }
  // Returns how full the write token bucket is, as a fraction of its burst, 0..1.
  [[nodiscard]] double write_token_fraction(double now) { return writes_.fill_fraction(now); }

 private:
  void apply_share(double now);

  AdaptiveRate call_rate_;
  AdaptiveRate write_rate_;
  double share_;
  double next_raise_at_;
  int max_txn_ops_;  // largest number of writes that the service is known to accept in a transaction
  int max_writes_per_txn_;
  TokenBucket calls_;
  TokenBucket writes_;
};

}  // namespace mothslip
