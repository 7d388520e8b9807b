// The lease of this process in the state service: opened, renewed, and opened anew after its expiry.
//
// How long it is good is reckoned by this node's own clock, which may drift against that of the service. All
// moments are of the steady clock, in seconds.
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
    // It has expired: what it held is lost. The next one is opened once this has returned.
    std::function<void(const char* why)> expired;
  };
  // `monitor`: null when nobody watches for lost state. All must outlive the lease.
  NodeLease(Env& env, StateClient& state, const Settings& settings, IncarnationCheck& incarnation_check,
            StateMonitor* monitor, Listener listener);

  // Asks for a lease until there is one, and renews it from then on.
  void open();
  // Of the state service; 0: there is no lease.
  [[nodiscard]] std::uint64_t id() const { return id_; }
  [[nodiscard]] bool is_open() const { return id_ != 0; }
  // Nobody else can own what this lease holds before this moment.
  [[nodiscard]] double valid_until() const { return valid_until_; }
  [[nodiscard]] bool is_valid() const { return env_.now() < valid_until_; }
  // When the lease may have ended in the state service at the earliest.
  [[nodiscard]] double earliest_expiry_at() const { return earliest_expiry_at_; }
  // Nobody had replaced this node at that moment.
  void confirm_not_replaced(double confirmed_at);
  // The moment from which on workers must not be given new leases. Somebody may have replaced this node
  // unnoticed and have confirmed cancellations since; the tasks must be gone within cancel_s of that, so a
  // worker's lease must end by then. `release_sent`: since when this node has been giving the shard up.
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
