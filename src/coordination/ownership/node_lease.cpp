#include "coordination/ownership/node_lease.hpp"

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kRenewEverySeconds = 1.0;
constexpr double kRenewTimeoutSeconds = kRenewEverySeconds * 1.5;
constexpr double kShortestPauseSeconds = 0.05;  // between two renewals
constexpr double kRetrySeconds = 0.3;
constexpr double kDrift = 0.001;  // of the clocks, a second; twice what the protocol allows
constexpr double kMarginSeconds = 0.05;
// Of a worker's lease against cancel_s: messages and steps of its clock.
constexpr double kWorkerMarginSeconds = 1.0;
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
  const double asked = env_.now();
  state_.lease_create(kLeaseSeconds, [this, asked](const StateReply& reply) {
    const std::uint64_t id = reply.ok() ? reply.lease_id() : 0;
    if (id == 0) {
      env_.after(kRetrySeconds, [this] { open(); });
      return;
    }
    id_ = id;
    note_renewed(asked);
    env_.after(kRenewEverySeconds, [this] { renew(); });
    listener_.opened();
  });
}

// Where lost state is watched for, a lease counts only together with a look at `meta`: a controller that has
// not noticed the loss stops deciding when its lease is over, however long the service goes on renewing it.
void NodeLease::renew() {
  const double asked = env_.now();
  incarnation_check_.confirm([this, asked] { send_renewal(asked); }, [this] { renew(); });
}

void NodeLease::send_renewal(double asked) {
  const std::uint64_t id = id_;
  state_.lease_renew(id, kRenewTimeoutSeconds, [this, asked, id](const StateReply& reply) {
    if (id != id_) return;
    if (reply.outcome == Outcome::kMissing) {
      on_missing();
      return;
    }
    if (reply.ok()) note_renewed(asked);
    const double wait = reply.ok() ? kRenewEverySeconds - (env_.now() - asked) : kRetrySeconds;
    env_.after(std::max(kShortestPauseSeconds, wait), [this] { renew(); });
  });
}

void NodeLease::note_renewed(double asked) {
  end_ = std::max(end_, asked + kLeaseSeconds * (1 - kDrift));
  valid_until_ = end_ - kMarginSeconds;
}

void NodeLease::note_unreplaced(double moment) { unreplaced_at_ = std::max(unreplaced_at_, moment); }

double NodeLease::renew_deadline(std::optional<double> release_sent) const {
  double unreplaced = std::max(end_, unreplaced_at_);
  if (release_sent) unreplaced = std::min(unreplaced, *release_sent);
  const double spare =
      settings_.cancel_s * (1 - kDrift) - settings_.lease_s * (1 + kDrift) - kWorkerMarginSeconds;
  return unreplaced + spare;
}

// The service does not know the lease any more. If that is before its time, the service contradicts itself.
// Otherwise it may just have expired; but if state was lost as well, what this node knows must not be dropped
// before that is noticed.
void NodeLease::on_missing() {
  if (monitor_ == nullptr) return expire("lease ended");
  if (env_.now() < end_) return monitor_->on_contradiction("a lease ended before its time");
  state_.get(RequestPriority::kLease, keys::kRevisionProbe, [this](const StateReply& reply) {
    if (reply.outcome != Outcome::kMissing) {
      env_.after(kRetrySeconds, [this] { on_missing(); });
    } else if (!monitor_->lost()) {
      expire("lease ended");
    }
  });
}

void NodeLease::expire(const char* why) {
  id_ = 0;
  valid_until_ = 0;
  end_ = 0;
  unreplaced_at_ = 0;
  listener_.expired(why);
  open();
}

}  // namespace mothslip
