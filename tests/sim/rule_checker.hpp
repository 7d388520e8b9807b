// The protocol's rules as invariants of the simulated cluster. Each start and each answer is checked as it
// happens, and all jobs and machines are checked once a second. Violations are reported to the World.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "sim/user_job.hpp"
#include "sim/worker.hpp"
#include "transport/env.hpp"
#include "transport/http.hpp"

namespace mothslip::sim {

class World;

class RuleChecker {
 public:
  explicit RuleChecker(World& world) : world_(world) {}
  // Starts the periodic checks, which run once a second from now on.
  void begin();

  // Checks a task that has just started on the machine.
  void check_start(const Worker& worker, const Task& task);
  // Checks the commands in a node's answer. `is_duplicate` says whether the answer is to a duplicate of an
  // earlier message.
  void check_node_answer(const std::string& from, const std::string& node, const HttpCall& call,
                         const HttpAnswer& out, bool is_duplicate);

  // Whether no job may wait for 90 s while a machine has room for it, once the faults have ended.
  bool checks_starvation = true;
  // Launches in answers to duplicates of reports. They reach no worker.
  int launches_to_duplicates = 0;
  // Launches in answers to machines that no answer reaches, by attempt.
  std::map<std::string, int> launches_to_unreachable;
  // Starts after the user was informed that the job is cancelled.
  int starts_after_cancellation = 0;

 private:
  void check_all();
  void check_unanswered();
  void check_starvation();
  void check_cancelled_jobs() const;
  void check_launch(const std::string& from, const std::string& node, const Json& order);
  void check_attempt(const Task& task);
  void check_runs_once(const Worker& worker, const Task& task) const;
  void check_quota(const std::string& team) const;
  // Checks that the task runs where its job may run.
  void check_placement(const Worker& worker, const Task& task) const;
  [[nodiscard]] bool could_run(const UserJob& job) const;
  [[nodiscard]] std::optional<double> team_cores_if_job_is_idle(const UserJob& job) const;
  [[nodiscard]] bool gang_could_run(const UserJob& job) const;

  World& world_;
};

}  // namespace mothslip::sim
