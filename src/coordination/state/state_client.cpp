#include "coordination/state/state_client.hpp"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <memory>
#include <string_view>
#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kCallTimeoutSeconds = 1.5;
constexpr double kWatchTimeoutMarginSeconds =
    2;  // beyond the time for which the service may hold a watch open
constexpr const char* kMaxItemsPerPage = "500";  // records per page of a list
constexpr int kTooManyRequestsStatus = 429;
constexpr int kUnavailableStatus = 503;

// Returns whether the key means itself in a query. (Names of teams are part of keys, and may be any text.)
bool is_plain_in_query(const std::string& key) {
  constexpr std::string_view kPlainPunctuation = "-._~/@";
  return std::all_of(key.begin(), key.end(), [kPlainPunctuation](unsigned char character) {
    return std::isalnum(character) != 0 ||
           kPlainPunctuation.find(static_cast<char>(character)) != std::string_view::npos;
  });
}
}  // namespace

StateClient::StateClient(Env& env, const Settings& settings, Incarnation incarnation, StateMonitor* monitor)
    : env_(env),
      key_space_(std::move(incarnation)),
      monitor_(monitor),
      address_(settings.state),
      budget_(settings, env.now()),
      queue_(env, budget_,
             {[this](RequestPriority priority, QueuedRequest request) { send(priority, std::move(request)); },
              [this](StateHandler handler) { refuse(std::move(handler)); }}),
      last_answer_at_(env.now()) {}

void StateClient::set_share(double share) { budget_.set_share(share, env_.now()); }

void StateClient::shrink_transactions() { budget_.shrink_transactions(env_.now()); }

bool StateClient::is_busy(RequestPriority priority, double max_wait_s) {
  return queue_.is_busy(priority, max_wait_s);
}

void StateClient::submit(RequestPriority priority, HttpCall call, int writes, StateHandler handler) {
  call.destination = address_;
  queue_.submit(priority, std::move(call), writes, std::move(handler));
}

void StateClient::refuse(StateHandler handler) {
  counters_.refused_locally++;
  env_.after(0, [handler = std::move(handler)] { handler({Outcome::kRefused, Json()}); });
}

void StateClient::send(RequestPriority priority, QueuedRequest request) {
  counters_.calls++;
  counters_.writes += static_cast<std::uint64_t>(request.writes);
  const auto shared_request = std::make_shared<QueuedRequest>(std::move(request));
  const std::uint64_t newest_when_sent = newest_revision();
  env_.call(shared_request->call, [this, priority, shared_request, newest_when_sent](const HttpReply& reply) {
    if (!reply.unanswered() && reply.status != kUnavailableStatus) last_answer_at_ = env_.now();
    if (reply.status == kTooManyRequestsStatus) {
      counters_.too_many_requests++;
      budget_.on_refusal(shared_request->writes > 0, env_.now());
      // A call that was answered with 429 was not executed, so it can safely be sent again.
      if (env_.now() < shared_request->deadline) return queue_.requeue(priority, std::move(*shared_request));
    }
    if (reply.unanswered()) counters_.unanswered++;
    StateReply out = read_reply(reply);
    notify_monitor(newest_when_sent, shared_request->call, out);
    if (!is_credible(*shared_request, out)) out = {Outcome::kUnknown, Json()};
    shared_request->handler(std::move(out));
  });
}

StateReply StateClient::read_reply(const HttpReply& reply) const {
  StateReply out;
  out.outcome = outcome_of_status(reply.status);
  if (!reply.body.empty()) out.body = parse_json(reply.body);
  if (out.outcome == Outcome::kOk && !out.body.is_object()) out.outcome = Outcome::kUnknown;
  key_space_.translate_reply(out.body);
  return out;
}

void StateClient::notify_monitor(std::uint64_t newest_when_sent, const HttpCall& call,
                                 const StateReply& reply) const {
  if (monitor_ == nullptr) return;
  const std::uint64_t revision = reply.revision();
  if (revision == 0) return;
  if (revision < newest_when_sent) {
    spdlog::warn("state service: the answer to {} {} shows revision {} after {}, failed guards: [{}]",
                 call.method, call.path, revision, newest_when_sent, fmt::join(reply.failed_keys(), " "));
  }
  monitor_->on_revision(newest_when_sent, revision);
}

