// The lease of this process in the state service. It is opened, renewed, and opened again after it expires.
//
// This node computes the validity of the lease by its own clock, with an allowance for drift against the
// clock of the service. All times are of the steady clock, in seconds.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "coordination/ownership/incarnation_check.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

class NodeLease {
 public:
  static constexpr double kLeaseSeconds = 4.0;
  struct Listener {
    std::function<void()> opened;
    // Called when the lease has expired and the keys attached to it are lost. The next lease is opened after
    // this function has returned.
    std::function<void(const char* why)> expired;
  };
  // `monitor` is null if this node does not monitor for lost state. The references and the monitor
  // must outlive the lease.
  NodeLease(Env& env, StateClient& state, const Settings& settings, IncarnationCheck& incarnation_check,
            StateMonitor* monitor, Listener listener);

  // Requests a lease, retrying until one is granted, and renews it from then on.
  void open();
  // Returns the id that the state service assigned; 0 if there is no lease.
  [[nodiscard]] std::uint64_t id() const { return id_; }
  [[nodiscard]] bool is_open() const { return id_ != 0; }
  // Before this time no other process can own a key that is attached to this lease.
  [[nodiscard]] double valid_until() const { return valid_until_; }
  [[nodiscard]] bool is_valid() const { return env_.now() < valid_until_; }
  // Returns the earliest time at which the lease may have ended in the state service.
  [[nodiscard]] double earliest_expiry_at() const { return earliest_expiry_at_; }
  // Records that no other node had replaced this one at `confirmed_at`.
  void confirm_not_replaced(double confirmed_at);
  // Returns the time from which workers must not be given new leases. Another node may have replaced this one
  // unnoticed and have confirmed cancellations since. Their tasks must have ended within cancel_s after that,
  // so a worker's lease must end by then. `release_sent_at` is the time at which this node sent the deletion
  // of the shard's owner key, if that is in progress.
  [[nodiscard]] double worker_renewal_deadline(std::optional<double> release_sent_at) const;

 private:
  void renew();
  void send_renewal(double sent_at);
  void on_renewed(double sent_at);
  void on_missing();
  void expire(const char* why);

  Env& env_;
  StateClient& state_;
  const Settings& settings_;
  IncarnationCheck& incarnation_check_;
  StateMonitor* monitor_;
  Listener listener_;
  std::uint64_t id_ = 0;
  double valid_until_ = 0;
  double earliest_expiry_at_ = 0;
  double not_replaced_at_ = 0;
};

}  // namespace mothslip
