#include "coordination/shard/cancellation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/task_delegation.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
// So long a user waits for a cancellation; the next try finds it made.
constexpr double kCancelPatience = 2.0;
constexpr int kUnaccountedRetrySeconds = 10;  // until an operator has decided
constexpr double kCancellationRetry = 0.25;
// Machines that can be reached have stopped the tasks by then; the others do so within their leases.
constexpr double kStopPatience = 1.2;
constexpr double kWriteNote = 3.0;  // a home that has not asked by then may not reach this leader
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
  if (committer_.state_silent()) {
    responder.send(503, R"({"error":"state service away"})", 2);
    return;
  }
  if (const auto held = model_.unaccounted().find(ref);
      held != model_.unaccounted().end() && held->second.withholds_status()) {
    responder.send(503, R"({"error":"not known whether it has ended"})", kUnaccountedRetrySeconds);
    return;
  }
  // When the job is finishing, the ending decides what the user hears.
  job->cancel_waiters.push_back({std::move(responder), ctx_.env->now() + kCancelPatience});
  committer_.send_due_writes();
  retry_cancellations();
}

// Not held: the user is told when to come back; the cancellation itself stays under way.
void Cancellation::expire_waiters(Job& job) {
  const double now = ctx_.env->now();
  std::erase_if(job.cancel_waiters, [this, now](const Job::CancelWaiter& waiter) {
    if (committer_.state_silent()) {
      waiter.responder.send(503, R"({"error":"state service away"})", 2);
    } else if (now >= waiter.answer_by) {
      waiter.responder.send(503, R"({"error":"being cancelled"})", 1);
    }
    return waiter.responder.answered();
  });
}

bool Cancellation::commit_cancels() {
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
                        spdlog::info("{} cancelled, {} tasks to stop", job->spec().ref, job->placed);
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
  bool left = false;
  for (const auto& [ref, job] : model_.jobs()) {
    if (job->delegated_here() || !job->record.cancelled || job->cancellation_confirmed) continue;
    for (auto it = job->unacknowledged_shards.begin(); it != job->unacknowledged_shards.end();) {
      const int shard = *it;
      const bool holds = std::any_of(job->delegated.begin(), job->delegated.end(), [shard](const auto& item) {
        return keys::delegation_target(item.first) == shard && !item.second.complete() &&
               !item.second.cancellation_acknowledged;
      });
      if (!holds || ctx_.owner_since(shard) > job->job_revision) {
        it = job->unacknowledged_shards.erase(it);
        continue;
      }
      if (job->asked_shards.insert(shard).second) ask_delegate(job, shard);
      ++it;
    }
    if (job->unacknowledged_shards.empty() && tasks_stopped(*job)) {
      confirm(job);
    } else {
      left = true;
    }
  }
  if (!left || cancellation_timer_armed_) return;
  cancellation_timer_armed_ = true;
  ctx_.env->after(kCancellationRetry, alive_([this] {
                    cancellation_timer_armed_ = false;
                    retry_cancellations();
                  }));
}

void Cancellation::ask_delegate(const JobPtr& job, int shard) {
  ctx_.ask(shard, peer_paths::kJobCancelled, CancellationNotice{job->spec().ref}.to_json(),
           alive_([this, job, shard](const Json& answer) {
             const auto reply = CancellationReply::from_json(answer);
             if (!reply) return check_owner_changed(job, shard, 0);
             if (!reply->noted) {
               job->asked_shards.erase(shard);  // it knows, and its machines are still stopping
             } else if (reply->lease_valid) {
               job->asked_shards.erase(shard);
               job->unacknowledged_shards.erase(shard);
               retry_cancellations();
             } else {
               check_owner_changed(job, shard, reply->fencing_token);
             }
           }));
}

// `noted`: the token of the owner that has taken note, but whose lease may be over.
void Cancellation::check_owner_changed(const JobPtr& job, int shard, std::uint64_t noted) {
  ctx_.state->get(RequestPriority::kCancel, keys::shard_owner(shard),
                  alive_([this, job, shard, noted](const StateReply& reply) {
                    job->asked_shards.erase(shard);
                    const auto found = reply.ok() ? reply.body.value("stamp", std::uint64_t{0}) : 0;
                    const bool knows =
                        reply.outcome == Outcome::kMissing ||
                        (reply.ok() && (found > job->job_revision || (noted != 0 && found == noted)));
                    if (!knows) return;
                    job->unacknowledged_shards.erase(shard);
                    retry_cancellations();
                  }));
}

void Cancellation::confirm(const JobPtr& job) {
  if (job->cancellation_confirmed) return;
  job->cancellation_confirmed = true;
  const std::string& ref = job->spec().ref;
  spdlog::info("{}: cancellation confirmed", ref);
  for (const Job::CancelWaiter& waiter : job->cancel_waiters) {
    waiter.responder.send(200, cancellation_body(ref, JobPhase::kCancelled));
  }
  job->cancel_waiters.clear();
  ctx_.ended(ref, {JobPhase::kCancelled, 0, 0});
}

// Its tasks are gone, as far as can be waited for: a launch on its way has arrived and is stopped.
bool Cancellation::tasks_stopped(const Job& job) const {
  return job.placed == 0 || ctx_.env->now() - job.cancelled_at >= kStopPatience;
}

CancellationReply Cancellation::on_job_cancelled(const CancellationNotice& notice) {
  const std::string prefix = keys::delegations(ctx_.shard, notice.ref);
  bool noted = true;
  for (auto it = model_.jobs().lower_bound(prefix);
       it != model_.jobs().end() && it->first.rfind(prefix, 0) == 0; ++it) {
    delegation_.drop_delegated(it->second);
    noted = noted && tasks_stopped(*it->second);
    it->second->cancellation_acknowledged = true;
  }
  committer_.send_due_writes();
  return {noted, ctx_.exclusive_owner(), ctx_.fencing_token};
}

bool Cancellation::record_seen_cancellations() {
  Transaction txn = committer_.guarded_transaction();
  std::vector<JobPtr> noted;
  const auto most = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  for (const auto& [key, job] : model_.jobs()) {
    if (!job->delegated_here() || !job->record.cancelled || job->cancellation_acknowledged ||
        job->cancellation_recorded || job->cleanup_inflight || job->progress_inflight || job->placed == 0 ||
        ctx_.env->now() - job->cancelled_at < kWriteNote) {
      continue;
    }
    if (txn.changes.size() + 1 > most) break;
    Json record = delegation_.delegation_record(*job).to_json();
    if (static_cast<double>(dump_json(record).size()) > committer_.value_bytes())
      continue;  // it is only asked for then
    txn.guard(key, job->delegation_revision);
    txn.put(key, std::move(record));
    job->cancellation_recorded = job->progress_inflight = true;
    noted.push_back(job);
  }
  if (noted.empty()) return false;
  committer_.commit(RequestPriority::kRest, RecordCommitter::kRestSlot, txn, [noted](std::uint64_t revision) {
    for (const JobPtr& job : noted) {
      job->progress_inflight = false;
      job->delegation_revision = revision;
    }
  });
  return true;
}

}  // namespace mothslip
