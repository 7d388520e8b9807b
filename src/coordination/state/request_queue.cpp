#include "coordination/state/request_queue.hpp"

#include <algorithm>
#include <utility>

namespace mothslip {

namespace {
constexpr std::size_t kMaxQueuedRequestsPerPriority = 128;
constexpr double kMaxQueueWaitSeconds = 2.0;
constexpr double kLeaseRetryDelaySeconds = 0.1;
// Bounds of the delay until the next check of the queues.
constexpr double kMinRecheckDelaySeconds = 0.002;
constexpr double kMaxRecheckDelaySeconds = 0.5;
}  // namespace

RequestQueue::RequestQueue(Env& env, RequestBudget& budget, Listener listener)
    : env_(env), budget_(budget), listener_(std::move(listener)) {}

RequestQueue::~RequestQueue() {
  if (send_timer_ != 0) env_.cancel(send_timer_);
}

void RequestQueue::submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler) {
  auto& queue = queue_of(priority);
  if (queue.size() >= kMaxQueuedRequestsPerPriority) {
    listener_.refused(std::move(handler));
    return;
  }
  queue.push_back({std::move(call), writes, env_.now() + kMaxQueueWaitSeconds, std::move(handler)});
  send_ready();
}

void RequestQueue::requeue(RequestPriority priority, QueuedRequest request) {
  queue_of(priority).push_front(std::move(request));
  if (priority == RequestPriority::kLease) {
    env_.after(kLeaseRetryDelaySeconds,
               [this] { send_ready(); });  // leases need no tokens; retry after a delay
  } else {
    send_ready();
  }
}

bool RequestQueue::is_busy(RequestPriority priority, double max_wait_s) {
  std::size_t calls_ahead = 0;
  double writes = 1;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); i++) {
    calls_ahead += queues_[i].size();
    for (const QueuedRequest& request : queues_[i]) writes += request.writes;
  }
  return budget_.wait_exceeds(static_cast<double>(calls_ahead + 1), writes, max_wait_s, env_.now());
}

// Sends the requests that have their tokens, and sets a timer for when the next request may have them.
void RequestQueue::send_ready() {
  const double now = env_.now();
  budget_.raise_rates(now);
  std::optional<double> shortest_wait_s;
  for (std::size_t i = 0; i < queues_.size(); i++) {
    const std::optional<double> wait_s = send_ready(static_cast<RequestPriority>(i), now);
    if (wait_s && (!shortest_wait_s || *wait_s < *shortest_wait_s)) shortest_wait_s = wait_s;
  }
  if (!shortest_wait_s || send_timer_ != 0) return;
  send_timer_ = env_.after(*shortest_wait_s, [this] {
    send_timer_ = 0;
    send_ready();
  });
}

// Returns the time until the first remaining request can be sent or has to be refused; nullopt if no request
// remains.
std::optional<double> RequestQueue::send_ready(RequestPriority priority, double now) {
  auto& queue = queue_of(priority);
  while (!queue.empty()) {
    QueuedRequest& next = queue.front();
    if (now >= next.deadline) {
      listener_.refused(std::move(next.handler));
      queue.pop_front();
      continue;
    }
    if (!budget_.take(priority, next.writes, now)) {
      const double wait_s = std::min(budget_.wait_s(priority, next.writes, now), next.deadline - now);
      return std::clamp(wait_s, kMinRecheckDelaySeconds, kMaxRecheckDelaySeconds);
    }
    QueuedRequest ready = std::move(next);
    queue.pop_front();
    listener_.ready(priority, std::move(ready));
  }
  return std::nullopt;
}

}  // namespace mothslip
