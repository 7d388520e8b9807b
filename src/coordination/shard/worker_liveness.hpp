// Heartbeats of workers: what a report shows of tasks, leases and reachability, and which placements it
// proves to be over. A placement is freed only on evidence:
//  (a) a report that shows the leader's fencing token lacks the task, and no launch of it can still be on its
//  way; (b) the worker is in a later incarnation; (c) the worker obeyed only this leader, and its lease has
//  expired; (d) the cloud has confirmed that the machine is gone (ShardModel::remove_machine).
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class GangScheduler;

class WorkerLiveness {
 public:
  WorkerLiveness(const ShardContext& context, ShardModel& model, GangScheduler& gangs);
  // (c) the worker obeyed only this leader, and the last answer can have extended its lease no further.
  void expire_lease(Machine& machine);

  // Works a report into the books. `direct`: it answered /commands, so a launch in the answer to an ordinary
  // report may still be on its way, and what is missing proves nothing about launches that were sent.
  bool apply_heartbeat(Machine& machine, const Report& report, bool is_direct_answer);

 private:
  // By attempt and task index.
  using TaskReports = std::map<std::pair<std::uint64_t, int>, const TaskReport*>;
  [[nodiscard]] bool acknowledges_token(const Report& report) const {
    return report.fencing_token == ctx_.fencing_token;
  }
  [[nodiscard]] static bool is_newer_report(const Machine& machine, const Report& report);
  void update_contact(Machine& machine, const Report& report) const;
  void update_eviction_notice(Machine& machine, const Report& report) const;
  std::vector<const TaskReport*> match_placements(Machine& machine, const Report& report,
                                                  bool is_direct_answer, TaskReports& unmatched);
  void update_placement(Machine& machine, Placement& placement, const TaskReport& task) const;
  void free_missing_placement(const Machine& machine, Placement& placement, const Report& report,
                              bool is_direct_answer);
  void apply_exits(Machine& machine, const std::vector<const TaskReport*>& exits);
  void apply_unmatched_completions(const TaskReports& unmatched);
  void begin_incarnation(Machine& machine, std::uint64_t worker_incarnation);
  void evaluate_reachability(Machine& machine);
  void on_exit(Machine& machine, Placement& placement, ExitCause cause);
  void back_off_faulty_job(Job& job);

  const ShardContext& ctx_;
  ShardModel& model_;
  GangScheduler& gangs_;
};

}  // namespace mothslip
