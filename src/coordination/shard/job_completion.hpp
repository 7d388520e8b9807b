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

  // How many changes the transaction that ends the job takes: with the ending go the record of its progress
  // and the tasks delegated of it, unless they are gone before. (Further records of progress go afterwards.)
  [[nodiscard]] std::size_t changes_to_end(const Job& job) const;
  // Writes the endings of completed jobs, urgent ones first; false: there are none, or none fits.
  bool commit_endings();
  // Whether all that a write was refused for is that jobs of this shard were cancelled meanwhile; `failed`
  // holds the keys whose guards failed.
  [[nodiscard]] bool conflicts_only_with_cancellations(const std::vector<std::string>& failed) const;
  // Deletes what is left of cancelled jobs whose last task is known to be gone; false: there are none.
  bool commit_cancelled_cleanup();

 private:
  // What became of a job in the transaction that cleans up after cancelled ones.
  enum class Cleanup {
    kNotDue,
    kAdded,
    kNoRoom,              // the transaction is full
    kTooManyDelegations,  // to go along with the ending: they go first
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
