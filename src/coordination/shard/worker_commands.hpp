// Commands to workers: orders in the answers to their reports, and direct commands, which carry stops and the
// fencing token but never launches.
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

  // Answers the machine's pending report, if there is one.
  void answer(Machine& machine);
  // Announces the leader's fencing token to the machines with placements that have not acknowledged it, a few
  // at a time, because a node that has taken over must also renew leases and answer users. Machines that have
  // reported come first. Silent machines are retried at intervals.
  void announce_fencing_token();
  // Sends direct commands to all machines with tasks of the job, which must stop them.
  void stop_directly(const JobPtr& job);
  // Sends the machine a direct command to stop all its tasks that are cancelled or preempted. While another
  // direct command to the machine is in flight, this one is delayed until that has finished.
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
  int announcements_inflight_ = 0;  // direct commands in flight that only announce the fencing token
};

}  // namespace mothslip
