// Completions of jobs that are not over: folded from the journal's segments into records of their own when
// they have grown long there, together with the delegations that others have completed.
//
// Record d/P/REF holds them as one text of ranges. Where that would be larger than the state service takes,
// those of some hundreds of tasks each go to further records d/P/REF~N. What any of the records says is done
// is done, so they need not be of one moment, and go in any order once the job has ended.
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
  // A further record of progress whose job is over.
  struct DiscardedRecord {
    std::string key;
    std::string ref;  // of the job
    std::uint64_t revision = 0;
  };
  ProgressRecords(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                  Journal& journal, JobCompletion& completion);

  // Deletes the record when there is nothing better to do.
  void discard(DiscardedRecord record) { discarded_.push_back(std::move(record)); }
  // Writes progress that is due; false: none is, or it does not fit.
  bool commit_progress();
  // The job is over; its further records of progress go when there is nothing better to do.
  void discard_progress_chunks(const Job& job);
  // Deletes further records of jobs that are over; false: there are none.
  bool commit_discarded();

 private:
  struct ProgressWrite {
    static constexpr int kMainRecord = -1;
    int chunk = kMainRecord;  // number of the further record, or the main one
    RangeSet done;            // what is durable with it
  };
  // What a transaction writes of one job.
  struct JobProgress {
    JobPtr job;
    ProgressWrite write;
    std::vector<std::string> merged_delegations;  // keys of the delegations that are removed with it
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
  std::deque<DiscardedRecord> discarded_;  // to be deleted when there is nothing better to do
};

}  // namespace mothslip
