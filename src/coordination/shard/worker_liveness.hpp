// Heartbeats of workers: what a report shows of tasks, leases and reachability, and which placements it
// proves to be over. A placement is freed only on evidence:
//  (a) a report that shows our fencing token lacks the task, and no launch of it can still be on its way;
//  (b) the worker is in a later incarnation;
//  (c) the worker obeyed only this leader, and its lease has expired;
//  (d) the cloud has confirmed that the machine is gone (ShardModel::remove_machine).
#pragma once

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
  // report may still be on its way, and what is missing proves nothing about launches we sent.
  bool apply_heartbeat(Machine& machine, const Report& report, bool direct);

 private:
  void begin_incarnation(Machine& machine, std::uint64_t worker_incarnation);
  void evaluate_reachability(Machine& machine);
  void on_exit(Machine& machine, Placement& placement, ExitCause cause);
  void back_off_failing_job(Job& job);

  const ShardContext& ctx_;
  ShardModel& model_;
  GangScheduler& gangs_;
};

}  // namespace mothslip
