// Client of the state service that keeps within this node's share of the service's limits.
//
// Calls wait in one queue per priority class until the limits allow them (request_queue.hpp). Each handler is
// called exactly once, and never from within the function that it was passed to. Failures are reported as an
// Outcome; no function throws.
//
// From the answer on that shows a loss of records (StateMonitor::is_state_lost), answers are reported as
// kUnknown, because records and guards that the service has lost look as if they had been deleted, and
// records that it has restored look as if they were current. Only successful commits are still reported as
// such.
//
// With a monitor, every answer that contains a record shows the revision at which it was read, so that a read
// of restored records is itself the answer that shows the loss.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/state/incarnation.hpp"
#include "coordination/state/list_scan.hpp"
#include "coordination/state/request_budget.hpp"
#include "coordination/state/request_queue.hpp"
#include "coordination/state/state_messages.hpp"
#include "coordination/state/state_monitor.hpp"
#include "protocol/settings.hpp"
#include "transport/env.hpp"

namespace mothslip {

class StateClient {
 public:
  // `monitor` may be null; it must outlive the client.
  StateClient(Env& env, const Settings& settings, Incarnation incarnation = {},
              StateMonitor* monitor = nullptr);
  ~StateClient() = default;
  StateClient(const StateClient&) = delete;
  StateClient& operator=(const StateClient&) = delete;

  // Sets the fraction of the service's limits that this node may use, 0..1.
  void set_share(double share);

  void commit(RequestPriority priority, const Transaction& txn, StateHandler handler);
  // Commits a transaction that has already been serialized (Transaction::body) and makes `writes` changes.
  void commit_body(RequestPriority priority, std::string body, int writes, StateHandler handler);
  // Reads one record. The reply does not contain the lease to which the record is attached.
  void get(RequestPriority priority, const std::string& key, StateHandler handler);
  // Like `get`, but the reply contains the lease. With a monitor this takes a second call, which shows the
  // revision.
  void get_with_lease(RequestPriority priority, const std::string& key, StateHandler handler);
  // Reads the revision of the service; nothing if it is not known, or if the answer shows a loss of records.
  using RevisionHandler = std::function<void(std::optional<std::uint64_t> revision)>;
  void read_revision(RequestPriority priority, const RevisionHandler& handler);
  // Reads all items under a prefix, page by page. `revision` is that of the first page. The handler receives
  // no items unless the outcome is kOk.
  using ListHandler = std::function<void(Outcome, std::vector<StateItem>, std::uint64_t revision)>;
  void list(RequestPriority priority, const std::string& prefix, ListHandler handler);
  // Like `list`, but passes on each page as it arrives, for results that are too large to be held in memory.
  using PageHandler = ListScan::PageHandler;
  using ScanEndHandler = ListScan::ScanEndHandler;
  void scan(RequestPriority priority, const std::string& prefix, PageHandler page, ScanEndHandler end);
  // Reads the changes under the prefix after the revision `from`. If there are none, the service answers
  // after `wait_s`. The outcome is kGone if the service no longer keeps changes that old.
  void watch(const std::string& prefix, std::uint64_t from, double wait_s, StateHandler handler);
  // Requests a lease that the service ends unless it is renewed within `ttl_s`.
  void lease_create(double ttl_s, StateHandler handler);
  // Renews a lease. The outcome is kMissing if the lease has ended.
  void lease_renew(std::uint64_t lease_id, double timeout_s, StateHandler handler);

  // Returns the time since the service last answered any call with a status other than 503. Before the first
  // such answer the time is counted from the start of this process, which does not know of earlier outages.
  [[nodiscard]] double silent_s() const { return env_.now() - last_answer_at_; }
  // Returns the newest revision that any process is known to have seen; 0 if nobody monitors for lost state.
  [[nodiscard]] std::uint64_t newest_revision() const {
    return monitor_ == nullptr ? 0 : monitor_->newest_revision();
  }
  // Returns true once a loss of records has been detected. What a successful commit has compared may be out
  // of date then.
  [[nodiscard]] bool is_state_lost() const { return monitor_ != nullptr && monitor_->is_state_lost(); }
  [[nodiscard]] const KeySpace& key_space() const { return key_space_; }
  [[nodiscard]] int max_writes_per_txn() const { return budget_.max_writes_per_txn(); }
  // Returns the estimated write limit of the service, in writes per second for all nodes together. It is the
  // present limit, or less after refusals, but never below the announced next limit.
  [[nodiscard]] double write_limit_rps() const { return budget_.write_limit_rps(); }
  // Halves the maximum transaction size, after the service has refused a transaction as too large.
  void shrink_transactions();
  // Returns how full this node's write token bucket is, as a fraction of its burst, 0..1.
  [[nodiscard]] double write_token_fraction() { return budget_.write_token_fraction(env_.now()); }
  // Returns true if a call in this priority class would have to wait longer than `max_wait_s`.
  [[nodiscard]] bool is_busy(RequestPriority priority, double max_wait_s);

  // Counts since the start. `refused_locally` calls were never sent; `too_many_requests` calls were answered
  // with 429.
  struct Counters {
    std::uint64_t calls = 0, writes = 0, refused_locally = 0, too_many_requests = 0, unanswered = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  // Reads one record. The reply shows the revision of the service only if the record does not exist.
  void get_key(RequestPriority priority, const std::string& key, StateHandler handler);
  void submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler);
  void send(RequestPriority priority, QueuedRequest request);
  void refuse(StateHandler handler);
  [[nodiscard]] StateReply read_reply(const HttpReply& reply) const;
  // Whether the node may act on the reply although the service may have lost records.
  [[nodiscard]] bool is_credible(const QueuedRequest& request, const StateReply& reply) const;
  void notify_monitor(std::uint64_t newest_when_sent, const HttpCall& call, const StateReply& reply) const;

  Env& env_;
  KeySpace key_space_;
  StateMonitor* monitor_;
  std::string address_;
  RequestBudget budget_;
  RequestQueue queue_;
  double last_answer_at_;  // steady clock, seconds
  Counters counters_;
};

}  // namespace mothslip
