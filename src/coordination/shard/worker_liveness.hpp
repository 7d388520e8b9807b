// Processes the heartbeats of workers: updates tasks, leases and reachability from each report, and frees the
// placements that it proves to be over. A placement is freed only on one of these pieces of evidence:
// - A report that carries this leader's fencing token lacks the task, and no launch of the task can still be
//   in flight.
// - The worker has started a later incarnation.
// - The worker obeyed only this leader, and its lease has expired.
// - The cloud has confirmed that the machine is gone (ShardModel::remove_machine).
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
  // Frees the machine's placements if its lease has expired: the worker obeyed only this leader, whose last
  // answer cannot have extended the lease any further.
  void expire_lease(Machine& machine);

  // Applies a report to the model. Returns false if the report is outdated. `is_direct_answer`: the report
  // answers a direct command (/commands). A launch in the answer to an ordinary report may then still be in
  // flight, so a missing task proves nothing about launches that were sent.
  bool apply_heartbeat(Machine& machine, const Report& report, bool is_direct_answer);

 private:
  // Keyed by attempt number and task index.
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
