// Calls to the operators' interface of the controllers. Public header of the package.
//
// Every call ends within a bound: controllers are asked one after the other until one answers for good. One
// that is starting, or whose request for another has failed, answers 503 and is no answer for good.
#pragma once

#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "recovery/operator_messages.hpp"
#include "transport/event_env.hpp"

namespace mothslip::client {

enum class CallOutcome {
  kAnswered,     // 2xx
  kRefused,      // 4xx: asking again changes nothing
  kUnavailable,  // every controller answered that it can't now
  kUnreachable,  // no controller answered
};

// The answer of a controller, as it came.
struct CallResult {
  CallOutcome outcome = CallOutcome::kUnreachable;
  std::string controller;  // that answered last; empty: none did
  Json body;               // of its answer; null where that is no JSON
  [[nodiscard]] bool ok() const { return outcome == CallOutcome::kAnswered; }
  // What the controller said was wrong, for people.
  [[nodiscard]] std::string error() const;
};

class OperatorClient {
 public:
  // `controllers`: their addresses for other controllers, "10.0.0.1:8081". A call gives up after `timeout_s`
  // (and at most one more round of the controllers).
  OperatorClient(EventEnv& env, std::vector<std::string> controllers, double timeout_s);

  // Answered with a recovery::ControllerStatus.
  CallResult status();
  // Answered with a recovery::UnaccountedList.
  CallResult unaccounted();
  // `decision`: done, rerun or cancelled. Returns when the decision is durable: the job is not listed any
  // more, or listed as to run again; the result is then that of the list. Until the time is over it is
  // repeated, which is safe.
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
