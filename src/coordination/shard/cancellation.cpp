// A cancellation is told to users only once it is durable and every shard that may hold tasks of the job has
// taken note: a delegate that the state service refuses would otherwise go on renewing the leases of machines
// that run cancelled tasks, and so it did, through an outage longer than cancel_s.
//
// Taken note has a delegate whose owner has answered our message while its lease was valid, or whose key
// showed that very owner, or no owner, or a later one, after the cancellation: who owns the shard later loads
// its records later. One that shrank, completed or deleted its delegation, or wrote the cancellation into it,
// has shown it too. (Owners that were deposed before are bounded by Ownership::may_renew.)
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard/shard_leader.hpp"

namespace mothslip {

namespace {
constexpr double kCancellationRetry = 0.25;
// Machines that can be reached have stopped the tasks by then; the others do so within their leases.
constexpr double kStopPatience = 1.2;
constexpr double kWriteNote = 3.0;  // a home that has not asked by then may not reach us
}  // namespace

// Its tasks are gone, as far as can be waited for: a launch on its way has arrived and is stopped.
bool ShardLeader::stopped(const Job& job) const {
  return job.placed == 0 || ctx_.env->now() - job.aborted_at >= kStopPatience;
}

// At home: it is durable now, or was when we loaded it.
void ShardLeader::cancelled(const JobPtr& job) {
  job->aborted_at = ctx_.env->now();
  for (const auto& [key, delegated] : job->delegated) {
    if (!delegated.complete()) job->unaware.insert(keys::delegation_target(key));
  }
  stop_directly(job);
  retry_cancellations();
}

// Looks at every cancellation that is not confirmed yet.
void ShardLeader::retry_cancellations() {
  bool left = false;
  for (const auto& [ref, job] : jobs_) {
    if (job->delegated_here() || !job->record.aborted || job->confirmed) continue;
    for (auto it = job->unaware.begin(); it != job->unaware.end();) {
      const int shard = *it;
      const bool holds = std::any_of(job->delegated.begin(), job->delegated.end(), [shard](const auto& item) {
        return keys::delegation_target(item.first) == shard && !item.second.complete() && !item.second.noted;
      });
      if (!holds || ctx_.owner_since(shard) > job->job_revision) {
        it = job->unaware.erase(it);
        continue;
      }
      if (job->asking.insert(shard).second) ask_delegate(job, shard);
      ++it;
    }
    if (job->unaware.empty() && stopped(*job)) {
      confirm(job);
    } else {
      left = true;
    }
  }
  if (!left || cancellation_timer_armed_) return;
  cancellation_timer_armed_ = true;
  ctx_.env->after(kCancellationRetry, alive([this] {
                    cancellation_timer_armed_ = false;
                    retry_cancellations();
                  }));
}

void ShardLeader::ask_delegate(const JobPtr& job, int shard) {
  ctx_.ask(shard, "/peer/called_off", {{"ref", job->spec().ref}},
           alive([this, job, shard](const Json& answer) {
             const bool noted = answer.is_object() && answer.value("noted", false);
             if (noted && answer.value("valid", false)) {
               job->asking.erase(shard);
               job->unaware.erase(shard);
               retry_cancellations();
             } else if (answer.is_object() && answer.contains("noted") && !noted) {
               job->asking.erase(shard);  // it knows, and its machines are still stopping
             } else {
               look_for_owner(job, shard, noted ? answer.value("baton", std::uint64_t{0}) : 0);
             }
           }));
}

// `noted`: the token of the owner that has taken note, but whose lease may be over.
void ShardLeader::look_for_owner(const JobPtr& job, int shard, std::uint64_t noted) {
  ctx_.state->get(
      RequestPriority::kCancel, keys::shard(shard), alive([this, job, shard, noted](const StateReply& reply) {
        job->asking.erase(shard);
        const auto found = reply.ok() ? reply.body.value("stamp", std::uint64_t{0}) : 0;
        const bool knows = reply.outcome == Outcome::kMissing ||
                           (reply.ok() && (found > job->job_revision || (noted != 0 && found == noted)));
        if (!knows) return;
        job->unaware.erase(shard);
        retry_cancellations();
      }));
}

void ShardLeader::confirm(const JobPtr& job) {
  if (job->confirmed) return;
  job->confirmed = true;
  const std::string& ref = job->spec().ref;
  spdlog::info("{}: cancellation confirmed", ref);
  for (const Job::CancelWaiter& waiter : job->cancel_waiters) {
    waiter.responder.send(200, cancellation_body(ref, JobPhase::kCancelled));
  }
  job->cancel_waiters.clear();
  ctx_.ended(ref, {JobPhase::kCancelled, 0, 0});
}

// Delegate: the home's owner says that a job is cancelled.
Json ShardLeader::on_job_cancelled(const Json& body) {
  const std::string prefix = keys::delegations(id_, body.value("ref", ""));
  bool noted = true;
  for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    drop_delegated(it->second);
    noted = noted && stopped(*it->second);
    it->second->acknowledged = true;
  }
  send_queued();
  return {{"noted", noted}, {"valid", ctx_.exclusive_owner()}, {"baton", fencing_token_}};
}

// Delegate: where the home does not reach us, it reads that we know. (A delegation without tasks on machines
// is deleted instead.)
bool ShardLeader::note_cancels() {
  Transaction txn = guarded();
  std::vector<JobPtr> noted;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (const auto& [key, job] : jobs_) {
    if (!job->delegated_here() || !job->record.aborted || job->acknowledged || job->note_written ||
        job->cleaning || job->progress_inflight || job->placed == 0 ||
        ctx_.env->now() - job->aborted_at < kWriteNote) {
      continue;
    }
    if (txn.then.size() + 1 > most) break;
    Json record = delegation_record(*job).to_json();
    if (static_cast<double>(dump_json(record).size()) > value_bytes_) continue;  // it is only asked for then
    txn.guard(key, job->delegation_revision);
    txn.put(key, std::move(record));
    job->note_written = job->progress_inflight = true;
    noted.push_back(job);
  }
  if (noted.empty()) return false;
  send_commit(RequestPriority::kRest, kRestSlot, txn, [noted](std::uint64_t revision) {
    for (const JobPtr& job : noted) {
      job->progress_inflight = false;
      job->delegation_revision = revision;
    }
  });
  return true;
}

}  // namespace mothslip
