#include "client/operator_client.hpp"

#include <algorithm>
#include <utility>

namespace mothslip::client {

namespace {
constexpr double kCallTimeoutSeconds = 3.0;
constexpr double kRetryDelaySeconds = 0.5;  // between rounds over all controllers

// The outcome of an answer with this HTTP status.
CallOutcome outcome_of(int status) {
  constexpr int kSuccessClass = 2;
  constexpr int kClientErrorClass = 4;
  const int status_class = status / 100;
  if (status_class == kSuccessClass) return CallOutcome::kAnswered;
  if (status_class == kClientErrorClass) return CallOutcome::kRefused;
  return CallOutcome::kUnavailable;
}

// Whether the list does not show the job as waiting for a decision.
bool is_decided(const recovery::UnaccountedList& list, const std::string& job) {
  return std::none_of(list.entries.begin(), list.entries.end(),
                      [&job](const recovery::UnaccountedEntry& entry) {
                        return entry.job == job && entry.pending_decision.empty();
                      });
}
}  // namespace

std::string CallResult::error() const {
  if (outcome == CallOutcome::kUnreachable) return "no controller answers";
  const std::string reason = body.is_object() ? body.value("error", "") : "";
  return controller + ": " + (reason.empty() ? "no reason given" : reason);
}

OperatorClient::OperatorClient(EventEnv& env, std::vector<std::string> controllers, double timeout_s)
    : env_(env), controllers_(std::move(controllers)), timeout_s_(timeout_s) {}

CallResult OperatorClient::status() { return call("GET", recovery::kStatusPath, ""); }

CallResult OperatorClient::unaccounted() { return call("GET", recovery::kUnaccountedPath, ""); }

CallResult OperatorClient::resolve(const std::string& job, const std::string& decision) {
  const double give_up_at = env_.now() + timeout_s_;
  const std::string body = dump_json({{"job", job}, {"as", decision}});
  bool accepted = false;  // at least once, by any controller
  while (true) {
    CallResult result = call("POST", recovery::kResolvePath, body);
    // After an accepted request a refusal is no error: the decision has become durable meanwhile, so the
    // repeated request finds no unaccounted job.
    if (result.outcome == CallOutcome::kRefused && !accepted) return result;
    accepted |= result.ok();
    CallResult list = unaccounted();
    if (accepted && list.ok() && is_decided(recovery::UnaccountedList::from_json(list.body), job))
      return list;
    if (env_.now() >= give_up_at) {
      if (result.ok()) result.outcome = CallOutcome::kUnavailable;
      return result;
    }
    pause(kRetryDelaySeconds);
  }
}

CallResult OperatorClient::call(const std::string& method, const std::string& path, const std::string& body) {
  const double give_up_at = env_.now() + timeout_s_;
  CallResult out;
  while (true) {
    for (const std::string& controller : controllers_) {
      const HttpReply reply = call_once(controller, method, path, body);
      if (reply.unanswered()) continue;
      out.controller = controller;
      out.body = parse_json(reply.body);
      out.outcome = outcome_of(reply.status);
      if (out.outcome != CallOutcome::kUnavailable) return out;
    }
    if (env_.now() >= give_up_at) return out;
    pause(kRetryDelaySeconds);
  }
}

HttpReply OperatorClient::call_once(const std::string& controller, const std::string& method,
                                    const std::string& path, const std::string& body) {
  HttpReply out;
  env_.call({controller, method, path, body, kCallTimeoutSeconds, false}, [this, &out](HttpReply reply) {
    out = std::move(reply);
    env_.stop();
  });
  env_.run();
  return out;
}

void OperatorClient::pause(double delay_s) {
  env_.after(delay_s, [this] { env_.stop(); });
  env_.run();
}

}  // namespace mothslip::client
