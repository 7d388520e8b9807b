#include "coordination/state/request_budget.hpp"

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kInitialShareFraction = 1.0 / 3;
constexpr double kOvercommitFactor = 1.6;
constexpr double kRaiseIntervalSeconds = 1.0;
constexpr int kMinWritesPerTransaction = 4;
constexpr double kMinBurstCalls = 2.0;
constexpr double kMinBurstWrites = 3.0;

// Returns the number of tokens that a priority class must leave for the classes above it.
double call_reserve(RequestPriority priority) { return static_cast<double>(priority) * 0.5; }

// Users wait for acceptances and cancellations, so these have the smaller reserve. Launches and completions
// are batched, many per write.
double write_reserve(RequestPriority priority) {
  return priority > RequestPriority::kAccept ? 1.5 : call_reserve(priority) * 0.5;
}
}  // namespace

RequestBudget::RequestBudget(const Settings& settings, double now)
    : call_rate_(settings.state_rps, settings.next_state_rps, now),
      write_rate_(settings.state_write_rps, settings.next_write_rps, now),
      share_(kInitialShareFraction),
      next_raise_at_(now + kRaiseIntervalSeconds),
      max_txn_ops_(settings.txn_ops),
      max_writes_per_txn_(settings.txn_ops),
      calls_(settings.state_rps / 3, settings.state_rps / 3, now),
      writes_(settings.state_write_rps / 3, settings.state_write_rps / 3, now) {}

void RequestBudget::set_share(double share, double now) {
  share_ = share;
  apply_share(now);
}

void RequestBudget::apply_share(double now) {
  const double call_rps = call_rate_.current_rps() * share_;
  calls_.set_rate(call_rps, std::max(kMinBurstCalls, call_rps), now);
  // Nodes are rarely busy at the same time, so each may write more than its share and reduces its rate when
  // the service answers 429. Lease renewals are unaffected because they count only as calls.
  const double write_rps = write_rate_.current_rps() * share_;
  const double overcommitted_rps = kOvercommitFactor * write_rps;
  writes_.set_rate(overcommitted_rps, std::max(kMinBurstWrites, overcommitted_rps), now);
  max_writes_per_txn_ = std::clamp(static_cast<int>(write_rps), kMinWritesPerTransaction, max_txn_ops_);
}

void RequestBudget::shrink_transactions(double now) {
  max_txn_ops_ = std::max(kMinWritesPerTransaction, max_txn_ops_ / 2);
  apply_share(now);
}

// The service lowers its limits without notice, and a refusal is the only sign of that. The refusal discards
// the tokens saved for a burst and cuts the rate, though not below the limit that the service has announced.
void RequestBudget::on_refusal(bool write, double now) {
  (write ? writes_ : calls_).drain(now);
  if ((write ? write_rate_ : call_rate_).on_refusal(now)) apply_share(now);
}

void RequestBudget::raise_rates(double now) {
  if (now < next_raise_at_) return;
  next_raise_at_ = now + kRaiseIntervalSeconds;
  const bool calls_raised = call_rate_.raise(now);
  const bool writes_raised = write_rate_.raise(now);
  if (calls_raised || writes_raised) apply_share(now);
}

// Requests for leases, ownership and loading do not wait for tokens: they are few, and all other requests
// depend on them. The tokens they take may leave a negative balance that delays the other priority classes.
bool RequestBudget::take(RequestPriority priority, int writes, double now) {
  const bool is_exempt = priority == RequestPriority::kLease;
  const bool has_tokens =
      is_exempt || (calls_.can_take(1, call_reserve(priority), now) &&
                    (writes == 0 || writes_.can_take(writes, write_reserve(priority), now)));
  if (!has_tokens) return false;
  calls_.take(1, now);
  if (writes > 0) writes_.take(writes, now);
  return true;
}

double RequestBudget::wait_s(RequestPriority priority, int writes, double now) {
  const double call_wait_s = calls_.wait_s(1, call_reserve(priority), now);
  const double write_wait_s = writes == 0 ? 0.0 : writes_.wait_s(writes, write_reserve(priority), now);
  return std::max(call_wait_s, write_wait_s);
}

bool RequestBudget::wait_exceeds(double calls, double writes, double max_wait_s, double now) {
  return calls_.wait_s(calls, 0, now) > max_wait_s || writes_.wait_s(writes, 0, now) > max_wait_s;
}

}  // namespace mothslip
