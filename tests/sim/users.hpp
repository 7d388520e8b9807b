// The users of the simulated cluster. They submit, poll and cancel jobs, and check every answer against
// those that were received before its question was sent.
#pragma once

#include <functional>
#include <string>

#include "transport/env.hpp"

namespace mothslip::sim {

class World;

class Users {
 public:
  explicit Users(World& world) : world_(world) {}

  // Submits the job, and repeats it until the job is accepted or `give_up_at` has passed. An accepted job
  // is then polled.
  void submit(const std::string& ref, double give_up_at);
  void poll(const std::string& ref);
  // Cancels the job, and repeats it until it is answered. A job that is not accepted yet is cancelled once
  // it is.
  void cancel(const std::string& ref);
  // Polls this node once.
  void poll_node(const std::string& ref, int node);
  // Submits the job to this node until it is accepted. The job is not polled.
  void submit_to_node(const std::string& ref, int node, const std::function<void()>& on_accepted);
  // Polls only this node, once a second, until it reports that the job has ended.
  void poll_node_until_ended(const std::string& ref, int node, const std::function<void()>& on_ended);
  // Cancels the job at this node, and repeats it until the cancellation is confirmed.
  void cancel_at_node(const std::string& ref, int node, const std::function<void()>& on_cancelled);
  // Polls every node within milliseconds, in `rounds` rounds that are `gap_s` apart. A share of these polls
  // is followed by a repeated submission. If the job's cancellation was requested, a share is also followed
  // by a repeated cancellation.
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
