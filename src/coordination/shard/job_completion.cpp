#include "coordination/shard/job_completion.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard/cancellation.hpp"
#include "coordination/shard/progress_records.hpp"
#include "coordination/shard/record_committer.hpp"

namespace mothslip {

JobCompletion::JobCompletion(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                             ProgressRecords& progress, Cancellation& cancellation)
    : ctx_(context), model_(model), committer_(committer), progress_(progress), cancellation_(cancellation) {}

// Jobs whose ending can be written, urgent ones first. Many one-task jobs can cause more endings than the
// state service accepts changes. When endings were written in the order of the jobs' names, users were
// informed minutes late that urgent jobs were done.
std::vector<JobPtr> JobCompletion::jobs_to_end() const {
  std::vector<JobPtr> out;
  for (const auto& [name, job] : model_.jobs()) {
    const bool busy = job->finishing || job->cancelling || job->record.cancelled || job->progress_inflight;
    if (!job->delegated_here() && !busy && job->complete() && job->all_delegated_complete())
      out.push_back(job);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const JobPtr& a, const JobPtr& b) { return has_priority_over(*a, *b); });
  return out;
}

std::size_t JobCompletion::changes_to_end(const Job& job) const {
  return 3 + job.delegated.size() + model_.unaccounted().count(job.spec().ref);
}

void JobCompletion::add_ending(Transaction& txn, const Job& job, const char* phase) const {
  const std::string& ref = job.spec().ref;
  txn.guard(keys::job_record(ctx_.shard, ref), job.job_revision);
  txn.guard(keys::progress_record(ctx_.shard, ref), job.progress_revision);
  txn.put(keys::ending(ctx_.shard, ref), ending_json(phase, job.spec().task_count));
  txn.remove(keys::job_record(ctx_.shard, ref));
  if (model_.unaccounted().count(ref) > 0) txn.remove(keys::unaccounted(ctx_.shard, ref));
  if (job.progress_revision != 0) txn.remove(keys::progress_record(ctx_.shard, ref));
  for (const auto& [key, delegated] : job.delegated) {
    txn.guard(key, delegated.revision);
    txn.remove(key);
  }
}

bool JobCompletion::commit_endings() {
  Transaction txn = committer_.guarded_transaction();
  std::vector<JobPtr> finished;
  const auto max_changes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  for (const JobPtr& job : jobs_to_end()) {
    if (txn.changes.size() + changes_to_end(*job) > max_changes) continue;
    job->finishing = true;
    model_.counters().endings++;
    add_ending(txn, *job, "done");
    finished.push_back(job);
  }
  if (finished.empty()) return false;
  const auto done = [this, finished](std::uint64_t) {
    for (const JobPtr& job : finished) on_ended(job);
  };
  // If a cancellation was written in between, the endings of the other jobs are tried again.
  const auto conflict = [this, finished](const std::vector<std::string>& failed) {
    if (!conflicts_only_with_cancellations(failed)) return false;
    for (const JobPtr& job : finished) job->finishing = false;
    return true;
  };
  committer_.commit(RequestPriority::kCompletion, RecordCommitter::kCompletionSlot, txn, done, conflict);
  return true;
}

void JobCompletion::on_ended(const JobPtr& job) {
  const std::string ref = job->spec().ref;
  spdlog::info("job {}: done {:.1f} s after its submission", ref,
               ctx_.env->wall_time() - job->record.submitted_at);
  for (const Job::CancelWaiter& waiter : job->cancel_waiters) {
    waiter.responder.send(200, cancellation_body(ref, JobPhase::kDone));
  }
  ctx_.on_job_ended(ref, {JobPhase::kDone, job->spec().task_count, 0});
  job->undurable_completions.clear();
  progress_.discard_progress_chunks(*job);
  model_.remove_job(ref);
}

bool JobCompletion::conflicts_only_with_cancellations(const std::vector<std::string>& failed) const {
  return std::all_of(failed.begin(), failed.end(), [this](const std::string& key) {
    const auto it = model_.jobs().find(key.substr(key.rfind('/') + 1));
    return key.rfind(keys::job_records(ctx_.shard), 0) == 0 &&
           (it == model_.jobs().end() || it->second->cancelling || it->second->record.cancelled);
  });
}

bool JobCompletion::remove_delegations_of_cancelled(const JobPtr& job, std::size_t max_changes) {
  Transaction txn = committer_.guarded_transaction();
  std::vector<std::string> removed;
  for (const auto& [key, delegated] : job->delegated) {
    if (removed.size() == max_changes) break;
    txn.guard(key, delegated.revision);
    txn.remove(key);
    removed.push_back(key);
  }
  job->progress_inflight = true;
  committer_.commit(RequestPriority::kOther, RecordCommitter::kOtherSlot, txn, [job, removed](std::uint64_t) {
    job->progress_inflight = false;
    for (const std::string& key : removed) job->delegated.erase(key);
  });
  return true;
}

// Adds the deletion of the remaining records of a cancelled job or delegation, if no task of it is placed any
// more.
JobCompletion::Cleanup JobCompletion::add_cleanup(Transaction& txn, const std::string& name, const Job& job,
                                                  std::size_t max_changes) const {
  if (!job.record.cancelled || job.cleanup_inflight || job.placed > 0 || job.progress_inflight)
    return Cleanup::kNotDue;
  if (job.delegated_here()) {
    // The home shard deletes delegations whose record is complete.
    if (job.complete() && job.undurable_completions.empty()) return Cleanup::kNotDue;
    if (txn.changes.size() + 1 > max_changes) return Cleanup::kNoRoom;
    txn.guard(name, job.delegation_revision);
    txn.remove(name);
    return Cleanup::kAdded;
  }
  if (!job.all_delegated_complete()) return Cleanup::kNotDue;  // the delegates delete their delegations
  const std::size_t needed = changes_to_end(job);
  if (txn.changes.size() + needed > max_changes && !txn.changes.empty()) return Cleanup::kNoRoom;
  if (needed > max_changes) return Cleanup::kTooManyDelegations;
  add_ending(txn, job, "aborted");
  return Cleanup::kAdded;
}

bool JobCompletion::commit_cancelled_cleanup() {
  Transaction txn = committer_.guarded_transaction();
  std::vector<std::string> cleaned;
  const auto max_changes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  for (auto& [name, job] : model_.jobs()) {
    const Cleanup cleanup = add_cleanup(txn, name, *job, max_changes);
    if (cleanup == Cleanup::kNotDue) continue;
    if (cleanup == Cleanup::kNoRoom) break;
    if (cleanup == Cleanup::kTooManyDelegations) return remove_delegations_of_cancelled(job, max_changes);
    job->cleanup_inflight = true;
    cleaned.push_back(name);
  }
  if (cleaned.empty()) return false;
  committer_.commit(RequestPriority::kOther, RecordCommitter::kOtherSlot, txn,
                    [this, cleaned](std::uint64_t) { on_cleaned(cleaned); });
  return true;
}

void JobCompletion::on_cleaned(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    // The job's delegations are deleted or complete, so each delegate knows of the cancellation or holds no
    // open tasks of the job.
    const auto it = model_.jobs().find(name);
    if (it == model_.jobs().end()) continue;
    if (!it->second->delegated_here()) cancellation_.confirm(it->second);
    progress_.discard_progress_chunks(*it->second);
    model_.remove_job(name);
  }
}

}  // namespace mothslip
