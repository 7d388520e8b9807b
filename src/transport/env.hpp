// The environment of the program: time, timers, randomness and outgoing HTTP calls.
//
// Everything above this interface is deterministic given its answers, so a test can run whole nodes in
// simulated time (tests/sim). All of it runs on one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace mothslip {

// The answer to a call.
struct HttpReply {
  int status = 0;  // 0: no response; the request may have been executed, or may be executed later
  std::string body;
  [[nodiscard]] bool unanswered() const { return status == 0; }
};

// An outgoing request.
struct HttpCall {
  std::string destination;  // numeric IPv4 address and port: "10.2.0.1:2379"
  std::string method;       // GET, POST or DELETE
  std::string path;         // with the query, if any
  std::string body;         // JSON; empty: none
  double timeout_s = 2.0;   // from the call until the whole answer is there, time in queues included
  bool keep_alive = true;   // false: the connection is not worth keeping
};

using TimerId = std::uint64_t;  // never 0
using ReplyHandler = std::function<void(HttpReply)>;

class Env {
 public:
  virtual ~Env() = default;
  [[nodiscard]] virtual double now() const = 0;        // steady clock, seconds
  [[nodiscard]] virtual double wall_time() const = 0;  // time of day, seconds since the epoch
  // Uniform over all 64-bit values.
  virtual std::uint64_t random() = 0;
  // Runs `action` once, after so many seconds, never from within this call.
  virtual TimerId after(double delay_s, std::function<void()> action) = 0;
  // The timer's action is not run any more. A timer that has run, or that never was, is ignored.
  virtual void cancel(TimerId timer) = 0;
  // Exactly one reply is delivered, never from within this call.
  virtual void call(HttpCall request, ReplyHandler handler) = 0;

  // A random number of at least `low` and below `high`.
  double uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(random() >> 11) * 0x1.0p-53;
  }
};

}  // namespace mothslip
