// Fills a machine that reports with waiting tasks: HaSTE-A's greedy filling (docs/design.md, Yao et al.
// section 3.4) with the preferences of scheduling/preference.hpp.
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

  // There is new work: machines whose reports are held can start it at once, those that have an image of it
  // first.
  void schedule_fill();
  // Places waiting tasks on a machine that has just reported.
  void fill(Machine& machine);
  // Takes the first waiting task of the job.
  void place_task(Machine& machine, const JobPtr& job, std::uint64_t attempt);

 private:
  struct Candidates {
    std::vector<ResourceRequest> requests;
    std::vector<JobPtr> jobs;
  };
  // What holds for all jobs while one machine is filled.
  struct FillPass {
    bool reserved_for_large = false;               // no tasks that fit a smaller machine type
    std::map<int, const Job*> quota_reserved_for;  // by team
    bool no_recent_demand = false;                 // best-effort work may start
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
