// Builds a shard's summary for the fleet manager: its machines, its waiting tasks and the usage of its teams.
#pragma once

#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class PlacementRules;

class SummaryBuilder {
 public:
  SummaryBuilder(const ShardContext& context, ShardModel& model, PlacementRules& rules);

  // Adds the use of a job that may run on ordinary machines only. `cores`: what it uses, and would use if all
  // its tasks ran.
  static void add_ordinary_use(const Job& job, double cores, OrdinaryUse& use);
  // Returns the summary of the shard's current state.
  [[nodiscard]] ShardSummary build() const;

 private:
  // Number of a job's tasks that need room.
  struct JobTasks {
    int waiting = 0;
    int wanted = 0;  // waiting tasks, and those in backoff before their next attempt
  };
  [[nodiscard]] std::vector<FleetRoom> rooms_of(const Machine& machine, double now) const;
  [[nodiscard]] MachineSummary summarize(const Machine& machine, double now) const;
  void add_use(const Job& job, const JobTasks& tasks, ShardSummary& out) const;
  [[nodiscard]] DemandSummary demand_of(const Job& job, int count, double wall_time) const;

  const ShardContext& ctx_;
  ShardModel& model_;
  PlacementRules& rules_;
};

}  // namespace mothslip
