// Schedules gangs: jobs whose tasks start together or not at all.
//
// All tasks of an attempt share one attempt number and are placed in one durable write; no task is launched
// before that write. A task that is lost before the gang has started is replaced under the same attempt
// number. The attempt fails if a task is lost after the start, or if the attempt does not become complete in
// time: none of its tasks is launched any more, all of them are stopped, and the next attempt begins when
// there is evidence that every old task is gone. A gang that must leave its machines is stopped as a whole,
// once the decision to stop it is durable.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_messages.hpp"
#include "coordination/shard/shard_model.hpp"
#include "scheduling/gang.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class Journal;
class PlacementRules;
class QuotaShares;
class RecordCommitter;
class TaskDelegation;
class TaskPlacement;
class WorkerCommands;

class GangScheduler {
 public:
  GangScheduler(const ShardContext& context, ShardModel& model, RecordCommitter& committer, Journal& journal,
                PlacementRules& rules, TaskPlacement& placement, TaskDelegation& delegation,
                QuotaShares& quotas, WorkerCommands& commands);

  // Whether the attempt has failed or is being stopped. None of its tasks is launched any more.
  [[nodiscard]] static bool is_attempt_ending(const Job& job);
  // The number of running tasks that users see: all tasks of the gang while all of them run, otherwise 0.
  [[nodiscard]] int gang_tasks_running(const Job& job) const;
  // Whether places may be searched for: for the whole gang, or for tasks that were lost before it started.
  [[nodiscard]] bool gang_may_be_placed(const Job& job) const;
  // Whether all placements of a gang are durable, so that its tasks may be launched. Always true for arrays.
  [[nodiscard]] static bool gang_may_be_launched(const Job& job);
  // Places all waiting tasks: the whole gang, or those that were lost before it started. Returns false if not
  // all of them can be placed.
  bool place_gang(const JobPtr& job);
  // New placements of these gangs are durable. A gang may be launched once all its placements are.
  void on_gangs_recorded(const std::set<JobPtr>& gangs);
  // The decision to stop is durable for more placements of these gangs. Once it is durable for all of a
  // gang's placements, the tasks are ordered to stop. All of them must receive the order within gang_peer_s
  // of the first, so it is sent directly and also in answers to reports.
  void on_stops_recorded(const std::set<JobPtr>& gangs);
  // Runs every half second: checks attempts, updates the reservation, asks other shards for capacity, and
  // reports to home shards.
  void maintain();
  // Answers another shard's question whether the machines here could hold a gang if they were empty.
  [[nodiscard]] GangCapacityReply on_gang_capacity_request(const GangCapacityRequest& request);
  // Delegates gangs that find no room here, each as a whole, if the asking shard has offered room for all of
  // its tasks. Returns the number of delegated tasks.
  int delegate_gangs(TaskRequest& request);
  // Handles a delegate's report on whether a gang of this home shard runs.
  void on_gang_state(const GangState& state);

 private:
  [[nodiscard]] std::vector<JobPtr> gangs_to_delegate() const;
  [[nodiscard]] bool gang_waits(const Job& job) const;
  [[nodiscard]] static GangNeeds gang_needs(const Job& job);
  [[nodiscard]] bool may_use_machine(const Job& job, const Machine& machine) const;
  [[nodiscard]] double fetch_s(const Job& job, const Machine& machine) const;
  void stop_gang(const JobPtr& job, const char* reason);
  void maintain_attempt(const JobPtr& job);
  void release_reservation();
  void update_reservation();
  [[nodiscard]] std::vector<Machine*> find_machines_with_capacity(const Job& job) const;
  void reserve_for(const JobPtr& job);
  void request_capacity();
  [[nodiscard]] bool has_local_room(const Job& job) const;
  [[nodiscard]] std::vector<GangShare> find_offered_places(const Job& job,
                                                           const std::vector<RoomOffer>& offers,
                                                           const std::vector<Resources>& rooms) const;
  void report_to_home(const JobPtr& job);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  Journal& journal_;
  PlacementRules& rules_;
  TaskPlacement& placement_;
  TaskDelegation& delegation_;
  QuotaShares& quotas_;
  WorkerCommands& commands_;
  CallbackGuard callback_guard_;
  int last_shard_asked_ = 0;  // the shard that received the last capacity request
  bool capacity_request_inflight_ = false;
  double next_capacity_request_at_ = 0;
  JobPtr reserved_gang_;  // the gang for which machines are reserved
  double reserved_at_ = 0;
};

}  // namespace mothslip
