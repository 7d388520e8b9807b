#include "client/operator_client.hpp"

#include <algorithm>
#include <utility>

namespace mothslip::client {

namespace {
constexpr double kCallSeconds = 3.0;
constexpr double kPauseSeconds = 0.5;
constexpr int kSuccess = 2;      // hundreds of the status
constexpr int kClientError = 4;  // likewise
}  // namespace

std::string CallResult::error() const {
  if (outcome == CallOutcome::kUnreachable) return "no controller answers";
  const std::string said = body.is_object() ? body.value("error", "") : "";
  return controller + ": " + (said.empty() ? "no reason given" : said);
}

OperatorClient::OperatorClient(EventEnv& env, std::vector<std::string> controllers, double timeout_s)
    : env_(env), controllers_(std::move(controllers)), timeout_s_(timeout_s) {}

CallResult OperatorClient::status() { return call("GET", "/ops/recovery/status", ""); }

CallResult OperatorClient::unaccounted() { return call("GET", "/ops/recovery/unaccounted", ""); }

CallResult OperatorClient::resolve(const std::string& job, const std::string& decision) {
  const double give_up_at = env_.now() + timeout_s_;
  const std::string body = dump_json({{"job", job}, {"as", decision}});
  bool taken = false;
  while (true) {
    CallResult result = call("POST", "/ops/recovery/resolve", body);
    // (A repeat of one that has become durable meanwhile finds nothing to decide.)
    if (result.outcome == CallOutcome::kRefused && !taken) return result;
    taken |= result.ok();
    CallResult list = unaccounted();
    if (taken && list.ok() && decided(list.body, job)) return list;
    if (env_.now() >= give_up_at) {
      if (result.ok()) result.outcome = CallOutcome::kUnavailable;
      return result;
    }
    pause(kPauseSeconds);
  }
}

bool OperatorClient::decided(const Json& list, const std::string& job) {
  const Json entries = list.value("unaccounted", Json::array());
  return std::none_of(entries.begin(), entries.end(), [&job](const Json& entry) {
    return entry.value("job", "") == job && entry.value("decided", "").empty();
  });
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
      out.outcome = reply.status / 100 == kSuccess       ? CallOutcome::kAnswered
                    : reply.status / 100 == kClientError ? CallOutcome::kRefused
                                                         : CallOutcome::kUnavailable;
      if (out.outcome != CallOutcome::kUnavailable) return out;
    }
    if (env_.now() >= give_up_at) return out;
    pause(kPauseSeconds);
  }
}

HttpReply OperatorClient::call_once(const std::string& controller, const std::string& method,
                                    const std::string& path, const std::string& body) {
  HttpReply out;
  env_.call({controller, method, path, body, kCallSeconds, false}, [this, &out](HttpReply reply) {
    out = std::move(reply);
    env_.stop();
  });
  env_.run();
  return out;
}

void OperatorClient::pause(double seconds) {
  env_.after(seconds, [this] { env_.stop(); });
  env_.run();
}

}  // namespace mothslip::client
