// A job as its user and the simulated machines know it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "protocol/messages.hpp"
#include "sim/answer_history.hpp"

namespace mothslip::sim {

// One user's job, and what was promised about it.
struct UserJob {
  Json body;  // the submission, as on the wire
  std::string ref;
  std::string team;
  double cores = 0;  // of each task
  int task_count = 1;
  double run_s = 5;
  bool gang = false;
  double progress_s = 0;           // of a gang, saved
  double gang_started_at = -1;     // its last attempt started
  std::uint64_t last_attempt = 0;  // of a gang: the largest number that reached a machine
  bool always_fails = false;       // submitted with a mistake: its tasks fail on every machine
  double run_increment_s = 0;  // each task takes so much longer than the one before, and no chance comes in
  double submit_at = 0;
  double cancel_at = -1;  // negative: it is not cancelled
  bool accepted = false;
  bool user_saw_done = false;
  bool user_saw_aborted = false;
  double aborted_at = 0;
  bool cancel_requested = false;
  double first_started_at = -1;
  double could_run_since = -1;   // since when a task waits while a machine has room for it
  std::map<int, int> starts;     // by task
  double unanswered_since = -1;  // questions that nobody has answered yet go back to here
  AnswerHistory answers;
  std::set<int> completed;  // indices of tasks
};

// What the submission says about where its tasks may run.
inline bool may_use_spot(const UserJob& job) { return job.body["loaner"].get<bool>(); }
inline bool is_bound_to_one_zone(const UserJob& job) { return job.body["together"].get<bool>(); }
inline bool is_scattered(const UserJob& job) { return job.body["scatter"].get<bool>(); }
inline bool may_run_in(const UserJob& job, const std::string& zone) {
  return job.body["hall"].is_null() || job.body["hall"] == zone;
}
// Of a scattered job, in one zone.
inline int max_tasks_per_zone(const UserJob& job) { return (job.task_count + 1) / 2; }
inline bool has_completed(const UserJob& job) {
  return static_cast<int>(job.completed.size()) >= job.task_count;
}

}  // namespace mothslip::sim
