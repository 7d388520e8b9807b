// The calls of the state service, within this node's share of its limits.
//
// Calls wait in one queue a priority class until the limits allow them (request_queue.hpp). A handler is
// called exactly once, never from within the call that it was given to. Failures come as an Outcome; nothing
// throws.
#pragma once

#include <cstdint>
#include <functional>
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

  // The part of the service's limits that this node may use, 0..1.
  void set_share(double share);

  void commit(RequestPriority priority, const Transaction& txn, StateHandler handler);
  // Likewise for a transaction that is dumped already (Transaction::body) and makes so many changes.
  void commit_body(RequestPriority priority, std::string body, int writes, StateHandler handler);
  void get(RequestPriority priority, const std::string& key, StateHandler handler);
  // All items under a prefix, page by page; the revision is the first page's. No items unless kOk.
  using ListHandler = std::function<void(Outcome, std::vector<StateItem>, std::uint64_t revision)>;
  void list(RequestPriority priority, const std::string& prefix, ListHandler handler);
  // Likewise, each page as it comes: for what is too much to be held at once.
  using PageHandler = ListScan::PageHandler;
  using ScanEndHandler = ListScan::ScanEndHandler;
  void scan(RequestPriority priority, const std::string& prefix, PageHandler page, ScanEndHandler end);
  // Changes under the prefix after the revision `from`; without any, the service answers after `wait_s`.
  // kGone: the service does not remember changes as old as that.
  void watch(const std::string& prefix, std::uint64_t from, double wait_s, StateHandler handler);
  void lease_create(double ttl_s, StateHandler handler);
  // kMissing: the lease has ended.
  void lease_renew(std::uint64_t lease_id, double timeout_s, StateHandler handler);

  // Seconds since it last said anything but 503, to any call; never: since the start. What happened there
  // before that start is not known, so a new process has been without it only since then.
  [[nodiscard]] double silent_s() const { return env_.now() - last_answer_at_; }
  [[nodiscard]] const KeySpace& key_space() const { return key_space_; }
  [[nodiscard]] int max_writes_per_txn() const { return budget_.max_writes_per_txn(); }
  // Changes a second that the service is taken to serve, for all nodes together: the present limit, or less
  // once it has turned calls down, but no less than the limit that it has announced.
  [[nodiscard]] double write_limit_rps() const { return budget_.write_limit_rps(); }
  // The service took a transaction for too large.
  void shrink_transactions();
  // How much of the changes that may be made at once is left, 0..1.
  [[nodiscard]] double write_token_fraction() { return budget_.write_token_fraction(env_.now()); }
  // True when a call in this priority class would have to wait longer than `patience_s`.
  [[nodiscard]] bool is_busy(RequestPriority priority, double max_wait_s);

  // Since the start. refused_here: never sent; too_many: answered with 429.
  struct Counters {
    std::uint64_t calls = 0, writes = 0, refused_locally = 0, too_many_requests = 0, unanswered = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  void submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler);
  void send(RequestPriority priority, QueuedRequest request);
  void refuse(StateHandler handler);
  [[nodiscard]] StateReply read_reply(const HttpReply& reply) const;
  void notify_monitor(std::uint64_t newest_when_sent, const StateReply& reply) const;

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
