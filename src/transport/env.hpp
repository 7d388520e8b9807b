// The interface between the program and its environment: time, timers, randomness and outgoing HTTP calls.
//
// For given results of these functions, the code that uses them is deterministic, so tests can run whole
// nodes in simulated time (tests/sim). All of that code runs on one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace mothslip {

// The reply to an outgoing request.
struct HttpReply {
  int status = 0;  // 0: no response; the request may have been executed, or may be executed later
  std::string body;
  [[nodiscard]] bool unanswered() const { return status == 0; }
};

// An outgoing request.
struct HttpCall {
  std::string destination;  // numeric IPv4 address and port: "10.2.0.1:2379"
  std::string method;       // GET, POST or DELETE
  std::string path;         // includes the query, if any
  std::string body;         // JSON; empty: no body
  double timeout_s = 2.0;   // from `call` to the complete reply, including time in the queue
  bool keep_alive = true;   // false: the connection is closed after the reply
};

using TimerId = std::uint64_t;  // never 0
using ReplyHandler = std::function<void(HttpReply)>;

class Env {
 public:
  virtual ~Env() = default;
  [[nodiscard]] virtual double now() const = 0;        // steady clock, in seconds
  [[nodiscard]] virtual double wall_time() const = 0;  // system clock, in seconds since the Unix epoch
  // Returns a random number, uniform over all 64-bit values.
  virtual std::uint64_t random() = 0;
  // Runs `action` once, `delay_s` seconds from now, and never before this function returns.
  virtual TimerId after(double delay_s, std::function<void()> action) = 0;
  // Cancels the timer, so that its action does not run. Ignores a timer that has run or does not exist.
  virtual void cancel(TimerId timer) = 0;
  // Sends the request. `handler` is called exactly once, and never before this function returns.
  virtual void call(HttpCall request, ReplyHandler handler) = 0;

  // Returns a random number, uniform over [low, high).
  double uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(random() >> 11) * 0x1.0p-53;
  }
};

}  // namespace mothslip
