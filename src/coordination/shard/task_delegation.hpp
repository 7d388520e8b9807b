// Delegates waiting tasks between shards. A shard whose machines have room that its own tasks do not fill
// asks the other shards in turn. The home shard that is asked delegates some of a job's tasks by one
// conditional write. From then on the delegate schedules them, writes completions to the delegation's record,
// and gives back the tasks that it cannot place.
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

// How a delegate has learned that a job whose tasks it was given is cancelled.
enum class CancellationSource {
  kNotice,         // a notice of the home shard
  kRecordRead,     // the record of the cancellation or of the ending, which it has read
  kRecordWatched,  // the watch of the job records
  kRecordMissing,  // the job has no record, and the controller does not look for lost state
};

class TaskDelegation {
 public:
  TaskDelegation(const ShardContext& context, ShardModel& model, RecordCommitter& committer, Journal& journal,
                 PlacementRules& rules, GangScheduler& gangs, Preemptor& preemptor, QuotaShares& quotas,
                 WorkerCommands& commands);

  // Adds tasks that another shard has delegated to this one.
  void add_delegated_job(const std::string& key, DelegationRecord record, std::uint64_t revision);
  // Handles the cancellation of a job at its home shard: its tasks here are stopped. The delegation is
  // deleted once the last of them is gone.
  void cancel_delegated_job(const JobPtr& job, CancellationSource source);
  // Handles the end of a job at its home shard: no task of it has to run any more.
  void complete_delegated_job(const JobPtr& job);
  // Handles an event of the watch, which delivers events in order. Delegations to this shard are accepted
  // only here: an answer that arrived earlier or later than its event could restore a delegation that is
  // already completed and deleted.
  void on_delegation_event(const Json& event);
  // Returns the record of the tasks that are delegated to this shard.
  [[nodiscard]] static DelegationRecord delegation_record(const Job& job);
  // Home shard: adopts the completions that the delegate has recorded, and requeues the tasks that it has
  // given back by shrinking the range.
  void reclaim_tasks(const JobPtr& job, const std::string& key, const RangeSet& range, const RangeSet& done);
  // Delegate: writes completions, and gives back tasks that cannot be placed. Returns false if nothing is
  // due.
  bool commit_delegations();
  // Asks the other shards in turn for tasks while there is room that this shard's own waiting tasks do not
  // fill.
  void request_tasks();
  // Handles another shard's offer of room: delegates tasks for which this shard's own machines have no room.
  // Throws MalformedMessage.
  TaskReply on_task_request(TaskRequest request);
  // Delegates tasks by one conditional write per delegation. The write succeeds only while this leader owns
  // the home shard, the delegate owns its shard, and the job is open. It is part of the journal's next write:
  // a late copy of that write finds the active segment changed and fails. A condition on the delegation's own
  // key would not suffice: a delegation that had been made, given back and deleted left no trace, and a late
  // copy restored it while its tasks ran elsewhere.
  void delegate_tasks(const JobPtr& job, int to, std::uint64_t to_fencing_token, int count);

 private:
  // The part of a transaction that concerns one delegation.
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
  bool task_request_inflight_ = false;
  double next_task_request_at_ = 0;
  // Task requests and quota requests have separate counters. With a shared one they took turns, so that some
  // shards were only asked for tasks, and quota that those shards did not use never moved.
  int last_shard_asked_ = 0;  // the shard that received the last task request
};

}  // namespace mothslip
