#include "coordination/shard/cancellation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/task_delegation.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
// A request to cancel waits this long for the confirmation. The user's next request finds the job cancelled.
constexpr double kCancelAnswerTimeoutSeconds = 2.0;
constexpr int kUnaccountedRetrySeconds = 10;  // while an operator has not decided about unaccounted tasks
constexpr double kCancellationRetrySeconds = 0.25;
// Machines that can be reached have stopped the tasks within this time. The others do so within their leases.
constexpr double kTaskStopTimeoutSeconds = 1.2;
// A home shard that has not asked within this time may be unable to reach this leader.
constexpr double kAcknowledgementRecordDelaySeconds = 3.0;
}  // namespace

Cancellation::Cancellation(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                           TaskDelegation& delegation, WorkerCommands& commands)
    : ctx_(context), model_(model), committer_(committer), delegation_(delegation), commands_(commands) {}

void Cancellation::cancel(const std::string& ref, Responder responder) {
  const JobPtr& job = model_.jobs().at(ref);
  if (job->cancellation_confirmed) {
    responder.send(200, cancellation_body(ref, JobPhase::kCancelled));
    return;
  }
  if (committer_.is_state_service_unresponsive()) {
    responder.send(503, R"({"error":"state service away"})", 2);
    return;
  }
  if (const auto held = model_.unaccounted().find(ref);
      held != model_.unaccounted().end() && held->second.withholds_status()) {
    responder.send(503, R"({"error":"not known whether it has ended"})", kUnaccountedRetrySeconds);
    return;
  }
  // If the job's ending is being written, the outcome of that write decides the answer.
  job->cancel_waiters.push_back({std::move(responder), ctx_.env->now() + kCancelAnswerTimeoutSeconds});
  committer_.send_due_writes();
  retry_cancellations();
}

// The requests are not held any longer: their answers say when to retry. The cancellation itself continues.
void Cancellation::expire_waiters(Job& job) {
  const double now = ctx_.env->now();
  std::erase_if(job.cancel_waiters, [this, now](const Job::CancelWaiter& waiter) {
    if (committer_.is_state_service_unresponsive()) {
      waiter.responder.send(503, R"({"error":"state service away"})", 2);
    } else if (now >= waiter.answer_by) {
      waiter.responder.send(503, R"({"error":"being cancelled"})", 1);
    }
    return waiter.responder.answered();
  });
}

bool Cancellation::commit_cancellations() {
  for (auto& [ref, job] : model_.jobs()) {
    if (job->delegated_here() || job->cancel_waiters.empty() || job->finishing || job->cancelling ||
        job->record.cancelled)
      continue;
    if (job->complete()) continue;  // its ending is written instead
    job->cancelling = true;
    JobRecord job_record = job->record;
    job_record.cancelled = true;
    job_record.cancelled_while_delegated = !job->all_delegated_complete();
    Transaction txn = committer_.guarded_transaction();
    txn.guard(keys::job_record(ctx_.shard, ref), job->job_revision);
    txn.put(keys::job_record(ctx_.shard, ref), job_record.to_json());
    committer_.commit(RequestPriority::kCancel, RecordCommitter::kCancelSlot, txn,
                      [this, job = job, job_record](std::uint64_t revision) {
                        job->cancelling = false;
                        job->record = job_record;
                        job->job_revision = revision;
                        job->waiting.clear();
                        job->backoff.clear();
                        spdlog::info("job {}: its cancellation is recorded, {} placed tasks to stop",
                                     job->spec().ref, job->placed);
                        on_cancellation_durable(job);
                      });
    commands_.stop_directly(job);
    return true;
  }
  return false;
}

void Cancellation::on_cancellation_durable(const JobPtr& job) {
  job->cancelled_at = ctx_.env->now();
  for (const auto& [key, delegated] : job->delegated) {
    if (!delegated.complete()) job->unacknowledged_shards.insert(keys::delegation_target(key));
  }
  commands_.stop_directly(job);
  retry_cancellations();
}

void Cancellation::retry_cancellations() {
  bool any_unconfirmed = false;
  for (const auto& [ref, job] : model_.jobs()) {
    if (job->delegated_here() || !job->record.cancelled || job->cancellation_confirmed) continue;
    for (auto it = job->unacknowledged_shards.begin(); it != job->unacknowledged_shards.end();) {
      const int shard = *it;
      const bool has_unacknowledged_tasks =
          std::any_of(job->delegated.begin(), job->delegated.end(), [shard](const auto& item) {
            return keys::delegation_target(item.first) == shard && !item.second.complete() &&
                   !item.second.cancellation_acknowledged;
          });
      if (!has_unacknowledged_tasks || ctx_.owner_change_revision(shard) > job->job_revision) {
        it = job->unacknowledged_shards.erase(it);
        continue;
      }
      if (job->asked_shards.insert(shard).second) ask_delegate(job, shard);
      ++it;
    }
    if (job->unacknowledged_shards.empty() && tasks_stopped(*job)) {
      confirm(job);
    } else {
      any_unconfirmed = true;
    }
  }
  if (!any_unconfirmed || cancellation_timer_armed_) return;
  cancellation_timer_armed_ = true;
  ctx_.env->after(kCancellationRetrySeconds, callback_guard_([this] {
                    cancellation_timer_armed_ = false;
                    retry_cancellations();
                  }));
}

