// The summary of a shard for the fleet manager: its machines, its waiting tasks and what its teams use.
#pragma once

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class PlacementRules;

class SummaryBuilder {
 public:
  SummaryBuilder(const ShardContext& context, ShardModel& model, PlacementRules& rules);

  // Adds a job that may run on ordinary machines only.
  static void add_ordinary_use(const Job& job, double cores, OrdinaryUse& use);
  // The shard as of now.
  [[nodiscard]] ShardSummary build() const;

 private:
  const ShardContext& ctx_;
  ShardModel& model_;
  PlacementRules& rules_;
};

}  // namespace mothslip
