#include "coordination/node/report_relay.hpp"

namespace mothslip {

namespace {

// Relaying costs work on two nodes. After this time, the worker is redirected to the owner again, which shows
// whether it can reach the owner by now. A worker that cannot reach it returns after a time-out plus one
// second.
constexpr double kRelayPeriodSeconds = 25.0;
// Redirected workers report to the owner within half a second. A worker that returns to this node later than
// that has failed to reach the owner.
constexpr double kMinReturnSeconds = 0.7;
constexpr double kMaxReturnSeconds = 15.0;
// A direct command can give a worker the token of a new owner before the worker has reached that owner. After
// this time, a worker that has the token has been served by the owner.
constexpr double kTokenSettleSeconds = 10.0;
// Owners send a heartbeat every 2 s. A worker reports to this node 5 s after it lost contact with the owner.
// If this node lost contact at the same time, the time-out has passed by then.
constexpr double kHeartbeatTimeoutSeconds = 4.5;
// A worker that reports to this node regularly does so at least this often.
constexpr double kMaxReportIntervalSeconds = 8.0;
constexpr double kMachineRetentionSeconds = 120.0;  // for a machine without reports
constexpr double kEvictionIntervalSeconds = 30.0;
}  // namespace

ReportRelay::Route ReportRelay::route(const ReportInfo& report, double now) {
  evict_stale_machines(now);
  const bool owner_has_settled = has_settled(report.owner_token, now);
  RelayedMachine& machine = machines_[report.machine_name];
  if (machine.owner_token != report.owner_token) machine = RelayedMachine{};
  const bool reported_recently = now - machine.last_report_at < kMaxReportIntervalSeconds;
  machine.owner_token = report.owner_token;
  machine.last_report_at = now;

  // A worker whose reports were relayed until now is redirected once, to see whether it reaches the owner
  // again.
  const bool relayed_until_now = reported_recently && machine.last_redirect_at < machine.relay_until;
  if (now >= machine.relay_until && !relayed_until_now) {
    const double since_redirect_s = now - machine.last_redirect_at;
    const bool returned_after_redirect =
        since_redirect_s >= kMinReturnSeconds && since_redirect_s <= kMaxReturnSeconds;
    const bool was_served_by_owner = owner_has_settled && report.token == report.owner_token;
    if (returned_after_redirect || was_served_by_owner) machine.relay_until = now + kRelayPeriodSeconds;
  }
  if (now >= machine.relay_until) {
    machine.last_redirect_at = now;
    return Route::kRedirect;
  }
  return is_reachable(report.owner, now) ? Route::kRelay : Route::kNextNode;
}

void ReportRelay::on_owner_heartbeat(const std::string& owner, const std::vector<std::uint64_t>& tokens,
                                     double now) {
  last_heartbeat_at_[owner] = now;
  for (const std::uint64_t token : tokens) token_first_seen_at_.try_emplace(token, now);
}

bool ReportRelay::has_settled(std::uint64_t token, double now) const {
  const auto it = token_first_seen_at_.find(token);
  return it != token_first_seen_at_.end() && now - it->second >= kTokenSettleSeconds;
}

bool ReportRelay::is_reachable(const std::string& owner, double now) const {
  const auto it = last_heartbeat_at_.find(owner);
  return it != last_heartbeat_at_.end() && now - it->second < kHeartbeatTimeoutSeconds;
}

void ReportRelay::evict_stale_machines(double now) {
  if (now < next_eviction_at_) return;
  next_eviction_at_ = now + kEvictionIntervalSeconds;
  std::erase_if(machines_, [now](const auto& item) {
    return now - item.second.last_report_at > kMachineRetentionSeconds;
  });
}

}  // namespace mothslip
