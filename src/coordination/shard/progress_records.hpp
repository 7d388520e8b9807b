// Progress records: the completed tasks of open jobs. Completions are moved there from the journal's segments
// when they take too much room in them, and from delegation records that other shards have completed.
//
// The main record d/P/REF contains the completed tasks as one text of ranges. If that exceeds the maximum
// value size, additional records d/P/REF~N take them, each for a fixed interval of tasks. A task is done if
// any of these records contains it. The records need not be written at the same time, and may be deleted in
// any order once the job has ended.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class JobCompletion;
class Journal;
class RecordCommitter;

class ProgressRecords {
 public:
  // An additional progress record of a job that has ended.
  struct DiscardedRecord {
    std::string key;
    std::string ref;  // id of the job
    std::uint64_t revision = 0;
  };
  ProgressRecords(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                  Journal& journal, JobCompletion& completion);

  // Schedules the record for deletion at low priority.
  void discard(DiscardedRecord record) { discarded_.push_back(std::move(record)); }
  // Commits a transaction with progress that is due. Returns false if none is due or it does not fit.
  bool commit_progress();
  // Called when the job has ended. Schedules its additional progress records for deletion at low priority.
  void discard_progress_chunks(const Job& job);
  // Deletes records that are scheduled for deletion. Returns false if there are none.
  bool commit_discarded();

 private:
  struct ProgressWrite {
    static constexpr int kMainRecord = -1;
    int chunk = kMainRecord;  // number of the additional record; kMainRecord: the main record
    RangeSet done;            // completions that are durable once it is written
  };
  // Progress of one job in a transaction.
  struct JobProgress {
    JobPtr job;
    ProgressWrite write;
    // Keys of the delegation records that the transaction deletes.
    std::vector<std::string> merged_delegations;
  };
  [[nodiscard]] static RangeSet main_progress(const Job& job);
  [[nodiscard]] static int most_fragmented_chunk(const Job& job, const RangeSet& main);
  [[nodiscard]] ProgressWrite add_progress(Transaction& txn, Job& job) const;
  [[nodiscard]] bool progress_due(const Job& job, std::size_t complete_delegations,
                                  std::size_t max_changes) const;
  [[nodiscard]] static std::vector<std::string> remove_merged_delegations(Transaction& txn, const Job& job,
                                                                          const RangeSet& written,
                                                                          std::size_t max_changes);
  void on_progress_written(const std::vector<JobProgress>& written, std::uint64_t revision);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  Journal& journal_;
  JobCompletion& completion_;
  std::deque<DiscardedRecord> discarded_;  // scheduled for deletion
};

}  // namespace mothslip
