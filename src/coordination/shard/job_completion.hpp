// Endings of jobs, completed or cancelled: one transaction writes the ending and removes the job record.
#pragma once

#include <string>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class Cancellation;
class ProgressRecords;
class RecordCommitter;

class JobCompletion {
 public:
  JobCompletion(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                ProgressRecords& progress, Cancellation& cancellation);

  // Written with the ending, or gone before it: the record of its progress and the tasks delegated of it.
  // (Further records of progress go afterwards.)
  [[nodiscard]] std::size_t changes_to_end(const Job& job) const;
  // Writes the endings of completed jobs; false: there are none.
  bool commit_endings();
  // Whether all that a write was refused for is that jobs of ours were cancelled meanwhile.
  [[nodiscard]] bool only_cancelled(const std::vector<std::string>& failed) const;
  // Cancelled jobs whose last task is known to be gone.
  bool commit_cancelled_cleanup();

 private:
  [[nodiscard]] std::vector<JobPtr> jobs_to_end() const;
  void add_ending(Transaction& txn, const Job& job, const char* phase) const;
  void on_ended(const JobPtr& job);
  bool remove_delegations_of_cancelled(const JobPtr& job, std::size_t most);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  ProgressRecords& progress_;
  Cancellation& cancellation_;
};

}  // namespace mothslip
