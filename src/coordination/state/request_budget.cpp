#include "coordination/state/request_budget.hpp"

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kInitialShareFraction = 1.0 / 3;
constexpr double kOvercommitFactor = 1.6;
constexpr double kRaiseIntervalSeconds = 1.0;
constexpr int kMinWritesPerTransaction = 4;  // changes
constexpr double kMinCallBurst = 2.0;
constexpr double kMinWriteBurst = 3.0;

// Tokens that a priority class leaves for the classes above it.
double call_reserve(RequestPriority priority) { return static_cast<double>(priority) * 0.5; }

// (Users wait for what is accepted and cancelled; launches and completions go many to a write.)
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
  const double calls = call_rate_.current_rps() * share_;
  calls_.set_rate(calls, std::max(kMinCallBurst, calls), now);
  // Nodes are seldom busy at once: each may change more than its share, and gives way when the service says
  // 429. Leases are not touched by that, they only count as calls.
  const double writes = write_rate_.current_rps() * share_;
  const double most = kOvercommitFactor * writes;
  writes_.set_rate(most, std::max(kMinWriteBurst, most), now);
  max_writes_per_txn_ = std::clamp(static_cast<int>(writes), kMinWritesPerTransaction, max_txn_ops_);
}

void RequestBudget::shrink_transactions(double now) {
  max_txn_ops_ = std::max(kMinWritesPerTransaction, max_txn_ops_ / 2);
  apply_share(now);
}

// The service's limits fall without notice: being turned down is the only sign of it. What was saved up for a
// burst is gone, and the rate is cut, though not below what the service has announced.
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

// Leases, ownership and loading do not wait for tokens: they are few, and all else waits for them. What they
// take is a debt that the other priority classes pay.
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
