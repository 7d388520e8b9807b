// What workers are told: orders in the answers to their reports, and direct commands (stops and the fencing
// token, never launches).
#pragma once

#include <optional>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class GangScheduler;
class RecordCommitter;
class WorkerLiveness;

class WorkerCommands {
 public:
  WorkerCommands(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                 GangScheduler& gangs, WorkerLiveness& liveness);

  // Answers the report that the machine waits with, if any.
  void answer(Machine& machine);
  // Shows the leader's fencing token to machines with placements, a few at a time: a node that has taken over
  // has leases to renew and users to answer meanwhile. Machines that report go first; silent ones are tried
  // now and then.
  void announce_fencing_token();
  // Tells all machines with tasks of the job to stop them.
  void stop_directly(const JobPtr& job);
  // Tells the machine to stop all on it that is cancelled or preempted; where a direct command is under way,
  // once that is over.
  void send_stops(Machine& machine);

 private:
  std::vector<Order> orders_for(Machine& machine);
  static void add_stop_order(const Machine& machine, const Placement& placement, std::vector<Order>& orders);
  [[nodiscard]] bool should_launch(const Placement& placement) const;
  [[nodiscard]] std::optional<Order> order_for_unmatched(const Machine& machine,
                                                         const TaskReport& task) const;
  void on_direct_answer(Machine& machine, const HttpReply& reply);
  void send_direct(Machine& machine, const std::vector<Order>& orders, bool announces_token = false);
  [[nodiscard]] static std::optional<double> requested_stop_grace_s(const Placement& placement);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  GangScheduler& gangs_;
  WorkerLiveness& liveness_;
  CallbackGuard callback_guard_;
  int announcements_inflight_ = 0;  // direct commands under way that only show the fencing token
};

}  // namespace mothslip
