#include "coordination/shard/progress_records.hpp"

#include <algorithm>
#include <vector>

#include "coordination/shard/job_completion.hpp"
#include "coordination/shard/journal.hpp"
#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
// A job's completed delegations are merged into its progress record once there are this many, even if no
// other progress is due.
constexpr std::size_t kMinDelegationsToMerge = 3;
// The main record is filled up to this part of the maximum value size.
constexpr double kProgressFillFraction = 0.85;
// Number of tasks that an additional record covers. Their ranges take less than 1 KiB as text, however
// scattered the completed tasks are. Must equal kTasksPerProgressChunk, which is used when records are
// rebuilt.
constexpr int kTasksPerChunk = 512;
}  // namespace

ProgressRecords::ProgressRecords(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                                 Journal& journal, JobCompletion& completion)
    : ctx_(context), model_(model), committer_(committer), journal_(journal), completion_(completion) {}

// Returns the completions that the main record must contain: those that no additional record contains.
RangeSet ProgressRecords::main_progress(const Job& job) {
  RangeSet out = job.done;
  for (const auto& [number, chunk] : job.progress_chunks) out.erase(chunk.done);
  return out;
}

// Returns the number of the additional record to which to move completions: the one whose tasks have the most
// ranges in the main record.
int ProgressRecords::most_fragmented_chunk(const Job& job, const RangeSet& main) {
  int most_fragmented = 0;
  std::size_t most_ranges = 0;
  const int count = (job.spec().task_count + kTasksPerChunk - 1) / kTasksPerChunk;
  for (int number = 0; number < count; number++) {
    const std::size_t ranges =
        main.slice(number * kTasksPerChunk, (number + 1) * kTasksPerChunk).range_count();
    if (ranges <= most_ranges) continue;
    most_ranges = ranges;
    most_fragmented = number;
  }
  return most_fragmented;
}

// Adds a put of the job's completions to the transaction: in the main record if they fit, otherwise a part of
// them in an additional record.
ProgressRecords::ProgressWrite ProgressRecords::add_progress(Transaction& txn, Job& job) const {
  const std::string& ref = job.spec().ref;
  // The job record is deleted when the job ends. The guard on it prevents a late copy of this transaction
  // from leaving a progress record behind.
  txn.guard(keys::job_record(ctx_.shard, ref), job.job_revision);
  const RangeSet main = main_progress(job);
  job.progress_write_due = false;
  if (static_cast<double>(main.text_bytes()) <= kProgressFillFraction * committer_.max_value_bytes()) {
    txn.guard(keys::progress_record(ctx_.shard, ref), job.progress_revision);
    txn.put(keys::progress_record(ctx_.shard, ref), {{"done", main.to_text()}});
    return {ProgressWrite::kMainRecord, job.done};
  }
  const int number = most_fragmented_chunk(job, main);
  RangeSet slice = job.done.slice(number * kTasksPerChunk, (number + 1) * kTasksPerChunk);
  const auto existing = job.progress_chunks.find(number);
  txn.guard(keys::progress_chunk(ctx_.shard, ref, number),
            existing == job.progress_chunks.end() ? 0 : existing->second.revision);
  txn.put(keys::progress_chunk(ctx_.shard, ref, number), {{"done", slice.to_text()}});
  job.progress_write_due = true;  // the other completions are written later
  return {number, std::move(slice)};
}

// The progress of a completed job is written only if the job has too many delegations to be ended in one
// transaction.
bool ProgressRecords::progress_due(const Job& job, std::size_t complete_delegations,
                                   std::size_t max_changes) const {
  if (job.complete()) return completion_.changes_to_end(job) > max_changes;
  return job.progress_write_due || complete_delegations >= kMinDelegationsToMerge;
}

