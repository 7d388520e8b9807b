// A job from the view of its user and of the simulated machines.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "protocol/messages.hpp"
#include "sim/answer_history.hpp"

namespace mothslip::sim {

// A user's job and the state that its user has observed.
struct UserJob {
  Json body;  // the submission, in the wire format
  std::string ref;
  std::string team;
  // Cores of each task.
  double cores = 0;
  int task_count = 1;
  double run_s = 5;
  bool gang = false;
  // Saved progress of a gang.
  double progress_s = 0;
  // Start of the last attempt of a gang.
  double gang_started_at = -1;
  // The largest attempt number of a gang that reached a machine.
  std::uint64_t last_attempt = 0;
  // The submission contains an error, so that its tasks fail on every machine.
  bool always_fails = false;
  // If positive, each task runs this much longer than the one before, without random variation.
  double run_increment_s = 0;
  double submit_at = 0;
  double cancel_at = -1;  // negative: it is not cancelled
  bool accepted = false;
  bool user_saw_done = false;
  bool user_saw_aborted = false;
  double aborted_at = 0;
  bool cancel_requested = false;
  double first_started_at = -1;
  // Since when a task waits while a machine has room for it. Negative if none does.
  double could_run_since = -1;
  std::map<int, int> starts;  // by task index
  // Since when polls have failed without a successful one in between. Negative if the last poll succeeded.
  double unanswered_since = -1;
  AnswerHistory answers;
  std::set<int> completed;  // task indices
};

// Placement constraints in the submission.
inline bool may_use_spot(const UserJob& job) { return job.body["loaner"].get<bool>(); }
inline bool is_bound_to_one_zone(const UserJob& job) { return job.body["together"].get<bool>(); }
inline bool is_scattered(const UserJob& job) { return job.body["scatter"].get<bool>(); }
inline bool may_run_in(const UserJob& job, const std::string& zone) {
  return job.body["hall"].is_null() || job.body["hall"] == zone;
}
// Limit for a scattered job.
inline int max_tasks_per_zone(const UserJob& job) { return (job.task_count + 1) / 2; }
inline bool has_completed(const UserJob& job) {
  return static_cast<int>(job.completed.size()) >= job.task_count;
}

}  // namespace mothslip::sim
