#include "coordination/shard/delegated_job_check.hpp"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/node/job_status.hpp"
#include "coordination/shard/task_delegation.hpp"

namespace mothslip {

namespace {
constexpr double kRetryDelaySeconds = 0.3;
}  // namespace

void DelegatedJobCheck::check(const JobPtr& job) {
  if (job->is_over() || job->record_check_inflight) return;
  spdlog::info("job {}: its record is not as it was when tasks were delegated to shard {}; reading it",
               job->spec().ref, ctx_.shard);
  job->record_check_inflight = true;
  read_job_record(job);
}

// Reads the job record before the ending because a job only ever moves in that order.
void DelegatedJobCheck::read_job_record(const JobPtr& job) {
  ctx_.state->get(RequestPriority::kCancel, keys::job_record(job->home_shard, job->spec().ref),
                  callback_guard_([this, job](const StateReply& reply) { on_job_record(job, reply); }));
}

void DelegatedJobCheck::on_job_record(const JobPtr& job, const StateReply& reply) {
  if (reply.outcome == Outcome::kMissing) {
    read_ending(job, ctx_.state->key_space().ending_keys(job->home_shard, job->spec().ref), 0);
    return;
  }
  const auto record = reply.has_data() ? JobRecord::from_json(reply.data()) : std::nullopt;
  if (!record) return retry(job);
  if (!record->cancelled) return on_contradiction(job, "open under another revision");
  job->record_check_inflight = false;
  delegation_.cancel_delegated_job(job, CancellationSource::kRecordRead);
}

void DelegatedJobCheck::read_ending(const JobPtr& job, std::vector<std::string> keys, std::size_t next) {
  if (next == keys.size()) return on_contradiction(job, "missing without an ending");
  const std::string key = keys[next];
  const auto on_reply = [this, job, keys = std::move(keys), next](const StateReply& reply) {
    if (reply.outcome == Outcome::kMissing) {
      read_ending(job, keys, next + 1);
    } else {
      on_ending(job, reply);
    }
  };
  ctx_.state->get(RequestPriority::kCancel, key, callback_guard_(on_reply));
}

void DelegatedJobCheck::on_ending(const JobPtr& job, const StateReply& reply) {
  const std::optional<JobStatus> ending = reply.has_data() && reply.data().is_object()
                                              ? terminal_status(reply.data().value("phase", ""), 0)
                                              : std::nullopt;
  if (!ending) return retry(job);
  job->record_check_inflight = false;
  if (ending->phase == JobPhase::kDone) {
    delegation_.complete_delegated_job(job);
  } else {
    delegation_.cancel_delegated_job(job, CancellationSource::kRecordRead);
  }
}

void DelegatedJobCheck::retry(const JobPtr& job) {
  ctx_.env->after(kRetryDelaySeconds, callback_guard_([this, job] { read_job_record(job); }));
}

// If the controller looks for lost state, it stops serving, and the job stays as it is until then: what this
// leader knows becomes evidence for the rebuild. Otherwise the delegation is dropped. The home shard then
// gets the tasks back if it still has the job.
void DelegatedJobCheck::on_contradiction(const JobPtr& job, const char* finding) {
  spdlog::warn("job {}: its record is {}, although tasks of it are delegated to shard {}", job->spec().ref,
               finding, ctx_.shard);
  ctx_.on_state_contradiction("the record of a job with delegated tasks is missing or has changed");
  if (ctx_.settings->tuning.recovery) return;
  job->record_check_inflight = false;
  delegation_.cancel_delegated_job(job, CancellationSource::kRecordMissing);
}

}  // namespace mothslip
