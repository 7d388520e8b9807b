// The summary of a shard for the fleet manager: its machines, its waiting tasks and what its teams use.
#pragma once

#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class PlacementRules;

class SummaryBuilder {
 public:
  SummaryBuilder(const ShardContext& context, ShardModel& model, PlacementRules& rules);

  // Adds a job that uses or would use so many cores and may run on ordinary machines only.
  static void add_ordinary_use(const Job& job, double cores, OrdinaryUse& use);
  // The shard as of now.
  [[nodiscard]] ShardSummary build() const;

 private:
  // Tasks of a job for which room is asked.
  struct JobTasks {
    int waiting = 0;
    int wanted = 0;  // with those that wait for their next attempt
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
