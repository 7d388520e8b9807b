// Loads a shard's records from the state service when its leader starts, and follows their changes
// afterwards.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class DelegatedJobCheck;
class Journal;
class ProgressRecords;
class QuotaShares;
class RecordCommitter;
class TaskDelegation;

class ShardLoader {
 public:
  ShardLoader(const ShardContext& context, ShardModel& model, RecordCommitter& committer, Journal& journal,
              ProgressRecords& progress, TaskDelegation& delegation, DelegatedJobCheck& delegated_jobs,
              QuotaShares& quotas, std::function<void()> on_loaded);

  // Reads the shard's records, then calls `on_loaded`. Must be called once.
  void load();
  // Follows the changes of jobs, delegations and quota splits. Every shard receives every change, so the
  // number of calls grows with the number of shards. Changes that follow each other closely are therefore
  // fetched in one call.
  void watch();
  // Adds a job that this node has recorded at this revision. The answer to that write may be late. If the
  // watch or the loading has already passed the revision, the call has no effect, because the job is known
  // already and may have run and ended since.
  void admit(JobRecord job_record, std::uint64_t revision);

 private:
  void retry_load(void (ShardLoader::*step)());
  void load_unaccounted();
  void load_job_records();
  void load_progress();
  void load_progress_record(const StateItem& item);
  void load_delegations();
  void load_delegation_record(const StateItem& item);
  void check_delegated_jobs(std::set<int> home_shards);
  void load_quota_splits();
  void load_segments();
  bool load_segment_records(const std::vector<StateItem>& items);
  void load_completions(int number, const SegmentRecord& record);
  void load_placements(int number, const SegmentRecord& record);
  void on_event(const Json& event);
  void on_job_event(const Json& event);
  void on_delegated_job_event(const Json& event, const std::string& ref);
  void add_if_new(JobRecord job_record, std::uint64_t revision);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  Journal& journal_;
  ProgressRecords& progress_;
  TaskDelegation& delegation_;
  DelegatedJobCheck& delegated_jobs_;
  QuotaShares& quotas_;
  CallbackGuard callback_guard_;
  std::function<void()> on_loaded_;
};

}  // namespace mothslip
