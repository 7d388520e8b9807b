#include "coordination/shard/unaccounted_tasks.hpp"

#include <spdlog/spdlog.h>

#include <vector>

#include "coordination/shard/cancellation.hpp"
#include "coordination/shard/record_committer.hpp"

namespace mothslip {

UnaccountedTasks::UnaccountedTasks(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                                   Cancellation& cancellation)
    : ctx_(context), model_(model), committer_(committer), cancellation_(cancellation) {}

bool UnaccountedTasks::resolve(const std::string& ref, Decision decision) {
  const auto found = model_.unaccounted().find(ref);
  if (found == model_.unaccounted().end()) return false;
  const auto open_job = model_.jobs().find(ref);
  if (open_job == model_.jobs().end()) {
    resolve_without_description(ref, decision);
    return true;
  }
  const JobPtr job = open_job->second;
  if (job->is_over() || job->finishing || job->cancelling) return true;
  switch (decision) {
    case Decision::kDone:
      count_held_as_done(job);
      break;
    case Decision::kRerun:
      rerun_held(job);
      break;
    case Decision::kCancelled:
      job->cancel_waiters.push_back({Responder(), ctx_.env->now()});
      committer_.send_due_writes();
      cancellation_.retry_cancellations();
      break;
  }
  return true;
}

// The decision becomes durable with the ending that follows. If this leader is lost before that, the operator
// has to decide again.
void UnaccountedTasks::count_held_as_done(const JobPtr& job) {
  const RangeSet held = model_.unaccounted().at(job->spec().ref).held_indices(job->spec().task_count);
  spdlog::info("job {}: {} unaccounted tasks are marked done by an operator's decision", job->spec().ref,
               held.size());
  for (const auto& [first, last] : held.ranges()) {
    for (int index = first; index < last; index++) model_.mark_done(job, index);
  }
  committer_.send_due_writes();
}

void UnaccountedTasks::rerun_held(const JobPtr& job) {
  const std::string& ref = job->spec().ref;
  Transaction txn = committer_.guarded_transaction();
  txn.remove(keys::unaccounted(ctx_.shard, ref));
  committer_.commit(RequestPriority::kOther, RecordCommitter::kOtherSlot, txn, [this, job](std::uint64_t) {
    const auto found = model_.unaccounted().find(job->spec().ref);
    if (found == model_.unaccounted().end()) return;  // the decision was given twice
    RangeSet held = found->second.held_indices(job->spec().task_count);
    model_.unaccounted().erase(found);
    held.erase(job->done);
    spdlog::info("job {}: {} unaccounted tasks are run again by an operator's decision", job->spec().ref,
                 held.size());
    if (job->is_over()) return;
    job->waiting.insert(held);
    model_.notify_work_waiting();
  });
}

// The job's description is lost, so the job either ends at once or waits until its user submits it again.
void UnaccountedTasks::resolve_without_description(const std::string& ref, Decision decision) {
  const std::string key = keys::unaccounted(ctx_.shard, ref);
  Transaction txn = committer_.guarded_transaction();
  txn.guard(keys::job_record(ctx_.shard, ref), 0);
  if (decision == Decision::kRerun) {
    UnaccountedRecord record = model_.unaccounted().at(ref);
    record.rerun = true;
    txn.put(key, record.to_json());
  } else {
    const bool done = decision == Decision::kDone;
    txn.put(keys::ending(ctx_.shard, ref),
            ending_json(wire_name(done ? JobPhase::kDone : JobPhase::kCancelled), 0));
    txn.remove(key);
  }
  const auto on_written = [this, ref, decision](std::uint64_t) {
    const auto found = model_.unaccounted().find(ref);
    if (found == model_.unaccounted().end()) return;
    if (decision == Decision::kRerun) {
      found->second.rerun = true;
    } else {
      model_.unaccounted().erase(found);
    }
  };
  // The guard on the job record fails if the description has arrived in the meantime. The decision is then
  // not applied, and the operator has to repeat it.
  committer_.commit(RequestPriority::kOther, RecordCommitter::kOtherSlot, txn, on_written,
                    [](const std::vector<std::string>&) { return true; });
}

}  // namespace mothslip
