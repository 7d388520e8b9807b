// Requests to the state service that wait for their tokens: one queue a priority class, the most important
// first.
//
// A request is refused at once when the queue of its class is full, and later when it has waited too long.
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
  int writes = 0;       // changes that it makes
  double deadline = 0;  // steady clock, seconds: it is refused when it has not been sent by then
  StateHandler handler;
};

class RequestQueue {
 public:
  struct Listener {
    // The request has its tokens and is to be sent.
    std::function<void(RequestPriority, QueuedRequest)> ready;
    // The request was not sent and will not be.
    std::function<void(StateHandler)> refused;
  };
  // `budget` must outlive the queue.
  RequestQueue(Env& env, RequestBudget& budget, Listener listener);
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  void submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler);
  // A request that was sent and not executed: it waits for the next tokens like the rest of its class.
  void requeue(RequestPriority priority, QueuedRequest request);
  // True when a call in this priority class would have to wait longer than `patience_s`.
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
  TimerId send_timer_ = 0;  // 0: none is set
};

}  // namespace mothslip
