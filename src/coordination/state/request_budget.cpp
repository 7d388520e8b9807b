#include "coordination/state/request_budget.hpp"

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kInitialShare = 1.0 / 3;
constexpr double kOvercommit = 1.6;
constexpr double kRaiseEverySeconds = 1.0;
constexpr int kLeastTransaction = 4;  // changes
constexpr double kLeastCallBurst = 2.0;
constexpr double kLeastWriteBurst = 3.0;

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
      share_(kInitialShare),
      next_raise_(now + kRaiseEverySeconds),
      txn_ops_(settings.txn_ops),
      writes_per_txn_(settings.txn_ops),
      calls_(settings.state_rps / 3, settings.state_rps / 3, now),
      writes_(settings.state_write_rps / 3, settings.state_write_rps / 3, now) {}

void RequestBudget::set_share(double share, double now) {
  share_ = share;
  apply_share(now);
}

void RequestBudget::apply_share(double now) {
  const double calls = call_rate_.current_rps() * share_;
  calls_.set_rate(calls, std::max(kLeastCallBurst, calls), now);
  // Nodes are seldom busy at once: each may change more than its share, and gives way when the service says
  // 429. Leases are not touched by that, they only count as calls.
  const double writes = write_rate_.current_rps() * share_;
  const double most = kOvercommit * writes;
  writes_.set_rate(most, std::max(kLeastWriteBurst, most), now);
  writes_per_txn_ = std::clamp(static_cast<int>(writes), kLeastTransaction, txn_ops_);
}

void RequestBudget::shrink_transactions(double now) {
  txn_ops_ = std::max(kLeastTransaction, txn_ops_ / 2);
  apply_share(now);
}

// The service's limits fall without notice: being turned down is the only sign of it. What was saved up for a
// burst is gone, and the rate is cut, though not below what the service has announced.
void RequestBudget::turned_down(bool write, double now) {
  (write ? writes_ : calls_).drain(now);
  if ((write ? write_rate_ : call_rate_).on_refusal(now)) apply_share(now);
}

void RequestBudget::raise_rates(double now) {
  if (now < next_raise_) return;
  next_raise_ = now + kRaiseEverySeconds;
  const bool calls_raised = call_rate_.raise(now);
  const bool writes_raised = write_rate_.raise(now);
  if (calls_raised || writes_raised) apply_share(now);
}

// Leases, ownership and loading do not wait for tokens: they are few, and all else waits for them. What they
// take is a debt that the other priority classes pay.
bool RequestBudget::take(RequestPriority priority, int writes, double now) {
  const bool urgent = priority == RequestPriority::kLease;
  const bool affordable = urgent || (calls_.can_take(1, call_reserve(priority), now) &&
                                     (writes == 0 || writes_.can_take(writes, write_reserve(priority), now)));
  if (!affordable) return false;
  calls_.take(1, now);
  if (writes > 0) writes_.take(writes, now);
  return true;
}

double RequestBudget::wait_s(RequestPriority priority, int writes, double now) {
  const double for_call = calls_.wait_s(1, call_reserve(priority), now);
  const double for_writes = writes == 0 ? 0.0 : writes_.wait_s(writes, write_reserve(priority), now);
  return std::max(for_call, for_writes);
}

bool RequestBudget::takes_longer(double calls, double writes, double patience_s, double now) {
  return calls_.wait_s(calls, 0, now) > patience_s || writes_.wait_s(writes, 0, now) > patience_s;
}

}  // namespace mothslip
