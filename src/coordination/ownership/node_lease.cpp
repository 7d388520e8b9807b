#include "coordination/ownership/node_lease.hpp"

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kRenewIntervalSeconds = 1.0;
constexpr double kRenewTimeoutSeconds = kRenewIntervalSeconds * 1.5;
constexpr double kMinRenewPauseSeconds = 0.05;  // between an answer and the next renewal
constexpr double kRetryDelaySeconds = 0.3;
// Drift of the clocks of the service processes; ShardContext allows more for the clocks of workers. It is
// twice the drift that the protocol allows.
constexpr double kMaxClockDriftFraction = 0.001;
constexpr double kExpiryMarginSeconds = 0.05;
// Subtracted from cancel_s when worker leases are bounded, for message delays and steps of the worker's
// clock.
constexpr double kWorkerLeaseMarginSeconds = 1.0;
}  // namespace

NodeLease::NodeLease(Env& env, StateClient& state, const Settings& settings,
                     IncarnationCheck& incarnation_check, StateMonitor* monitor, Listener listener)
    : env_(env),
      state_(state),
      settings_(settings),
      incarnation_check_(incarnation_check),
      monitor_(monitor),
      listener_(std::move(listener)) {}

void NodeLease::open() {
  const double sent_at = env_.now();
  state_.lease_create(kLeaseSeconds, [this, sent_at](const StateReply& reply) {
    const std::uint64_t id = reply.ok() ? reply.lease_id() : 0;
    if (id == 0) {
      env_.after(kRetryDelaySeconds, [this] { open(); });
      return;
    }
    id_ = id;
    on_renewed(sent_at);
    env_.after(kRenewIntervalSeconds, [this] { renew(); });
    listener_.opened();
  });
}

// If this node monitors for lost state, it renews its lease only after it has confirmed `meta`. A controller
// that has not noticed a loss thus stops making decisions when its lease expires, even if the service would
// continue to renew the lease.
void NodeLease::renew() {
  const double sent_at = env_.now();
  incarnation_check_.confirm([this, sent_at] { send_renewal(sent_at); }, [this] { renew(); });
}

void NodeLease::send_renewal(double sent_at) {
  const std::uint64_t id = id_;
  state_.lease_renew(id, kRenewTimeoutSeconds, [this, sent_at, id](const StateReply& reply) {
    if (id != id_) return;
    if (reply.outcome == Outcome::kMissing) {
      on_missing();
      return;
    }
    if (reply.ok()) on_renewed(sent_at);
    const double wait_s = reply.ok() ? kRenewIntervalSeconds - (env_.now() - sent_at) : kRetryDelaySeconds;
    env_.after(std::max(kMinRenewPauseSeconds, wait_s), [this] { renew(); });
  });
}

void NodeLease::on_renewed(double sent_at) {
  earliest_expiry_at_ = std::max(earliest_expiry_at_, sent_at + kLeaseSeconds * (1 - kMaxClockDriftFraction));
  valid_until_ = earliest_expiry_at_ - kExpiryMarginSeconds;
}

void NodeLease::confirm_not_replaced(double confirmed_at) {
  not_replaced_at_ = std::max(not_replaced_at_, confirmed_at);
}

double NodeLease::worker_renewal_deadline(std::optional<double> release_sent_at) const {
  double not_replaced_until = std::max(earliest_expiry_at_, not_replaced_at_);
  if (release_sent_at) not_replaced_until = std::min(not_replaced_until, *release_sent_at);
  const double cancellation_margin_s = settings_.cancel_s * (1 - kMaxClockDriftFraction) -
                                       settings_.lease_s * (1 + kMaxClockDriftFraction) -
                                       kWorkerLeaseMarginSeconds;
  return not_replaced_until + cancellation_margin_s;
}

// Handles the answer that the service does not have the lease. Before the earliest expiry time, that
// contradicts the service's earlier answers. Later the lease may simply have expired. If records were lost as
// well, the loss must be detected before this node drops its state, so the revision is read first.
void NodeLease::on_missing() {
  if (monitor_ == nullptr) return expire("the lease of this node expired");
  // This text is shown to operators as the reason in the recovery status and stays as it is.
  if (env_.now() < earliest_expiry_at_) return monitor_->on_contradiction("a lease ended before its time");
  state_.read_revision(RequestPriority::kLease, [this](std::optional<std::uint64_t> revision) {
    if (!revision) {
      env_.after(kRetryDelaySeconds, [this] { on_missing(); });
    } else if (!monitor_->is_state_lost()) {
      expire("the lease of this node expired");
    }
  });
}

void NodeLease::expire(const char* why) {
  id_ = 0;
  valid_until_ = 0;
  earliest_expiry_at_ = 0;
  not_replaced_at_ = 0;
  listener_.expired(why);
  open();
}

}  // namespace mothslip
