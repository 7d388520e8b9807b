// Places waiting tasks on machines that report. The algorithm is the greedy filling of HaSTE-A
// (docs/design.md; Yao et al., section 3.4) with the preferences of scheduling/preference.hpp.
#pragma once

#include <map>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "scheduling/preference.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class GangScheduler;
class Journal;
class PlacementRules;
class Preemptor;
class QuotaShares;
class RecordCommitter;

class TaskPlacement {
 public:
  TaskPlacement(const ShardContext& context, ShardModel& model, RecordCommitter& committer, Journal& journal,
                PlacementRules& rules, GangScheduler& gangs, Preemptor& preemptor, QuotaShares& quotas);

  // Called when new tasks wait. Schedules their placement on the machines whose reports are held, which can
  // start them at once. Machines that have the image of a waiting job come first.
  void schedule_fill();
  // Places waiting tasks on a machine that has just reported.
  void fill(Machine& machine);
  // Places the first waiting task of the job on the machine.
  void place_task(Machine& machine, const JobPtr& job, std::uint64_t attempt);

 private:
  struct Candidates {
    std::vector<ResourceRequest> requests;
    std::vector<JobPtr> jobs;
  };
  // Values that apply to all jobs while one machine is filled.
  struct FillPass {
    bool reserved_for_large = false;               // tasks that fit a smaller machine type are excluded
    std::map<int, const Job*> quota_reserved_for;  // by team
    bool no_recent_demand = false;                 // no other work has needed the machine for a while
  };
  void fill_held_machines();
  [[nodiscard]] bool has_image_of_waiting_job(const Machine& machine) const;
  [[nodiscard]] bool may_fill(const Machine& machine) const;
  [[nodiscard]] bool may_start(const Job& job, const Machine& machine) const;
  bool has_quota(const Job& job, const FillPass& pass);
  bool is_candidate(const Job& job, const Machine& machine, const FillPass& pass);
  [[nodiscard]] ResourceRequest request_for(const Job& job, const Machine& machine) const;
  void update_requests(const Machine& machine, Candidates& candidates) const;
  void place_greedily(Machine& machine, Candidates& candidates);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  Journal& journal_;
  PlacementRules& rules_;
  GangScheduler& gangs_;
  Preemptor& preemptor_;
  QuotaShares& quotas_;
  CallbackGuard callback_guard_;
  bool fill_scheduled_ = false;
};

}  // namespace mothslip
