#include "coordination/state/state_client.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mothslip {

namespace {
constexpr std::size_t kMaxQueueLength = 128;
constexpr double kQueueSeconds = 2.0;
constexpr double kCallSeconds = 1.5;
constexpr double kOvercommit = 1.6;
constexpr double kLeaseAgain = 0.1;
constexpr double kRaiseEvery = 1.0;
constexpr int kLeastTransaction = 4;  // changes
}  // namespace

StateClient::StateClient(Env& env, const Settings& settings, Incarnation incarnation, StateMonitor* monitor)
    : env_(env),
      key_space_(std::move(incarnation)),
      monitor_(monitor),
      address_(settings.state),
      call_rate_(settings.state_rps, settings.next_state_rps, env.now()),
      write_rate_(settings.state_write_rps, settings.next_write_rps, env.now()),
      next_raise_(env.now() + kRaiseEvery),
      txn_ops_(settings.txn_ops),
      writes_per_txn_(settings.txn_ops),
      calls_(settings.state_rps / 3, settings.state_rps / 3, env.now()),
      writes_(settings.state_write_rps / 3, settings.state_write_rps / 3, env.now()),
      last_word_(env.now()) {}

StateClient::~StateClient() {
  if (send_timer_ != 0) env_.cancel(send_timer_);
}

void StateClient::set_share(double share) {
  share_ = share;
  apply_share();
}

void StateClient::apply_share() {
  const double now = env_.now();
  const double calls = call_rate_.current() * share_;
  calls_.set_rate(calls, std::max(2.0, calls), now);
  // Nodes are seldom busy at once: each may change more than its share, and gives way when the service says
  // 429. Leases are not touched by that, they only count as calls.
  const double writes = write_rate_.current() * share_;
  const double most = kOvercommit * writes;
  writes_.set_rate(most, std::max(3.0, most), now);
  writes_per_txn_ = std::clamp(static_cast<int>(writes), kLeastTransaction, txn_ops_);
}

void StateClient::shrink_transactions() {
  txn_ops_ = std::max(kLeastTransaction, txn_ops_ / 2);
  apply_share();
}

// The service's limits fall without notice: being turned down is the only sign of it. What was saved up for a
// burst is gone, and the rate is cut, though not below what the service has announced.
void StateClient::too_many(bool write) {
  const double now = env_.now();
  counters_.too_many++;
  (write ? writes_ : calls_).drain(now);
  if ((write ? write_rate_ : call_rate_).turned_down(now)) apply_share();
}

void StateClient::submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler) {
  auto& queue = queues_[static_cast<std::size_t>(priority)];
  if (queue.size() >= kMaxQueueLength) {
    counters_.refused_here++;
    env_.after(0, [handler = std::move(handler)] { handler({Outcome::kRefused, Json()}); });
    return;
  }
  call.destination = address_;
  queue.push_back({std::move(call), writes, env_.now() + kQueueSeconds, std::move(handler)});
  send_queued();
}

bool StateClient::busy(RequestPriority priority, double patience_s) {
  std::size_t ahead = 0;
  double writes = 1;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); i++) {
    ahead += queues_[i].size();
    for (const Pending& item : queues_[i]) writes += item.writes;
  }
  const double now = env_.now();
  return calls_.wait_s(static_cast<double>(ahead + 1), 0, now) > patience_s ||
         writes_.wait_s(writes, 0, now) > patience_s;
}

void StateClient::send_queued() {
  const double now = env_.now();
  if (now >= next_raise_) {
    next_raise_ = now + kRaiseEvery;
    const bool calls_raised = call_rate_.raise(now);
    const bool writes_raised = write_rate_.raise(now);
    if (calls_raised || writes_raised) apply_share();
  }
  double wait = -1;
  for (std::size_t priority = 0; priority < queues_.size(); priority++) {
    auto& queue = queues_[priority];
    while (!queue.empty()) {
      Pending& next = queue.front();
      if (now >= next.give_up) {
        counters_.refused_here++;
        env_.after(0, [handler = std::move(next.handler)] { handler({Outcome::kRefused, Json()}); });
        queue.pop_front();
        continue;
      }
      // Each priority class leaves a little for the priority classes above it.
      const double reserve = static_cast<double>(priority) * 0.5;
      // (Users wait for what is accepted and cancelled; launches and completions go many to a write.)
      const double writes_reserve =
          priority > static_cast<std::size_t>(RequestPriority::kAccept) ? 1.5 : reserve * 0.5;
      // Leases, ownership and loading do not wait for tokens: they are few, and all else waits for them. What
      // they take is a debt that the other priority classes pay.
      const bool urgent = priority == static_cast<std::size_t>(RequestPriority::kLease);
      if (urgent || (calls_.can_take(1, reserve, now) &&
                     (next.writes == 0 || writes_.can_take(next.writes, writes_reserve, now)))) {
        calls_.take(1, now);
        if (next.writes > 0) writes_.take(next.writes, now);
        Pending taken = std::move(next);
        queue.pop_front();
        send(static_cast<RequestPriority>(priority), std::move(taken));
        continue;
      }
      const double need = std::max(calls_.wait_s(1, reserve, now),
                                   next.writes == 0 ? 0.0 : writes_.wait_s(next.writes, writes_reserve, now));
      const double until = std::clamp(std::min(need, next.give_up - now), 0.002, 0.5);
      if (wait < 0 || until < wait) wait = until;
      break;
    }
  }
  if (wait >= 0 && send_timer_ == 0) {
    send_timer_ = env_.after(wait, [this] {
      send_timer_ = 0;
      send_queued();
    });
  }
}

