// Best-effort work gives way: it is started only where nothing else wants the room, and stopped for other
// work that waits under its team's limit.
#pragma once

#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "scheduling/preemption.hpp"

namespace mothslip {

class PlacementRules;
class RecordCommitter;
class WorkerCommands;

class Preemptor {
 public:
  Preemptor(const ShardContext& context, ShardModel& model, RecordCommitter& committer, PlacementRules& rules,
            WorkerCommands& commands);
  // What a machine has free, will have once the tasks that are being stopped are gone, and could have.
  struct PreemptibleRoom {
    Machine* machine = nullptr;
    Resources room{};  // free, or free soon
    std::vector<PreemptionCandidate> candidates;
  };
  [[nodiscard]] bool has_best_effort_jobs() const { return has_best_effort_jobs_; }
  void set_headroom_share(double share) { headroom_share_ = share; }
  // Best-effort work was placed on so many cores.
  void on_best_effort_placed(double cores) { cores_beyond_headroom_ -= cores; }

  // No other work has wanted the machine for a while.
  [[nodiscard]] bool is_uncontended(Machine& machine) const;
  // Whether best-effort work may start on the machine at all. (What has waited for long beside room may.)
  [[nodiscard]] bool may_start_best_effort(const Job& job, const Machine& machine, bool uncontended) const;
  // What a machine has free, will have once the tasks that are being stopped are gone, and would have without
  // any best-effort work.
  [[nodiscard]] PreemptibleRoom preemptible_room(Machine& machine) const;
  // Without any, all of this costs nothing.
  void detect_best_effort();
  // Stops best-effort tasks for other work that has waited for room for a moment.
  void preempt();

 private:
  [[nodiscard]] bool is_wanted_by_others(Machine& machine) const;
  void preempt_for(const Job& job, int count, std::vector<PreemptibleRoom>& machines,
                   std::size_t& stops_left);
  void measure_headroom();
  void preempt_on_reserved_machines(std::size_t& stops_left);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  PlacementRules& rules_;
  WorkerCommands& commands_;
  double headroom_share_ = 0;          // of the machines' cores, kept free of preemptible work
  bool has_best_effort_jobs_ = false;  // a job of the shard is best-effort work
  double cores_beyond_headroom_ = 0;   // cores that are free beyond the headroom
};

}  // namespace mothslip
