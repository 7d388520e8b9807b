// Client for the operators' interface of the controllers. This is the public header of the package.
//
// Every call ends within a bounded time. It tries the controllers one after the other until one gives a final
// answer. A 503 is not final: a controller sends it while it starts, or when it could not relay the request
// to another controller.
#pragma once

#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "recovery/operator_messages.hpp"
#include "transport/event_env.hpp"

namespace mothslip::client {

enum class CallOutcome {
  kAnswered,     // 2xx
  kRefused,      // 4xx: a retry would give the same answer
  kUnavailable,  // every controller that answered cannot serve the request now
  kUnreachable,  // no controller answered
};

// The answer of a controller.
struct CallResult {
  CallOutcome outcome = CallOutcome::kUnreachable;
  std::string controller;  // the one that answered last; empty if none did
  Json body;               // of the answer; null if it is not JSON
  [[nodiscard]] bool ok() const { return outcome == CallOutcome::kAnswered; }
  // The error text of the controller, for people.
  [[nodiscard]] std::string error() const;
};

class OperatorClient {
 public:
  // `controllers` are the peer addresses of the controllers, such as "10.0.0.1:8081". A call gives up after
  // `timeout_s` and at most one more round over the controllers.
  OperatorClient(EventEnv& env, std::vector<std::string> controllers, double timeout_s);

  // The body of the answer is a recovery::ControllerStatus.
  CallResult status();
  // The body of the answer is a recovery::UnaccountedList.
  CallResult unaccounted();
  // `decision` is done, rerun or cancelled. Returns when the decision is durable, which is when the job is no
  // longer listed, or is listed as to be rerun; the result is then that of the list. Until then, or until the
  // timeout, the request is repeated. A repeated request has no further effect.
  CallResult resolve(const std::string& job, const std::string& decision);

 private:
  CallResult call(const std::string& method, const std::string& path, const std::string& body);
  HttpReply call_once(const std::string& controller, const std::string& method, const std::string& path,
                      const std::string& body);
  void pause(double delay_s);

  EventEnv& env_;
  std::vector<std::string> controllers_;
  double timeout_s_;
};

}  // namespace mothslip::client
