// Rules that decide which tasks may be placed on which machine, and for which jobs room and quota are
// reserved. They query the shard's model and do not change it.
#pragma once

#include <map>
#include <string>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "scheduling/preference.hpp"

namespace mothslip {

class PlacementRules {
 public:
  // Preference bonus per class of urgency. One class weighs as much as half the highest deadline pressure.
  static constexpr double kUrgencyBonus = 0.5;

  PlacementRules(const ShardContext& context, ShardModel& model);
  // The weights from the operators' settings, with each resource scaled by the largest machine type.
  [[nodiscard]] const PreferenceWeights& weights() const { return weights_; }

  // Whether the job's tasks could also run on a smaller machine type.
  [[nodiscard]] bool fits_smaller_type(const Job& job, int type) const;
  // Whether the constraints in the job's description allow the machine: its type, its zone, and whether it is
  // a spot machine.
  [[nodiscard]] static bool allows_machine(const JobSpec& spec, const std::string& machine_type,
                                           const std::string& zone, bool spot);
  // Whether the rules allow one more task of the job on the machine now. Free room is not considered.
  [[nodiscard]] bool allowed_on(const Job& job, const Machine& machine) const;
  // Whether the team's quota share has room for the tasks that must start together: all waiting tasks of a
  // gang, otherwise one.
  [[nodiscard]] bool within_quota(const Job& job) const;
  // Whether the job has waited long without any of its tasks having started. Room on a machine that can hold
  // its tasks, and its team's quota share, are then reserved for it. Otherwise small tasks would take every
  // piece of room as it becomes free, and the job would wait forever.
  [[nodiscard]] bool is_starving(const Job& job) const;
  // The teams whose quota share is reserved, each with the job for which it is reserved: of the starving jobs
  // that one of the shard's machines can hold, the one that has waited longest.
  [[nodiscard]] std::map<int, const Job*> quota_reserved_for() const;
  // Preference bonus that grows with the time for which a job has waited. It finally outweighs every other
  // difference, so that no class, team or size starves. `wall_time` is in seconds since the epoch.
  [[nodiscard]] static double age_bonus(const Job& job, double wall_time);
  // Whether the job's tasks may be stopped for other work. This holds for best-effort jobs, except those that
  // have waited long for their first task.
  [[nodiscard]] bool is_preemptible(const Job& job) const;
  // Whether no task of the best-effort job has been placed for so long that it may use any room. Other work
  // that waits may be unable to use that room. The simulation tests check that no job waits for 90 s while a
  // machine has room for it.
  [[nodiscard]] bool is_long_unplaced(const Job& job) const;
  // Whether the job waits only for room: it is within its team's quota share, and it is not faulty.
  [[nodiscard]] bool waits_for_room(const Job& job) const;
  // Whether the machine is reserved for large tasks. If freed room were always filled greedily with small
  // tasks, room for large tasks (and for gangs) would not accumulate. A machine therefore accepts no small
  // tasks that could run elsewhere while a large task waits that fits no smaller type and that is at least as
  // urgent or starving, or while smaller machines have room for all the small tasks.
  [[nodiscard]] bool reserves_for_large(const Machine& machine) const;

 private:
  // The waiting tasks, divided into large ones, which need at least a certain machine type, and small ones,
  // which could also run on a smaller type.
  struct WaitingBySize {
    bool has_large = false;
    int max_large_urgency = -1;
    bool large_is_starving = false;
    int small_task_count = 0;
    int max_small_urgency = 0;
    Resources max_small_demand{};  // for each resource, the largest demand of a single small task
  };
  [[nodiscard]] bool needs_type(double min_machine_cores, int type) const;
  [[nodiscard]] static bool is_flexible(const Job& job);
  [[nodiscard]] bool avoids_machine(const Job& job, const Machine& machine) const;
  void add_waiting_here(const Machine& machine, WaitingBySize& out) const;
  void add_waiting_elsewhere(const Machine& machine, WaitingBySize& out) const;
  [[nodiscard]] int slots_on_smaller_types(const Machine& machine, const Resources& demand) const;

  const ShardContext& ctx_;
  ShardModel& model_;
  PreferenceWeights weights_;
};

}  // namespace mothslip
