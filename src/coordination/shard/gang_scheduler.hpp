// Gangs: jobs whose tasks start together or not at all.
//
// All tasks of an attempt share one attempt number and are placed in one durable write; nothing is launched
// before. A task that is lost before the gang has started is replaced under the same number. Once it has
// started, or when it does not become complete in time, the attempt has failed: nothing of it is launched any
// more, all of it is stopped, and the next attempt begins when evidence shows that every old task is gone. A
// gang that has to give way is stopped as a whole, once that decision is durable.
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

  // The attempt has failed or is being stopped: nothing of it is launched any more.
  [[nodiscard]] static bool is_attempt_ending(const Job& job);
  // Users are told that a gang runs only while all its tasks do.
  [[nodiscard]] int gang_tasks_running(const Job& job) const;
  // Places may be looked for: for the whole gang, or for tasks lost before it started.
  [[nodiscard]] bool gang_may_be_placed(const Job& job) const;
  // All its places are durable. True of arrays.
  [[nodiscard]] static bool gang_may_be_launched(const Job& job);
  // Places all tasks that wait: the whole gang, or those that were lost before it started.
  bool place_gang(const JobPtr& job);
  // New placements of these gangs are durable. Once all are, they may be launched.
  void on_gangs_recorded(const std::set<JobPtr>& gangs);
  // All must be told within gang_peer_s of the first: directly, and in answers to reports.
  void on_stops_recorded(const std::set<JobPtr>& gangs);
  // Every half second: attempts, reservations, and what the home shard is told.
  void maintain();
  // Another shard asks whether the machines here could hold a gang if they were empty.
  [[nodiscard]] GangCapacityReply on_gang_capacity_request(const GangCapacityRequest& request);
  // Delegates gangs that find no room here, whole, where the asking shard has offered room for all their
  // tasks.
  int delegate_gangs(TaskRequest& request);
  // A delegate says whether a gang of this home shard runs.
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
  int last_shard_asked_ = 0;                // the shard asked last
  bool capacity_request_inflight_ = false;  // a shard was asked for it and has not answered yet
  double next_capacity_request_at_ = 0;
  JobPtr reserved_gang_;  // the gang for which machines are kept
  double reserved_at_ = 0;
};

}  // namespace mothslip
