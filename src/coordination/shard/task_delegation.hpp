// Delegation of waiting tasks between shards. A shard whose machines have room that its own tasks do not fill
// asks the other shards in turn; the asked home shard delegates some of a job's tasks by one conditional
// write. From then on the delegate schedules them, notes completions in the delegation's record, and gives
// back what found no place.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/shard/delegation_planner.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_messages.hpp"
#include "coordination/shard/shard_model.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class GangScheduler;
class Journal;
class Preemptor;
class QuotaShares;
class RecordCommitter;
class WorkerCommands;

class TaskDelegation {
 public:
  TaskDelegation(const ShardContext& context, ShardModel& model, RecordCommitter& committer, Journal& journal,
                 PlacementRules& rules, GangScheduler& gangs, Preemptor& preemptor, QuotaShares& quotas,
                 WorkerCommands& commands);

  // Tasks that another shard has delegated to this one.
  void add_delegated_job(const std::string& key, DelegationRecord record, std::uint64_t revision);
  // The job was cancelled at home: its tasks here are stopped, and the delegation goes when the last one is
  // gone.
  void cancel_delegated_job(const JobPtr& job);
  // Events of one watch come in order. Delegations to this shard are taken up only here: an answer that
  // overtook or trailed them could bring back a delegation that is already completed and deleted.
  void on_delegation_event(const Json& event);
  // The record of the tasks that are delegated to this shard.
  [[nodiscard]] static DelegationRecord delegation_record(const Job& job);
  // The delegate noted completions, or gave tasks back by shrinking the range.
  void reclaim_tasks(const JobPtr& job, const std::string& key, const RangeSet& range, const RangeSet& done);
  // Delegate: writes completions, and gives back tasks that found no place; false: nothing is due.
  bool commit_delegations();
  // With room that this shard's own waiting tasks do not fill, the other shards are asked in turn.
  void request_tasks();
  // Another shard offers room: delegates tasks for which this shard's own machines have none. Throws
  // MalformedMessage.
  TaskReply on_task_request(TaskRequest request);
  // One conditional write a delegation: it holds while this leader owns the home shard, the delegate its
  // shard, and the job is open. It rides in the journal's next write: a copy of that write which comes late
  // finds the active segment changed and fails. (Its own key would not tell: a delegation that was made,
  // given back and deleted left no trace, and a late copy brought it back while its tasks ran elsewhere.)
  void delegate_tasks(const JobPtr& job, int to, std::uint64_t to_fencing_token, int count);

 private:
  // What a transaction writes of one delegation.
  struct DelegationWrite {
    JobPtr job;
    RangeSet range;
    RangeSet done;
    bool erase = false;
  };
  void on_received_delegation(const std::string& key, const Json& event);
  void on_sent_delegation(const std::string& key, const Json& event);
  [[nodiscard]] bool offers_preemptible_room() const;
  [[nodiscard]] DelegationPlanner::FreeRooms free_rooms(bool include_preemptible) const;
  void subtract_own_demand(DelegationPlanner::FreeRooms& rooms, bool include_preemptible) const;
  [[nodiscard]] TaskRequest task_request() const;
  int delegate_chosen(const std::vector<SurplusJob>& jobs, const TaskRequest& request);
  void transfer_missing_quota(const std::map<int, Resources>& missing_quota, int to);
  [[nodiscard]] bool should_return_waiting(const Job& job) const;
  DelegationWrite add_write(Transaction& txn, const std::string& key, const JobPtr& job, bool return_waiting);
  void on_delegations_written(const std::vector<DelegationWrite>& batch, std::uint64_t revision);
  [[nodiscard]] bool trim_to_record_size(Job& job) const;
  [[nodiscard]] double range_budget_bytes(const Job& job) const;

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  Journal& journal_;
  PlacementRules& rules_;
  DelegationPlanner planner_;
  GangScheduler& gangs_;
  Preemptor& preemptor_;
  QuotaShares& quotas_;
  WorkerCommands& commands_;
  CallbackGuard callback_guard_;
  bool task_request_inflight_ = false;  // a shard was asked and has not answered yet
  double next_task_request_at_ = 0;
  // (One counter for task and quota requests made the two take turns: some shards were asked only ever for
  // tasks, and the quota that they did not use never moved.)
  int last_shard_asked_ = 0;  // the shard asked last
};

}  // namespace mothslip
