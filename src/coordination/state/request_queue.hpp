// Holds requests to the state service until the request budget has tokens for them, in one queue per priority
// class. Higher classes are served first.
//
// A request is refused immediately if the queue of its class is full, and later if it has waited too long.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <optional>

#include "coordination/state/request_budget.hpp"
#include "coordination/state/state_messages.hpp"
#include "transport/env.hpp"

namespace mothslip {

using StateHandler = std::function<void(StateReply)>;

struct QueuedRequest {
  HttpCall call;
  int writes = 0;       // number of changes that the request makes
  double deadline = 0;  // steady clock, seconds; the request is refused if it has not been sent by then
  StateHandler handler;
};

class RequestQueue {
 public:
  struct Listener {
    // Called when the request has its tokens; the listener sends it.
    std::function<void(RequestPriority, QueuedRequest)> ready;
    // Called when the request has been dropped without being sent.
    std::function<void(StateHandler)> refused;
  };
  // `budget` must outlive the queue.
  RequestQueue(Env& env, RequestBudget& budget, Listener listener);
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  void submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler);
  // Puts a request that was sent but not executed at the front of its queue, where it waits for new tokens.
  void requeue(RequestPriority priority, QueuedRequest request);
  // Returns true if a call in this priority class would have to wait longer than `max_wait_s`.
  [[nodiscard]] bool is_busy(RequestPriority priority, double max_wait_s);

 private:
  void send_ready();
  std::optional<double> send_ready(RequestPriority priority, double now);
  [[nodiscard]] std::deque<QueuedRequest>& queue_of(RequestPriority priority) {
    return queues_[static_cast<std::size_t>(priority)];
  }

  Env& env_;
  RequestBudget& budget_;
  Listener listener_;
  std::array<std::deque<QueuedRequest>, static_cast<std::size_t>(RequestPriority::kCount)> queues_;
  TimerId send_timer_ = 0;  // 0 if no timer is set
};

}  // namespace mothslip