// A write that was executed is a fact, whatever the service has lost, and what the node knows of it becomes
// evidence for the rebuild. Any other answer may only show what the service has lost.
bool StateClient::is_credible(const QueuedRequest& request, const StateReply& reply) const {
  return !is_state_lost() || (request.writes > 0 && reply.ok());
}

void StateClient::commit(RequestPriority priority, const Transaction& txn, StateHandler handler) {
  commit_body(priority, txn.body(), static_cast<int>(txn.changes.size()), std::move(handler));
}

void StateClient::commit_body(RequestPriority priority, std::string body, int writes, StateHandler handler) {
  submit(priority, {"", "POST", "/commit", key_space_.stored_body(std::move(body)), kCallTimeoutSeconds},
         writes, std::move(handler));
}

void StateClient::get_key(RequestPriority priority, const std::string& key, StateHandler handler) {
  submit(priority, {"", "GET", "/keys/" + key_space_.stored_key(key), "", kCallTimeoutSeconds}, 0,
         std::move(handler));
}

// The service does not say at which revision it read a single key that exists. A list says it, and the first
// key with a prefix is the prefix itself if that key exists.
void StateClient::get(RequestPriority priority, const std::string& key, StateHandler handler) {
  if (monitor_ == nullptr || !is_plain_in_query(key))
    return get_with_lease(priority, key, std::move(handler));
  const std::string path = "/keys?prefix=" + key_space_.stored_key(key) + "&most=1";
  submit(
      priority, {"", "GET", path, "", kCallTimeoutSeconds}, 0,
      [key, handler = std::move(handler)](StateReply reply) { handler(std::move(reply).take_record(key)); });
}

void StateClient::get_with_lease(RequestPriority priority, const std::string& key, StateHandler handler) {
  get_key(priority, key, [this, priority, handler = std::move(handler)](StateReply record) {
    if (monitor_ == nullptr || !record.ok()) return handler(std::move(record));
    read_revision(priority, [record = std::move(record), handler](std::optional<std::uint64_t> revision) {
      handler(revision ? record : StateReply{Outcome::kUnknown, Json()});
    });
  });
}

void StateClient::read_revision(RequestPriority priority, const RevisionHandler& handler) {
  get_key(priority, keys::kRevisionProbe, [handler](const StateReply& reply) {
    const bool is_read = reply.outcome == Outcome::kMissing;
    handler(is_read ? std::optional(reply.revision()) : std::nullopt);
  });
}

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

void StateClient::scan(RequestPriority priority, const std::string& prefix, PageHandler page,
                       ScanEndHandler end) {
  const auto read_page = [this, priority, prefix](const std::string& from, StateHandler handler) {
    std::string path = "/keys?prefix=" + key_space_.stored_key(prefix) + "&most=" + kMaxItemsPerPage;
    if (!from.empty()) path += "&from=" + key_space_.stored_key(from);
    submit(priority, {"", "GET", path, "", kCallTimeoutSeconds}, 0, std::move(handler));
  };
  ListScan::start(read_page, std::move(page), std::move(end));
}

void StateClient::watch(const std::string& prefix, std::uint64_t from, double wait_s, StateHandler handler) {
  HttpCall call;
  call.method = "GET";
  call.path = "/changes?prefix=" + key_space_.stored_key(prefix) +
              "&from=" + std::to_string(key_space_.to_stored_revision(from)) +
              "&wait_ms=" + std::to_string(static_cast<int>(wait_s * 1000));
  call.timeout_s = wait_s + kWatchTimeoutMarginSeconds;
  submit(RequestPriority::kLease, std::move(call), 0, std::move(handler));
}

void StateClient::lease_create(double ttl_s, StateHandler handler) {
  const Json body = {{"ttl_ms", static_cast<int>(ttl_s * 1000)}};
  submit(RequestPriority::kLease, {"", "POST", "/leases", dump_json(body), kCallTimeoutSeconds}, 0,
         std::move(handler));
}

void StateClient::lease_renew(std::uint64_t lease_id, double timeout_s, StateHandler handler) {
  submit(RequestPriority::kLease,
         {"", "POST", "/leases/" + std::to_string(lease_id) + "/renew", "{}", timeout_s}, 0,
         std::move(handler));
}

}  // namespace mothslip
