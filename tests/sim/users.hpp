// The users of the simulated cluster: they submit, poll and cancel, and hold every answer against those that
// were received before it was asked for.
#pragma once

#include <functional>
#include <string>

#include "transport/env.hpp"

namespace mothslip::sim {

class World;

class Users {
 public:
  explicit Users(World& world) : world_(world) {}

  // Repeated until it is accepted, or until `give_up`. An accepted job is then polled.
  void submit(const std::string& ref, double give_up_at);
  void poll(const std::string& ref);
  // Repeated until it is answered. A job that is not accepted yet is cancelled once it is.
  void cancel(const std::string& ref);
  // So many rounds, `gap_s` apart, of polls at every node within milliseconds. Some repeat the submission
  // too, and the cancellation of a job whose cancellation was asked for.
  void poll_all_nodes_repeatedly(const std::string& ref, int rounds, double gap_s);

 private:
  enum class Question { kPoll, kSubmission, kCancellation };
  using Handler = std::function<void(const HttpReply&)>;
  void ask(Question question, const std::string& ref, int node, Handler handler);
  void check(Question question, const std::string& ref, double asked_at, const HttpReply& reply);
  void poll_each_node(const std::string& ref);
  int pick_node();

  World& world_;
};

}  // namespace mothslip::sim
