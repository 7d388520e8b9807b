// Ends jobs that have completed or been cancelled. One transaction writes the ending and removes the job
// record.
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

  // Number of changes in the transaction that ends the job. Besides writing the ending, it removes the job's
  // progress record and its delegations, as far as they still exist. Additional progress records are removed
  // afterwards.
  [[nodiscard]] std::size_t changes_to_end(const Job& job) const;
  // Writes the endings of completed jobs, urgent ones first. Returns false if there are none, or none fits.
  bool commit_endings();
  // Whether a write was refused only because jobs of this shard have been cancelled meanwhile. `failed` holds
  // the keys whose guards failed.
  [[nodiscard]] bool conflicts_only_with_cancellations(const std::vector<std::string>& failed) const;
  // Deletes the remaining records of cancelled jobs whose last task is known to be gone. Returns false if
  // there are none.
  bool commit_cancelled_cleanup();

 private:
  // Result of adding a job to the transaction that deletes the records of cancelled jobs.
  enum class Cleanup {
    kNotDue,
    kAdded,
    kNoRoom,              // the transaction is full
    kTooManyDelegations,  // they do not fit along with the ending, and are deleted first
  };
  [[nodiscard]] std::vector<JobPtr> jobs_to_end() const;
  void add_ending(Transaction& txn, const Job& job, const char* phase) const;
  void on_ended(const JobPtr& job);
  bool remove_delegations_of_cancelled(const JobPtr& job, std::size_t max_changes);
  [[nodiscard]] Cleanup add_cleanup(Transaction& txn, const std::string& name, const Job& job,
                                    std::size_t max_changes) const;
  void on_cleaned(const std::vector<std::string>& names);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  ProgressRecords& progress_;
  Cancellation& cancellation_;
};

}  // namespace mothslip
