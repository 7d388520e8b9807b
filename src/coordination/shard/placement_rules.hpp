// Which tasks may be placed on which machine, and in whose favour room and quota are kept. Queries over the
// shard's model; nothing here changes it.
#pragma once

#include <map>
#include <string>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "scheduling/preference.hpp"

namespace mothslip {

class PlacementRules {
 public:
  // In units of preference: a class of urgency weighs as much as half the pressure of a deadline.
  static constexpr double kUrgencyBonus = 0.5;

  PlacementRules(const ShardContext& context, ShardModel& model);
  // Of the operators' settings, with resources scaled by the largest machine type.
  [[nodiscard]] const PreferenceWeights& weights() const { return weights_; }

  // Its tasks could as well go to a smaller machine.
  [[nodiscard]] bool fits_smaller_type(const Job& job, int type) const;
  // What the job itself allows: kind, zone and type of machine.
  [[nodiscard]] static bool allows_machine(const JobSpec& spec, const std::string& machine_type,
                                           const std::string& zone, bool spot);
  // Whether the rules let one more task of the job onto the machine now, room apart.
  [[nodiscard]] bool allowed_on(const Job& job, const Machine& machine) const;
  // The team's quota share lets in what has to start at once.
  [[nodiscard]] bool within_quota(const Job& job) const;
  // Nothing of the job has begun for long. Room on a machine that can hold its tasks, and its team's quota
  // share, are then saved up for it: small tasks that take every bit as it comes free would keep it waiting
  // for ever.
  [[nodiscard]] bool is_starving(const Job& job) const;
  // Teams whose quota share is saved up, and for which job: the one that has waited longest of those that one
  // of the shard's machines can hold.
  [[nodiscard]] std::map<int, const Job*> quota_reserved_for() const;
  // What has waited long comes first in the end, however the rest compares: no class, team or size is
  // starved. In units of preference; `wall` in seconds since the epoch.
  [[nodiscard]] static double age_bonus(const Job& job, double wall_time);
  // Best-effort work, which is stopped for other work. What has waited long for its first task is not.
  [[nodiscard]] bool is_preemptible(const Job& job) const;
  // Of best-effort work nothing was placed for so long that any room will do: other work may be waiting for
  // something that this room is not. (The check of the simulated cluster's days: no job waits for 90 s beside
  // a machine with room.)
  [[nodiscard]] bool is_long_unplaced(const Job& job) const;
  // Waits for nothing but room: under its team's limit, and not at fault.
  [[nodiscard]] bool waits_for_room(const Job& job) const;
  // Greedy filling of freed slices keeps room for large tasks from gathering (as it does for gangs). A
  // machine takes no small tasks that could go elsewhere while a large one waits that no smaller type can
  // hold and that is at least as urgent, or while smaller machines have room for all of them.
  [[nodiscard]] bool reserves_for_large(const Machine& machine) const;

 private:
  // Waiting tasks by whether they need a machine of a certain type or could as well go to a smaller one.
  struct WaitingBySize {
    bool has_large = false;  // any
    int max_large_urgency = -1;
    bool large_is_starving = false;
    int small_task_count = 0;
    int max_small_urgency = 0;
    Resources max_small_demand{};  // of each resource the most that one of them needs
  };
  [[nodiscard]] bool needs_type(double least_cores, int type) const;
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
