// What this node may ask of the state service: its share of the service's limits on calls and changes.
//
// Two token buckets, one for calls and one for changes, are filled at this node's share of rates that are cut
// when the service turns calls down and rise again slowly (transport/adaptive_rate.hpp). All times are of the
// steady clock, in seconds; rates are per second.
#pragma once

#include "protocol/settings.hpp"
#include "transport/adaptive_rate.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip {

// Priority classes of requests, the most important first.
enum class RequestPriority { kLease = 0, kCancel, kAccept, kLaunch, kDone, kRest, kCount };

class RequestBudget {
 public:
  RequestBudget(const Settings& settings, double now);

  // The part of the service's limits that this node may use, 0..1.
  void set_share(double share, double now);
  // The service took a transaction for too large.
  void shrink_transactions(double now);
  // The service turned a call down (429); `write`: one that changes something.
  void on_refusal(bool write, double now);
  // Lets the rates rise again after refusals; at most once a second, however often it is called.
  void raise_rates(double now);

  // Takes the tokens of one call with so many changes; false: they are not there, nothing was taken. Leases,
  // ownership and loading (kLease) always get theirs.
  [[nodiscard]] bool take(RequestPriority priority, int writes, double now);
  // Seconds until `take` turns true.
  [[nodiscard]] double wait_s(RequestPriority priority, int writes, double now);
  // True when that many calls, or that many changes, would take longer than `patience_s`.
  [[nodiscard]] bool wait_exceeds(double calls, double writes, double max_wait_s, double now);

  // Changes that one transaction should have at most.
  [[nodiscard]] int max_writes_per_txn() const { return max_writes_per_txn_; }
  // Changes a second that the service is taken to serve, for all nodes together.
  [[nodiscard]] double write_limit_rps() const { return write_rate_.current_rps(); }
  // How much of the changes that may be made at once is left, 0..1.
  [[nodiscard]] double write_token_fraction(double now) { return writes_.fill_fraction(now); }

 private:
  void apply_share(double now);

  AdaptiveRate call_rate_;
  AdaptiveRate write_rate_;
  double share_;
  double next_raise_at_;
  int max_txn_ops_;  // changes that a transaction may have, as far as is known
  int max_writes_per_txn_;
  TokenBucket calls_;
  TokenBucket writes_;
};

}  // namespace mothslip
