// What an actor may ask of the outside world: time, timers, randomness and HTTP calls.
//
// Everything above this interface is deterministic given its answers, so a test can run whole nodes in
// simulated time (tests/sim).
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace mothslip {

struct HttpReply {
  int status = 0;  // 0: no response; the request may have been executed, or may be executed later
  std::string body;
  [[nodiscard]] bool unanswered() const { return status == 0; }
};

struct HttpCall {
  std::string destination;  // "10.2.0.1:2379"
  std::string method;       // GET, POST or DELETE
  std::string path;
  std::string body;
  double timeout_s = 2.0;
  bool keep_alive = true;  // false: the connection is not worth keeping
};

using TimerId = std::uint64_t;
using ReplyHandler = std::function<void(HttpReply)>;

class Env {
 public:
  virtual ~Env() = default;
  [[nodiscard]] virtual double now() const = 0;   // steady clock, seconds
  [[nodiscard]] virtual double wall() const = 0;  // time of day, seconds since the epoch
  virtual std::uint64_t random() = 0;
  virtual TimerId after(double delay_s, std::function<void()> action) = 0;
  virtual void cancel(TimerId timer) = 0;
  // Exactly one reply is delivered, never from within this call.
  virtual void call(HttpCall request, ReplyHandler handler) = 0;

  double uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(random() >> 11) * 0x1.0p-53;
  }
};

}  // namespace mothslip
