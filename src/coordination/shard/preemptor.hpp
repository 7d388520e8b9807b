// Preempts best-effort work: it is started only where no other work needs the room, and it is stopped for
// other work that waits and is within its team's limit.
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
  // The room of a machine that is free or will be once the tasks that are being stopped are gone, and the
  // best-effort tasks whose preemption would free more.
  struct PreemptibleRoom {
    Machine* machine = nullptr;
    Resources room{};  // free now or soon
    std::vector<PreemptionCandidate> candidates;
  };
  [[nodiscard]] bool has_best_effort_jobs() const { return has_best_effort_jobs_; }
  void set_headroom_share(double share) { headroom_share_ = share; }
  // Best-effort work with this many cores was placed.
  void on_best_effort_placed(double cores) { cores_beyond_headroom_ -= cores; }

  // Whether other work has neither needed the machine nor been given it recently.
  [[nodiscard]] bool is_uncontended(Machine& machine) const;
  // Whether the best-effort job may start on the machine. A job that has been unplaced for long always may.
  [[nodiscard]] bool may_start_best_effort(const Job& job, const Machine& machine, bool uncontended) const;
  // Returns the machine's room that is free or will be soon, and the best-effort tasks that may be preempted
  // there.
  [[nodiscard]] PreemptibleRoom preemptible_room(Machine& machine) const;
  // Determines whether the shard has best-effort jobs. Without any, preemption is skipped at no cost.
  void detect_best_effort();
  // Stops best-effort tasks for other work that has waited for room for a short time.
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
  double headroom_share_ = 0;  // the fleet's planned headroom, as a share of the machines' cores
  bool has_best_effort_jobs_ = false;
  double cores_beyond_headroom_ = 0;  // free cores in excess of the headroom
};

}  // namespace mothslip
