#include "coordination/shard/progress_records.hpp"

#include <algorithm>
#include <vector>

#include "coordination/shard/job_completion.hpp"
#include "coordination/shard/journal.hpp"
#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
constexpr std::size_t kMergeDelegations = 3;  // completed delegations worth a transaction of their own
constexpr double kProgressFill = 0.85;        // of the value size
// Tasks that a further record covers: however scattered, their text takes less than 1 KiB.
constexpr int kTasksPerChunk = 512;
}  // namespace

ProgressRecords::ProgressRecords(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                                 Journal& journal, JobCompletion& completion)
    : ctx_(context), model_(model), committer_(committer), journal_(journal), completion_(completion) {}

// What of the job's completions the main record has to hold.
RangeSet ProgressRecords::main_progress(const Job& job) {
  RangeSet out = job.done;
  for (const auto& [number, chunk] : job.progress_chunks) out.erase(chunk.done);
  return out;
}

// The chunk of tasks whose completions take most of the main record.
int ProgressRecords::longest_chunk(const Job& job, const RangeSet& main) {
  int longest = 0;
  std::size_t longest_ranges = 0;
  const int count = (job.spec().task_count + kTasksPerChunk - 1) / kTasksPerChunk;
  for (int number = 0; number < count; number++) {
    const std::size_t ranges =
        main.slice(number * kTasksPerChunk, (number + 1) * kTasksPerChunk).range_count();
    if (ranges <= longest_ranges) continue;
    longest_ranges = ranges;
    longest = number;
  }
  return longest;
}

// Puts what is done of the job into its records, or a first part of it.
ProgressRecords::ProgressWrite ProgressRecords::add_progress(Transaction& txn, Job& job) const {
  const std::string& ref = job.spec().ref;
  // (The job record, too: it ends with the job, so that no late copy of this leaves a record behind.)
  txn.guard(keys::job_record(ctx_.shard, ref), job.job_revision);
  const RangeSet main = main_progress(job);
  job.fold_due = false;
  if (static_cast<double>(main.text_bytes()) <= kProgressFill * committer_.value_bytes()) {
    txn.guard(keys::progress_record(ctx_.shard, ref), job.progress_revision);
    txn.put(keys::progress_record(ctx_.shard, ref), {{"done", main.to_text()}});
    return {ProgressWrite::kMain, job.done};
  }
  const int number = longest_chunk(job, main);
  RangeSet slice = job.done.slice(number * kTasksPerChunk, (number + 1) * kTasksPerChunk);
  const auto known = job.progress_chunks.find(number);
  txn.guard(keys::progress_chunk(ctx_.shard, ref, number),
            known == job.progress_chunks.end() ? 0 : known->second.revision);
  txn.put(keys::progress_chunk(ctx_.shard, ref, number), {{"done", slice.to_text()}});
  job.fold_due = true;  // the rest follows
  return {number, std::move(slice)};
}

// A completed job gets here only when it has too many delegations to end in one transaction.
bool ProgressRecords::progress_due(const Job& job, std::size_t complete_delegations,
                                   std::size_t max_changes) const {
  if (job.complete()) return completion_.changes_to_end(job) > max_changes;
  return job.fold_due || complete_delegations >= kMergeDelegations;
}

// Removes the completed delegations whose tasks the written progress holds; returns their keys.
std::vector<std::string> ProgressRecords::remove_merged_delegations(Transaction& txn, const Job& job,
                                                                    const RangeSet& written,
                                                                    std::size_t max_changes) {
  std::vector<std::string> merged;
  for (const auto& [key, delegated] : job.delegated) {
    RangeSet missing = delegated.done;
    missing.erase(written);
    if (!delegated.complete() || !missing.empty() || txn.changes.size() + 1 > max_changes) continue;
    txn.guard(key, delegated.revision);
    txn.remove(key);
    merged.push_back(key);
  }
  return merged;
}

bool ProgressRecords::commit_progress() {
  Transaction txn = committer_.guarded_transaction();
  std::vector<JobProgress> written;
  const auto max_changes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  for (auto& [ref, job] : model_.jobs()) {
    if (job->delegated_here() || job->finishing || job->cancelling || job->progress_inflight ||
        job->record.cancelled)
      continue;
    const auto complete =
        static_cast<std::size_t>(std::count_if(job->delegated.begin(), job->delegated.end(),
                                               [](const auto& item) { return item.second.complete(); }));
    if (!progress_due(*job, complete, max_changes)) continue;
    if (txn.changes.size() + 1 + (complete > 0 ? 1 : 0) > max_changes) break;
    JobProgress progress;
    progress.job = job;
    progress.write = add_progress(txn, *job);
    progress.merged = remove_merged_delegations(txn, *job, progress.write.done, max_changes);
    job->progress_inflight = true;
    written.push_back(std::move(progress));
  }
  if (written.empty()) return false;
  const auto done = [this, written](std::uint64_t revision) { on_progress_written(written, revision); };
  // A cancellation came in between: what belongs to other jobs is tried again.
  const auto conflict = [this, written](const std::vector<std::string>& failed) {
    if (!completion_.only_cancelled(failed)) return false;
    for (const JobProgress& progress : written) {
      progress.job->progress_inflight = false;
      progress.job->fold_due = true;
    }
    return true;
  };
  committer_.commit(RequestPriority::kDone, RecordCommitter::kDoneSlot, txn, done, conflict);
  return true;
}

void ProgressRecords::on_progress_written(const std::vector<JobProgress>& written, std::uint64_t revision) {
  for (const JobProgress& progress : written) {
    Job& job = *progress.job;
    const ProgressWrite& write = progress.write;
    job.progress_inflight = false;
    for (const std::string& key : progress.merged) job.delegated.erase(key);
    if (write.chunk == ProgressWrite::kMain) {
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
  // (They are of no use to anyone: where something is not as it was expected they are left alone.)
  committer_.commit(
      RequestPriority::kRest, RecordCommitter::kRestSlot, txn, [](std::uint64_t) {},
      [](const std::vector<std::string>&) { return true; });
  return true;
}

}  // namespace mothslip
