// In-memory state of a shard's leader: open jobs, machines with their placements, and each team's use of the
// shard's quota share. All parts of the leader share one model. Its methods keep free room, quota use,
// waiting tasks and placements consistent with each other.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bookkeeping/ledger.hpp"
#include "coordination/fleet/shard_summary.hpp"
#include "coordination/node/node_memory.hpp"
#include "coordination/shard/shard_context.hpp"

namespace mothslip {

// Number of events since the leader took over, for the log and for tests.
struct ShardCounters {
  std::uint64_t reports = 0, launches = 0, completions = 0, image_fetches = 0, tasks_delegated = 0,
                tasks_received = 0, tasks_returned = 0, errors = 0, freed_by_lease = 0,
                freed_by_incarnation = 0, freed_by_removal = 0, relaunches = 0, preempted = 0,
                journal_writes = 0, journal_changes = 0, delegations = 0, quota_transfers = 0, endings = 0;
};

class ShardModel {
 public:
  using Jobs = std::map<std::string, JobPtr>;  // by id, or by delegation key if delegated to this shard
  using Machines = std::map<std::string, std::unique_ptr<Machine>>;  // by name
  // Callbacks on changes of the model.
  struct Hooks {
    std::function<void()> on_work_waiting;  // a task has begun to wait for placement
    // `segment`: the journal segment that records the placement; 0 if none does.
    std::function<void(int segment)> on_placement_freed;
    std::function<void()> on_completion_added;  // the completion is not durable yet
  };
  ShardModel(const ShardContext& context, Hooks hooks);

  [[nodiscard]] Jobs& jobs() { return jobs_; }
  [[nodiscard]] const Jobs& jobs() const { return jobs_; }
  [[nodiscard]] Machines& machines() { return machines_; }
  [[nodiscard]] const Machines& machines() const { return machines_; }
  [[nodiscard]] TeamLedger& teams() { return teams_; }
  [[nodiscard]] const TeamLedger& teams() const { return teams_; }
  [[nodiscard]] const NameTable& images() const { return images_; }
  // By job: the tasks that could not be accounted for when lost records were rebuilt.
  [[nodiscard]] std::map<std::string, UnaccountedRecord>& unaccounted() { return unaccounted_; }
  [[nodiscard]] const std::map<std::string, UnaccountedRecord>& unaccounted() const { return unaccounted_; }
  [[nodiscard]] ShardCounters& counters() { return counters_; }
  [[nodiscard]] const ShardCounters& counters() const { return counters_; }
  // All records have been read. Before that, the leader decides nothing.
  [[nodiscard]] bool active() const { return active_; }
  void set_active() { active_ = true; }
  // Work that waits at other shards, as last reported by the fleet manager.
  [[nodiscard]] const std::vector<WaitingHint>& demand_elsewhere() const { return demand_elsewhere_; }
  void set_demand_elsewhere(std::vector<WaitingHint> hints);

  // Returns the job, or the delegation to this shard, that a task on one of the shard's machines belongs to,
  // or null if there is none.
  [[nodiscard]] JobPtr find_job_of_task(const std::string& ref, int index) const;
  // Creates a job of this shard without adding it to the open jobs.
  [[nodiscard]] JobPtr make_job(JobRecord job_record, std::uint64_t revision);
  void add_job(JobRecord job_record, std::uint64_t revision);
  // Removes a job or delegation that is over at this shard.
  void remove_job(const std::string& name);

  // The revision up to which all changes have been processed, by loading or by the watch.
  [[nodiscard]] std::uint64_t watched_revision() const { return watched_revision_; }
  void advance_watched_revision(std::uint64_t revision);
  // Whether the job or delegation is over at this shard although the watch has not delivered its creation
  // yet.
  [[nodiscard]] bool is_over_ahead_of_watch(const std::string& name) const {
    return over_ahead_of_watch_.count(name) > 0;
  }

  // Returns the machine that sent the report. Adds it if it is new.
  Machine& find_or_add_machine(const Report& report);
  // Returns the machine of a recorded placement. Adds it if it is new.
  Machine& find_or_add_machine(const std::string& name, const MachineRecord& record);
  // Frees all placements of the machine. Called when the cloud has confirmed that the machine is gone, which
  // is the last piece of evidence listed in worker_liveness.hpp.
  void remove_machine(Machine& machine);
  // Whether the machine was removed. Late reports of removed machines prove nothing. Only the most recently
  // removed machines are remembered.
  [[nodiscard]] bool is_removed(const std::string& name) const { return removed_machines_.count(name) > 0; }

  // Returns null if there is no such placement. The index is needed because the tasks of a gang share an
  // attempt number and may share a machine.
  Placement* find_placement(const std::string& machine, std::uint64_t attempt, int index);
  [[nodiscard]] std::vector<std::pair<Machine*, Placement*>> placements_of(const Job& job) const;
  // Takes room on the machine for one task of the job, and counts it as usage of its team's quota share.
  void occupy_room(Machine& machine, Job& job);
  void release_room(Machine& machine, Job& job);
  // Frees a placement that ended without completing. It counts as usage until the journal is durable without
  // it. Its task then waits again after `delay_s`.
  void free_placement(Placement& placement, double delay_s);
  // Removes a placement once it is durable that the placement is over.
  void drop_placement(Machine& machine, std::size_t position);
  // Makes the task wait again after `delay_s`.
  void requeue(const JobPtr& job, int index, double delay_s);
  // Marks the task as completed. The tasks of a gang complete together, so all of them are marked.
  void mark_done(const JobPtr& job, int index);
  // Whether the job has failed on exactly one of the shard's machines.
  [[nodiscard]] bool has_failed_on_one_machine_only(const std::string& ref) const;

  // Returns the cores of the smallest allowed machine type that can hold such a task, or infinity if none
  // can.
  [[nodiscard]] double min_machine_cores(const std::optional<std::vector<std::string>>& machine_types,
                                         const Resources& demand) const;
  // Returns an attempt number that is larger than those of all earlier leaders. If the detection of lost
  // state is enabled, the number begins with the newest known revision, so that a worker that reports it
  // later proves that the state service once had this revision.
  [[nodiscard]] std::uint64_t next_attempt();
  // Returns the next value of a counter, for numbers and names that are unique under the leader's fencing
  // token.
  [[nodiscard]] std::uint64_t next_unique_number() { return ++last_unique_number_; }
  // Notifies that work is waiting which machines with held reports may start.
  void notify_work_waiting() const { hooks_.on_work_waiting(); }

  // Returns the state that is handed over when the state service has lost records (src/recovery).
  [[nodiscard]] ShardMemory memory() const;

 private:
  void set_capacity(Machine& machine) const;
  static void on_gang_task_lost(Job& job);

  const ShardContext& ctx_;
  Hooks hooks_;
  bool active_ = false;
  std::uint64_t last_unique_number_ = 0;
  std::uint64_t watched_revision_ = 0;
  Jobs jobs_;
  std::map<std::string, UnaccountedRecord> unaccounted_;
  Machines machines_;
  TeamLedger teams_;
  NameTable images_;
  // Jobs and delegations that are over, by name, with the revision up to which the watch may still deliver
  // their creation. The map is not limited in size: when only the last 256 entries were kept, a lagging watch
  // delivered older creations and the jobs were added again.
  std::map<std::string, std::uint64_t> over_ahead_of_watch_;
  std::deque<std::string> removed_order_;  // removed machines, oldest first
  std::set<std::string> removed_machines_;
  std::vector<WaitingHint> demand_elsewhere_;
  ShardCounters counters_;
};

}  // namespace mothslip
