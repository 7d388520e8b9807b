#include "coordination/node/report_relay.hpp"

namespace mothslip {

namespace {
// All in seconds.

// Relaying costs two nodes work: after this long the worker is sent to the owner again, to find out whether
// it can be reached by now. A worker that fails there is back within a time-out and a second.
constexpr double kRelayPeriod = 25.0;
// Redirected workers go to the owner within half a second; one that is back here later failed there.
constexpr double kEarliestReturn = 0.7;
constexpr double kLatestReturn = 15.0;
// A worker knows a new owner's token before it has reached that owner, by a direct command. After this long
// a worker that knows the token has been served by the owner.
constexpr double kTokenSettles = 10.0;
// Owners send a heartbeat every 2 s. A worker is here 5 s after it lost the owner: if this node lost the
// owner at the same time, it knows by then.
constexpr double kHeartbeatTimeout = 4.5;
// A worker that stays with this node reports at least this often.
constexpr double kLongestBetweenVisits = 8.0;
constexpr double kForgetAfter = 120.0;    // without a visit, a worker's machine
constexpr double kCleaningPeriod = 30.0;  // between two looks for machines to forget
}  // namespace

ReportRelay::Route ReportRelay::route(const Visit& visit, double now) {
  forget_old(now);
  const bool owner_settled = settled(visit.owner_token, now);
  RelayedMachine& machine = machines_[visit.machine_name];
  if (machine.owner_token != visit.owner_token) machine = RelayedMachine{};
  const bool stayed = now - machine.last_visit < kLongestBetweenVisits;
  machine.owner_token = visit.owner_token;
  machine.last_visit = now;

  // Relayed until now: it is redirected once, to see whether it reaches the owner again.
  const bool relayed_until_now = stayed && machine.redirected_at < machine.relay_until;
  if (now >= machine.relay_until && !relayed_until_now) {
    const double since_redirect = now - machine.redirected_at;
    const bool came_back = since_redirect >= kEarliestReturn && since_redirect <= kLatestReturn;
    const bool was_served = owner_settled && visit.token == visit.owner_token;
    if (came_back || was_served) machine.relay_until = now + kRelayPeriod;
  }
  if (now >= machine.relay_until) {
    machine.redirected_at = now;
    return Route::kRedirect;
  }
  return reachable(visit.owner, now) ? Route::kRelay : Route::kNextNode;
}

void ReportRelay::heard_from(const std::string& owner, const std::vector<std::uint64_t>& tokens, double now) {
  heard_[owner] = now;
  for (const std::uint64_t token : tokens) token_seen_.try_emplace(token, now);
}

bool ReportRelay::settled(std::uint64_t token, double now) const {
  const auto it = token_seen_.find(token);
  return it != token_seen_.end() && now - it->second >= kTokenSettles;
}

bool ReportRelay::reachable(const std::string& owner, double now) const {
  const auto it = heard_.find(owner);
  return it != heard_.end() && now - it->second < kHeartbeatTimeout;
}

void ReportRelay::forget_old(double now) {
  if (now < next_cleaning_) return;
  next_cleaning_ = now + kCleaningPeriod;
  std::erase_if(machines_, [now](const auto& item) { return now - item.second.last_visit > kForgetAfter; });
}

}  // namespace mothslip