// Adds the deletion of completed delegations whose tasks are all contained in the written progress. Returns
// their keys.
std::vector<std::string> ProgressRecords::remove_merged_delegations(Transaction& txn, const Job& job,
                                                                    const RangeSet& written,
                                                                    std::size_t max_changes) {
  std::vector<std::string> merged_delegations;
  for (const auto& [key, delegated] : job.delegated) {
    RangeSet missing = delegated.done;
    missing.erase(written);
    if (!delegated.complete() || !missing.empty() || txn.changes.size() + 1 > max_changes) continue;
    txn.guard(key, delegated.revision);
    txn.remove(key);
    merged_delegations.push_back(key);
  }
  return merged_delegations;
}

bool ProgressRecords::commit_progress() {
  Transaction txn = committer_.guarded_transaction();
  std::vector<JobProgress> written;
  const auto max_changes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  for (auto& [ref, job] : model_.jobs()) {
    if (job->delegated_here() || job->finishing || job->cancelling || job->progress_inflight ||
        job->record.cancelled)
      continue;
    const auto complete_delegations =
        static_cast<std::size_t>(std::count_if(job->delegated.begin(), job->delegated.end(),
                                               [](const auto& item) { return item.second.complete(); }));
    if (!progress_due(*job, complete_delegations, max_changes)) continue;
    if (txn.changes.size() + 1 + (complete_delegations > 0 ? 1 : 0) > max_changes) break;
    JobProgress progress;
    progress.job = job;
    progress.write = add_progress(txn, *job);
    progress.merged_delegations = remove_merged_delegations(txn, *job, progress.write.done, max_changes);
    job->progress_inflight = true;
    written.push_back(std::move(progress));
  }
  if (written.empty()) return false;
  const auto on_done = [this, written](std::uint64_t revision) { on_progress_written(written, revision); };
  // Some of the jobs were cancelled meanwhile. The progress of the other jobs is tried again.
  const auto on_conflict = [this, written](const std::vector<std::string>& failed) {
    if (!completion_.conflicts_only_with_cancellations(failed)) return false;
    for (const JobProgress& progress : written) {
      progress.job->progress_inflight = false;
      progress.job->progress_write_due = true;
    }
    return true;
  };
  committer_.commit(RequestPriority::kCompletion, RecordCommitter::kCompletionSlot, txn, on_done,
                    on_conflict);
  return true;
}

void ProgressRecords::on_progress_written(const std::vector<JobProgress>& written, std::uint64_t revision) {
  for (const JobProgress& progress : written) {
    Job& job = *progress.job;
    const ProgressWrite& write = progress.write;
    job.progress_inflight = false;
    for (const std::string& key : progress.merged_delegations) job.delegated.erase(key);
    if (write.chunk == ProgressWrite::kMainRecord) {
      job.progress_revision = revision;
    } else {
      job.progress_chunks[write.chunk] = {revision, write.done};
    }
    journal_.on_completions_recorded(progress.job, job.spec().ref, write.done);
  }
}

void ProgressRecords::discard_progress_chunks(const Job& job) {
  if (job.delegated_here()) return;
  for (const auto& [number, chunk] : job.progress_chunks)
    discarded_.push_back(
        {keys::progress_chunk(ctx_.shard, job.spec().ref, number), job.spec().ref, chunk.revision});
}

bool ProgressRecords::commit_discarded() {
  if (discarded_.empty()) return false;
  Transaction txn = committer_.guarded_transaction();
  const auto max_changes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  while (!discarded_.empty() && txn.changes.size() < max_changes) {
    const DiscardedRecord record = std::move(discarded_.front());
    discarded_.pop_front();
    txn.guard(record.key, record.revision);
    txn.guard(keys::job_record(ctx_.shard, record.ref), 0);
    txn.remove(record.key);
  }
  // These records are no longer used by anyone, so they are left in place if a guard fails.
  committer_.commit(
      RequestPriority::kOther, RecordCommitter::kOtherSlot, txn, [](std::uint64_t) {},
      [](const std::vector<std::string>&) { return true; });
  return true;
}

}  // namespace mothslip
