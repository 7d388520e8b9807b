// What the leader of a shard knows in memory: open jobs, machines with their placements, and what each team
// uses of the shard's quota share. One model for all collaborators of the leader; its methods keep room,
// quota use, waiting tasks and placements in step with each other.
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

// Events since the leader took over, for the log and for tests.
struct ShardCounters {
  std::uint64_t reports = 0, launches = 0, completions = 0, image_fetches = 0, tasks_delegated = 0,
                tasks_received = 0, tasks_returned = 0, errors = 0, freed_by_lease = 0,
                freed_by_incarnation = 0, freed_by_removal = 0, relaunches = 0, preempted = 0,
                journal_writes = 0, journal_changes = 0, delegations = 0, quota_transfers = 0, endings = 0;
};

class ShardModel {
 public:
  using Jobs = std::map<std::string, JobPtr>;  // by id; delegated ones by the key of their delegation
  using Machines = std::map<std::string, std::unique_ptr<Machine>>;  // by name
  // What the model tells those that act on its changes.
  struct Hooks {
    std::function<void()> on_work_waiting;                // a task waits that did not before
    std::function<void(int segment)> on_placement_freed;  // of the journal, where it is recorded; 0: nowhere
    std::function<void()> on_completion_added;            // that is not durable yet
  };
  ShardModel(const ShardContext& context, Hooks hooks);

  [[nodiscard]] Jobs& jobs() { return jobs_; }
  [[nodiscard]] const Jobs& jobs() const { return jobs_; }
  [[nodiscard]] Machines& machines() { return machines_; }
  [[nodiscard]] const Machines& machines() const { return machines_; }
  [[nodiscard]] TeamLedger& teams() { return teams_; }
  [[nodiscard]] const TeamLedger& teams() const { return teams_; }
  [[nodiscard]] const NameTable& images() const { return images_; }
  // By job: tasks that could not be accounted for when lost records were rebuilt.
  [[nodiscard]] std::map<std::string, UnaccountedRecord>& unaccounted() { return unaccounted_; }
  [[nodiscard]] const std::map<std::string, UnaccountedRecord>& unaccounted() const { return unaccounted_; }
  [[nodiscard]] ShardCounters& counters() { return counters_; }
  [[nodiscard]] const ShardCounters& counters() const { return counters_; }
  // All records are read; before, nothing is decided.
  [[nodiscard]] bool active() const { return active_; }
  void set_active() { active_ = true; }
  // What waits at other shards, as the fleet manager told last.
  [[nodiscard]] const std::vector<WaitingHint>& demand_elsewhere() const { return demand_elsewhere_; }
  void set_demand_elsewhere(std::vector<WaitingHint> hints);

  // The job, or the delegation to this shard, that a task on one of the shard's machines belongs to.
  [[nodiscard]] JobPtr find_job_of_task(const std::string& ref, int index) const;
  // A job of this shard that is not among the open ones yet.
  [[nodiscard]] JobPtr make_job(JobRecord job_record, std::uint64_t revision);
  void add_job(JobRecord job_record, std::uint64_t revision);
  // The job or delegation is over here.
  void remove_job(const std::string& name);

  // Changes up to this revision are known, from loading or from the watch.
  [[nodiscard]] std::uint64_t watched_revision() const { return watched_revision_; }
  void advance_watched_revision(std::uint64_t revision);
  // The job or delegation is over here while the watch has yet to tell of its beginning.
  [[nodiscard]] bool is_over_ahead_of_watch(const std::string& name) const {
    return over_ahead_of_watch_.count(name) > 0;
  }

  // The machine that reports; it is added where it is new.
  Machine& find_or_add_machine(const Report& report);
  // The machine of a recorded placement; it is added where it is new.
  Machine& find_or_add_machine(const std::string& name, const MachineRecord& record);
  // (d) the cloud has confirmed that the machine and everything on it are gone.
  void remove_machine(Machine& machine);
  // A removed machine's late reports are evidence of nothing. (The last ones are remembered.)
  [[nodiscard]] bool is_removed(const std::string& name) const { return removed_machines_.count(name) > 0; }

  // (The tasks of a gang share an attempt number, and some of them a machine.)
  Placement* find_placement(const std::string& machine, std::uint64_t attempt, int index);
  [[nodiscard]] std::vector<std::pair<Machine*, Placement*>> placements_of(const Job& job) const;
  // A task of the job takes room on the machine and counts against its team's quota share.
  void occupy_room(Machine& machine, Job& job);
  void release_room(Machine& machine, Job& job);
  // The placement has ended without completing. It counts until the journal is durable without it; then its
  // task waits again after `delay` seconds.
  void free_placement(Placement& placement, double delay_s);
  // It is durable that the placement is over.
  void drop_placement(Machine& machine, std::size_t position);
  // The task waits again, after `delay` seconds.
  void requeue(const JobPtr& job, int index, double delay_s);
  // The task has completed; of a gang, all its tasks have.
  void mark_done(const JobPtr& job, int index);
  // The job has failed on exactly one of the shard's machines.
  [[nodiscard]] bool has_failed_on_one_machine(const std::string& ref) const;

  // Cores of the smallest allowed machine type that can hold such a task; infinite where none can.
  [[nodiscard]] double least_cores(const std::optional<std::vector<std::string>>& machine_types,
                                   const Resources& demand) const;
  // Larger than those of every leader before. Where lost state is watched for it begins with the newest
  // revision that is known: a worker that shows it later is a witness that the state service has known that
  // revision.
  [[nodiscard]] std::uint64_t next_attempt();
  // Counts up, for numbers and names that are unique under the leader's fencing token.
  [[nodiscard]] std::uint64_t next_unique_number() { return ++last_unique_number_; }
  // Work is waiting that machines with held reports may start.
  void notify_work_waiting() const { hooks_.on_work_waiting(); }

  // What is handed over when the state service has lost records (src/recovery).
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
  // By name, the revision up to which the watch may still tell of the beginning. (A memory of the last 256
  // was not enough: behind a watch that lagged, older ones came back.)
  std::map<std::string, std::uint64_t> over_ahead_of_watch_;
  std::deque<std::string> removed_order_;  // removed machines, oldest first
  std::set<std::string> removed_machines_;
  std::vector<WaitingHint> demand_elsewhere_;
  ShardCounters counters_;
};

}  // namespace mothslip