void StateClient::send(RequestPriority priority, Pending pending) {
  counters_.calls++;
  counters_.writes += static_cast<std::uint64_t>(pending.writes);
  const auto kept = std::make_shared<Pending>(std::move(pending));
  const std::uint64_t newest = monitor_ == nullptr ? 0 : monitor_->newest();
  env_.call(kept->call, [this, priority, kept, newest](const HttpReply& reply) {
    if (!reply.unanswered() && reply.status != 503) last_word_ = env_.now();
    if (reply.status == 429) {
      too_many(kept->writes > 0);
      // Not executed: it waits for the next tokens like the rest of its priority class.
      if (env_.now() < kept->give_up) {
        queues_[static_cast<std::size_t>(priority)].push_front(std::move(*kept));
        if (priority == RequestPriority::kLease) {
          env_.after(kLeaseAgain, [this] { send_queued(); });  // it does not wait for tokens, but not at once
        } else {
          send_queued();
        }
        return;
      }
    }
    if (reply.unanswered()) counters_.unanswered++;
    StateReply out;
    out.outcome = outcome_of_status(reply.status);
    if (!reply.body.empty()) out.body = parse_json(reply.body);
    if (out.outcome == Outcome::kOk && !out.body.is_object()) out.outcome = Outcome::kUnknown;
    key_space_.translate_answer(out.body);
    tell_monitor(newest, out.body);
    kept->handler(std::move(out));
  });
}

void StateClient::tell_monitor(std::uint64_t newest_when_asked, const Json& answer) const {
  if (monitor_ == nullptr || !answer.is_object()) return;
  const auto revision = answer.value("epoch", std::uint64_t{0});
  if (revision != 0) monitor_->on_revision(newest_when_asked, revision);
}

void StateClient::commit(RequestPriority priority, const Transaction& txn, StateHandler handler) {
  commit_body(priority, txn.body(), static_cast<int>(txn.then.size()), std::move(handler));
}

void StateClient::commit_body(RequestPriority priority, std::string body, int writes, StateHandler handler) {
  submit(priority, {"", "POST", "/commit", key_space_.stored_body(std::move(body)), kCallSeconds}, writes,
         std::move(handler));
}

void StateClient::get(RequestPriority priority, const std::string& key, StateHandler handler) {
  submit(priority, {"", "GET", "/keys/" + key_space_.stored_key(key), "", kCallSeconds}, 0,
         std::move(handler));
}

struct StateClient::Scan {
  RequestPriority priority = RequestPriority::kRest;
  std::string prefix;
  std::string from;
  std::uint64_t revision = 0;
  PageHandler page;
  ScanEnd end;
};

void StateClient::list(RequestPriority priority, const std::string& prefix, ListHandler handler) {
  auto all = std::make_shared<std::vector<StateItem>>();
  scan(
      priority, prefix,
      [all](std::vector<StateItem> items) {
        std::move(items.begin(), items.end(), std::back_inserter(*all));
      },
      [all, handler = std::move(handler)](Outcome outcome, std::uint64_t revision) {
        if (outcome != Outcome::kOk) all->clear();
        handler(outcome, std::move(*all), revision);
      });
}

void StateClient::scan(RequestPriority priority, const std::string& prefix, PageHandler page, ScanEnd end) {
  auto work = std::make_shared<Scan>();
  work->priority = priority;
  work->prefix = prefix;
  work->page = std::move(page);
  work->end = std::move(end);
  scan_page(work);
}

void StateClient::scan_page(const std::shared_ptr<Scan>& work) {
  std::string path = "/keys?prefix=" + key_space_.stored_key(work->prefix) + "&most=500";
  if (!work->from.empty()) path += "&from=" + key_space_.stored_key(work->from);
  submit(work->priority, {"", "GET", path, "", kCallSeconds}, 0, [this, work](StateReply reply) {
    if (!reply.ok()) {
      work->end(reply.outcome, 0);
      return;
    }
    if (work->revision == 0) work->revision = reply.revision();
    std::vector<StateItem> page = reply.take_items();
    const bool more = reply.more_items() && !page.empty();
    if (more) work->from = page.back().key;
    work->page(std::move(page));
    if (more) {
      scan_page(work);
    } else {
      work->end(Outcome::kOk, work->revision);
    }
  });
}

void StateClient::watch(const std::string& prefix, std::uint64_t from, double wait_s, StateHandler handler) {
  HttpCall call;
  call.method = "GET";
  call.path = "/changes?prefix=" + key_space_.stored_key(prefix) +
              "&from=" + std::to_string(key_space_.to_stored(from)) +
              "&wait_ms=" + std::to_string(static_cast<int>(wait_s * 1000));
  call.timeout_s = wait_s + 2;
  submit(RequestPriority::kLease, std::move(call), 0, std::move(handler));
}

void StateClient::lease_create(double ttl_s, StateHandler handler) {
  const Json body = {{"ttl_ms", static_cast<int>(ttl_s * 1000)}};
  submit(RequestPriority::kLease, {"", "POST", "/leases", dump_json(body), kCallSeconds}, 0,
         std::move(handler));
}

void StateClient::lease_renew(std::uint64_t lease_id, double timeout_s, StateHandler handler) {
  submit(RequestPriority::kLease,
         {"", "POST", "/leases/" + std::to_string(lease_id) + "/renew", "{}", timeout_s}, 0,
         std::move(handler));
}

}  // namespace mothslip
