// Chooses the waiting tasks that are delegated to a shard which offers room: tasks for which this shard's own
// machines have no room, by the same preference as if the offered room were here.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_messages.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

// Subtracts the demand from the room if it fits. Returns whether it fits.
bool take_room(Resources& room, const Resources& demand);

// A job with waiting tasks that find no room on this shard's machines.
struct SurplusJob {
  JobPtr job;
  ResourceRequest request;
  int surplus = 0;  // waiting tasks without room here
  int chosen = 0;   // those among them that are chosen for delegation
};

class DelegationPlanner {
 public:
  using FreeRooms = std::vector<std::pair<const Machine*, Resources>>;
  DelegationPlanner(const ShardContext& context, ShardModel& model, PlacementRules& rules)
      : ctx_(context), model_(model), rules_(rules) {}

  // Whether the machine's room can be used: new tasks may be started there, its last report is recent, and
  // the machine is not reserved for a gang.
  [[nodiscard]] bool has_usable_room(const Machine& machine) const;
  [[nodiscard]] std::vector<SurplusJob> surplus_jobs() const;
  // Chooses tasks for one offer. The quota that they use is subtracted from `request.spare_quotas`. For each
  // team with tasks for which there is room but no quota, `missing_quota` receives the largest demand of such
  // a task.
  void choose_tasks(const RoomOffer& offer, TaskRequest& request, std::vector<SurplusJob>& jobs,
                    std::map<int, Resources>& missing_quota) const;

 private:
  // The jobs whose tasks may use one offer, with their requests.
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
