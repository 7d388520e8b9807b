// Which waiting tasks go to a shard that offers room: those for which this shard's own machines have none, by
// the same preference as if the offered room were here.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_messages.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

// Takes the demand out of the room, where it fits.
bool take_room(Resources& room, const Resources& demand);

// A job of which tasks wait that find no room on this shard's machines.
struct SurplusJob {
  JobPtr job;
  ResourceRequest request;
  int surplus = 0;  // tasks without room here
  int chosen = 0;   // of these, to be delegated
};

class DelegationPlanner {
 public:
  using FreeRooms = std::vector<std::pair<const Machine*, Resources>>;
  DelegationPlanner(const ShardContext& context, ShardModel& model, PlacementRules& rules)
      : ctx_(context), model_(model), rules_(rules) {}

  // Whether the machine's room counts: new tasks may be started there, and its last report is fresh.
  [[nodiscard]] bool has_usable_room(const Machine& machine) const;
  [[nodiscard]] std::vector<SurplusJob> surplus_jobs() const;
  // Chooses tasks for one offer. `request.spare` shrinks by what they use of their teams' quota; `lacking`
  // gets, by team, what a task would need for which there is room but no quota.
  void choose_tasks(const RoomOffer& offer, TaskRequest& request, std::vector<SurplusJob>& jobs,
                    std::map<int, Resources>& missing_quota) const;

 private:
  // Jobs that compete for one offer.
  struct Candidates {
    std::vector<ResourceRequest> requests;
    std::vector<SurplusJob*> jobs;
  };
  [[nodiscard]] FreeRooms own_free_rooms() const;
  [[nodiscard]] bool may_be_delegated(const Job& job) const;
  [[nodiscard]] int tasks_without_room(const Job& job, FreeRooms& rooms) const;
  [[nodiscard]] ResourceRequest request_for(const Job& job) const;
  [[nodiscard]] Candidates find_candidates(const RoomOffer& offer, std::vector<SurplusJob>& jobs) const;
  void remove_unplaceable(Candidates& candidates, const Resources& room, TaskRequest& request,
                          std::map<int, Resources>& missing_quota) const;

  const ShardContext& ctx_;
  ShardModel& model_;
  PlacementRules& rules_;
};

}  // namespace mothslip
