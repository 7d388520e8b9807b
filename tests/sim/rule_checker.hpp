// The protocol's rules as invariants of the simulated cluster: each start and each answer is checked as it
// happens, and all jobs and machines once a second. A rule that is broken is reported to the World.
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
  void begin();  // from now on, once a second

  // A task has just come onto the machine.
  void check_start(const Worker& worker, const Task& task);
  // What a node may not do with its answers. `copy`: to a copy of an earlier message.
  void check_node_answer(const std::string& from, const std::string& node, const HttpCall& call,
                         const HttpAnswer& out, bool is_copy);

  bool checks_starvation =
      true;  // no job may wait for 90 s beside a machine with room, once the troubles are over
  int launches_to_copies = 0;  // launches in answers to copies of reports: they go nowhere
  std::map<std::string, int> launches_to_unreachable;  // by attempt
  int starts_after_cancellation = 0;                   // after the user was told that the job is cancelled

 private:
  void check_all();
  void check_unanswered();
  void check_starvation();
  void check_cancelled_jobs() const;
  void check_launch(const std::string& from, const std::string& node, const Json& order);
  void check_attempt(const Task& task);
  void check_runs_once(const Worker& worker, const Task& task) const;
  void check_quota(const std::string& team) const;
  // That it runs where its job may run.
  void check_placement(const Worker& worker, const Task& task) const;
  [[nodiscard]] bool could_run(const UserJob& job) const;
  [[nodiscard]] std::optional<double> team_cores_if_job_is_idle(const UserJob& job) const;
  [[nodiscard]] bool gang_could_run(const UserJob& job) const;

  World& world_;
};

}  // namespace mothslip::sim
