// The state service behind token buckets: calls wait in one queue a priority class, the most important
// first, and are refused at once when their queue is full.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/state/incarnation.hpp"
#include "coordination/state/state_messages.hpp"
#include "coordination/state/state_monitor.hpp"
#include "protocol/messages.hpp"
#include "transport/adaptive_rate.hpp"
#include "transport/env.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip {

enum class RequestPriority { kLease = 0, kCancel, kAccept, kLaunch, kDone, kRest, kCount };

using StateHandler = std::function<void(StateReply)>;

class StateClient {
 public:
  // `monitor` may be null; it must outlive the client.
  StateClient(Env& env, const Settings& settings, Incarnation incarnation = {},
              StateMonitor* monitor = nullptr);
  ~StateClient();
  StateClient(const StateClient&) = delete;
  StateClient& operator=(const StateClient&) = delete;

  // The part of the service's limits that this node may use, 0..1.
  void set_share(double share);

  void commit(RequestPriority priority, const Transaction& txn, StateHandler handler);
  void commit_body(RequestPriority priority, std::string body, int writes, StateHandler handler);
  void get(RequestPriority priority, const std::string& key, StateHandler handler);
  // All items under a prefix, page by page; the epoch is the first page's.
  using ListHandler = std::function<void(Outcome, std::vector<StateItem>, std::uint64_t revision)>;
  void list(RequestPriority priority, const std::string& prefix, ListHandler handler);
  // Likewise, each page as it comes: for what is too much to be held at once.
  using PageHandler = std::function<void(std::vector<StateItem>)>;
  using ScanEnd = std::function<void(Outcome, std::uint64_t revision)>;
  void scan(RequestPriority priority, const std::string& prefix, PageHandler page, ScanEnd end);
  void watch(const std::string& prefix, std::uint64_t from, double wait_s, StateHandler handler);
  void lease_create(double ttl_s, StateHandler handler);
  void lease_renew(std::uint64_t lease_id, double timeout_s, StateHandler handler);

  // So long ago it last said anything but 503, to any call; never: since the start. What happened there
  // before that start is not known, so a new process has been without it only since then.
  [[nodiscard]] double silent_s() const { return env_.now() - last_word_; }
  [[nodiscard]] const KeySpace& key_space() const { return key_space_; }
  [[nodiscard]] int writes_per_txn() const { return writes_per_txn_; }
  // Changes a second that the service is taken to serve, for all nodes together: the present limit, or less
  // once it has turned calls down, but no less than the limit that it has announced.
  [[nodiscard]] double write_rate() const { return write_rate_.current(); }
  // The service took a transaction for too large.
  void shrink_transactions();
  // How much of the changes that may be made at once is left, 0..1.
  [[nodiscard]] double writes_left() { return writes_.level(env_.now()); }
  // True when a call in this priority class would have to wait longer than `patience_s`.
  [[nodiscard]] bool busy(RequestPriority priority, double patience_s);

  struct Counters {
    std::uint64_t calls = 0, writes = 0, refused_here = 0, too_many = 0, unanswered = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  struct Pending {
    HttpCall call;
    int writes = 0;
    double give_up = 0;
    StateHandler handler;
  };
  struct Scan;
  void apply_share();
  void too_many(bool write);
  void submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler);
  void send_queued();
  void send(RequestPriority priority, Pending pending);
  void scan_page(const std::shared_ptr<Scan>& work);

  void tell_monitor(std::uint64_t newest_when_asked, const Json& answer) const;

  Env& env_;
  KeySpace key_space_;
  StateMonitor* monitor_;
  std::string address_;
  AdaptiveRate call_rate_;
  AdaptiveRate write_rate_;
  double share_ = 1.0 / 3;  // of the service's limits
  double next_raise_;
  int txn_ops_;
  int writes_per_txn_;
  TokenBucket calls_;
  TokenBucket writes_;
  std::array<std::deque<Pending>, static_cast<std::size_t>(RequestPriority::kCount)> queues_;
  TimerId send_timer_ = 0;
  double last_word_;
  Counters counters_;
};

}  // namespace mothslip