void Cancellation::ask_delegate(const JobPtr& job, int shard) {
  ctx_.call_leader(shard, peer_paths::kJobCancelled, CancellationNotice{job->spec().ref}.to_json(),
                   callback_guard_([this, job, shard](const Json& answer) {
                     const auto reply = CancellationReply::from_json(answer);
                     if (!reply) return check_owner_changed(job, shard, 0);
                     if (!reply->acknowledged) {
                       job->asked_shards.erase(shard);  // it knows, but its tasks are still being stopped
                     } else if (reply->lease_valid) {
                       job->asked_shards.erase(shard);
                       job->unacknowledged_shards.erase(shard);
                       retry_cancellations();
                     } else {
                       check_owner_changed(job, shard, reply->fencing_token);
                     }
                   }));
}

// Reads the shard's owner key to find out whether the shard has acknowledged the cancellation.
// `acknowledging_token`: the fencing token of an owner that has acknowledged it, but whose lease may have
// expired; 0 if there is none.
void Cancellation::check_owner_changed(const JobPtr& job, int shard, std::uint64_t acknowledging_token) {
  ctx_.state->get(RequestPriority::kCancel, keys::shard_owner(shard),
                  callback_guard_([this, job, shard, acknowledging_token](const StateReply& reply) {
                    job->asked_shards.erase(shard);
                    const auto owner_token = reply.ok() ? reply.item_revision() : 0;
                    const bool is_acknowledged =
                        reply.outcome == Outcome::kMissing ||
                        (reply.ok() && (owner_token > job->job_revision ||
                                        (acknowledging_token != 0 && owner_token == acknowledging_token)));
                    if (!is_acknowledged) return;
                    job->unacknowledged_shards.erase(shard);
                    retry_cancellations();
                  }));
}

void Cancellation::confirm(const JobPtr& job) {
  if (job->cancellation_confirmed) return;
  job->cancellation_confirmed = true;
  const std::string& ref = job->spec().ref;
  spdlog::info("job {}: cancellation confirmed, users are informed", ref);
  for (const Job::CancelWaiter& waiter : job->cancel_waiters) {
    waiter.responder.send(200, cancellation_body(ref, JobPhase::kCancelled));
  }
  job->cancel_waiters.clear();
  ctx_.on_job_ended(ref, {JobPhase::kCancelled, 0, 0});
}

// Whether the tasks are gone, or the time for which this shard waits for that has passed. Launches that were
// in flight have then arrived and been stopped.
bool Cancellation::tasks_stopped(const Job& job) const {
  return job.placed == 0 || ctx_.env->now() - job.cancelled_at >= kTaskStopTimeoutSeconds;
}

CancellationReply Cancellation::on_job_cancelled(const CancellationNotice& notice) {
  const std::string prefix = keys::delegations(ctx_.shard, notice.ref);
  bool acknowledged = true;
  for (auto it = model_.jobs().lower_bound(prefix);
       it != model_.jobs().end() && it->first.rfind(prefix, 0) == 0; ++it) {
    delegation_.cancel_delegated_job(it->second, CancellationSource::kNotice);
    acknowledged = acknowledged && tasks_stopped(*it->second);
    it->second->cancellation_acknowledged = true;
  }
  committer_.send_due_writes();
  return {acknowledged, ctx_.owns_exclusively(), ctx_.fencing_token};
}

bool Cancellation::record_acknowledgements() {
  Transaction txn = committer_.guarded_transaction();
  std::vector<JobPtr> recorded;
  const auto max_changes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  for (const auto& [key, job] : model_.jobs()) {
    if (!job->delegated_here() || !job->record.cancelled || job->cancellation_acknowledged ||
        job->cancellation_recorded || job->cleanup_inflight || job->progress_inflight || job->placed == 0 ||
        ctx_.env->now() - job->cancelled_at < kAcknowledgementRecordDelaySeconds) {
      continue;
    }
    if (txn.changes.size() + 1 > max_changes) break;
    Json record = delegation_.delegation_record(*job).to_json();
    if (static_cast<double>(dump_json(record).size()) > committer_.max_value_bytes())
      continue;  // the acknowledgement is then given only when the home shard asks
    txn.guard(key, job->delegation_revision);
    txn.put(key, std::move(record));
    job->cancellation_recorded = job->progress_inflight = true;
    recorded.push_back(job);
  }
  if (recorded.empty()) return false;
  committer_.commit(RequestPriority::kOther, RecordCommitter::kOtherSlot, txn,
                    [recorded](std::uint64_t revision) {
                      for (const JobPtr& job : recorded) {
                        job->progress_inflight = false;
                        job->delegation_revision = revision;
                      }
                    });
  return true;
}

}  // namespace mothslip
