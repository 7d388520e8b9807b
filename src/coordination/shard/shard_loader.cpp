#include "coordination/shard/shard_loader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

#include "coordination/shard/delegated_job_check.hpp"
#include "coordination/shard/journal.hpp"
#include "coordination/shard/progress_records.hpp"
#include "coordination/shard/quota_shares.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/task_delegation.hpp"

namespace mothslip {

namespace {
constexpr double kLoadRetryDelaySeconds = 0.2;
// If the answer to a watch is lost, no change is received until the watch times out, so the time-out is
// short.
constexpr double kWatchTimeoutSeconds = 8.0;
constexpr double kMinWatchIntervalSeconds = 0.25;  // from the start of one watch to the start of the next
}  // namespace

ShardLoader::ShardLoader(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                         Journal& journal, ProgressRecords& progress, TaskDelegation& delegation,
                         DelegatedJobCheck& delegated_jobs, QuotaShares& quotas,
                         std::function<void()> on_loaded)
    : ctx_(context),
      model_(model),
      committer_(committer),
      journal_(journal),
      progress_(progress),
      delegation_(delegation),
      delegated_jobs_(delegated_jobs),
      quotas_(quotas),
      on_loaded_(std::move(on_loaded)) {}

void ShardLoader::load() {
  if (ctx_.state->key_space().incarnation().is_first()) {
    load_job_records();
  } else {
    load_unaccounted();
  }
}

void ShardLoader::retry_load(void (ShardLoader::*step)()) {
  ctx_.env->after(kLoadRetryDelaySeconds, callback_guard_([this, step] { (this->*step)(); }));
}

void ShardLoader::load_unaccounted() {
  const std::string prefix = keys::kUnaccounted + std::to_string(ctx_.shard) + "/";
  ctx_.state->list(
      RequestPriority::kLease, prefix,
      callback_guard_([this, prefix](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_unaccounted);
        for (const StateItem& item : items) {
          auto record = UnaccountedRecord::from_json(item.data);
          // No task of a job may start while it is not known which of its tasks are held.
          if (!record) record = UnaccountedRecord{true, {}, true, false, "its record cannot be read", "", ""};
          model_.unaccounted().emplace(item.key.substr(prefix.size()), std::move(*record));
        }
        load_job_records();
      }));
}

void ShardLoader::load_job_records() {
  ctx_.state->list(
      RequestPriority::kLease, keys::job_records(ctx_.shard),
      callback_guard_([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t revision) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_job_records);
        model_.advance_watched_revision(revision);
        for (StateItem& item : items) {
          auto job_record = JobRecord::from_json(item.data);
          if (job_record) {
            model_.add_job(std::move(*job_record), item.revision);
          } else {
            spdlog::error("job record {} cannot be read; the job is not loaded", item.key);
          }
        }
        load_progress();
      }));
}

void ShardLoader::load_progress() {
  ctx_.state->list(
      RequestPriority::kLease, keys::progress_records(ctx_.shard),
      callback_guard_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_progress);
        for (const StateItem& item : items) load_progress_record(item);
        load_delegations();
      }));
}

void ShardLoader::load_progress_record(const StateItem& item) {
  const std::string name = item.key.substr(keys::progress_records(ctx_.shard).size());
  const auto tilde = name.find('~');
  const std::string ref = name.substr(0, tilde);
  const auto it = model_.jobs().find(ref);
  if (it == model_.jobs().end()) {
    if (tilde != std::string::npos) progress_.discard({item.key, ref, item.revision});
    return;
  }
  Job& job = *it->second;
  auto done = RangeSet::from_text(item.data.value("done", ""), job.spec().task_count);
  if (!done) {
    spdlog::error("progress record {} cannot be read; its completions are not counted", item.key);
    return;
  }
  job.done.insert(*done);
  job.waiting.erase(*done);
  if (tilde == std::string::npos) {
    job.progress_revision = item.revision;
  } else {
    job.progress_chunks[std::atoi(name.c_str() + tilde + 1)] = {item.revision, std::move(*done)};
  }
}

void ShardLoader::load_delegations() {
  ctx_.state->list(
      RequestPriority::kLease, keys::kDelegations,
      callback_guard_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_delegations);
        for (const StateItem& item : items) load_delegation_record(item);
        std::set<int> home_shards;
        for (const auto& [name, job] : model_.jobs()) {
          if (job->delegated_here()) home_shards.insert(job->home_shard);
        }
        check_delegated_jobs(std::move(home_shards));
      }));
}

// Loads a delegation of tasks of this shard's jobs, or one to this shard. Ignores all others.
void ShardLoader::load_delegation_record(const StateItem& item) {
  auto record = DelegationRecord::from_json(item.data);
  if (!record) {
    spdlog::error("delegation record {} cannot be read; the delegation is ignored", item.key);
    return;
  }
  if (record->home_shard == ctx_.shard) {
    const auto it = model_.jobs().find(record->job.spec.ref);
    if (it == model_.jobs().end()) return;
    Job& job = *it->second;
    job.delegated[item.key] = {record->range, record->done, item.revision, record->job.cancelled};
    job.waiting.erase(record->range);
    job.done.insert(record->done);
    return;
  }
  const std::string own_prefix = keys::kDelegations + std::to_string(ctx_.shard) + "/";
  if (item.key.compare(0, own_prefix.size(), own_prefix) == 0)
    delegation_.add_delegated_job(item.key, std::move(*record), item.revision);
}

// Drops delegated tasks whose job has ended or was cancelled, which can have happened while this shard had no
// leader. A job without a record is checked further, because a missing record alone proves neither. The open
// jobs are read with one list call per home shard. When each job was read separately, a
// hundred delegations delayed the activation of a shard by 15 s while the state service was slow.
void ShardLoader::check_delegated_jobs(std::set<int> home_shards) {
  if (home_shards.empty()) {
    load_quota_splits();
    return;
  }
  const int home_shard = *home_shards.begin();
  ctx_.state->list(
      RequestPriority::kLease, keys::job_records(home_shard),
      callback_guard_([this, home_shard, home_shards = std::move(home_shards)](
                          Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) mutable {
        if (outcome != Outcome::kOk) {
          ctx_.env->after(kLoadRetryDelaySeconds,
                          callback_guard_([this, home_shards = std::move(home_shards)]() mutable {
                            check_delegated_jobs(std::move(home_shards));
                          }));
          return;
        }
        std::map<std::string, bool> cancelled_by_ref;
        for (const StateItem& item : items) {
          cancelled_by_ref[item.key.substr(keys::job_records(home_shard).size())] =
              shows_cancellation(item.data);
        }
        for (const auto& [name, job] : model_.jobs()) {
          if (!job->delegated_here() || job->home_shard != home_shard) continue;
          const auto found = cancelled_by_ref.find(job->spec().ref);
          if (found == cancelled_by_ref.end()) {
            delegated_jobs_.check(job);
          } else if (found->second) {
            delegation_.cancel_delegated_job(job, CancellationSource::kRecordRead);
          }
        }
        home_shards.erase(home_shard);
        check_delegated_jobs(std::move(home_shards));
      }));
}

void ShardLoader::load_quota_splits() {
  ctx_.state->list(
      RequestPriority::kLease, keys::kQuotaSplits,
      callback_guard_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_quota_splits);
        quotas_.load(items);
        load_segments();
      }));
}

void ShardLoader::load_segments() {
  ctx_.state->list(
      RequestPriority::kLease, keys::segments(ctx_.shard),
      callback_guard_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_segments);
        if (load_segment_records(items)) on_loaded_();
      }));
}

// Returns false if a record cannot be read. It is then not known which tasks run, so the shard places nothing
// and does not become active, but requests that do not need this knowledge are still answered.
bool ShardLoader::load_segment_records(const std::vector<StateItem>& items) {
  std::vector<std::pair<int, SegmentRecord>> records;  // with segment numbers
  for (const StateItem& item : items) {
    const int number = std::atoi(item.key.c_str() + keys::segments(ctx_.shard).size());
    auto record = SegmentRecord::from_json(item.data);
    if (!record) {
      spdlog::error("journal segment {} cannot be read; the shard does not become active", item.key);
      return false;
    }
    journal_.add_loaded_segment(number, item.revision, dump_json(item.data).size());
    records.emplace_back(number, std::move(*record));
  }
  // Completions are loaded first: a task that is done has no placement, even if a segment still contains one.
  for (const auto& [number, record] : records) load_completions(number, record);
  for (const auto& [number, record] : records) load_placements(number, record);
  return true;
}

void ShardLoader::load_completions(int number, const SegmentRecord& record) {
  for (const auto& [name, text] : record.done) {
    const auto it = model_.jobs().find(name);
    if (it == model_.jobs().end()) continue;  // the job has ended since
    Job& job = *it->second;
    auto done = RangeSet::from_text(text, job.spec().task_count);
    if (!done) {
      spdlog::error("completions of {} in journal segment {} cannot be read; they are not counted", name,
                    number);
      continue;
    }
    job.done.insert(*done);
    job.waiting.erase(*done);
    journal_.add_loaded_completions(number, name, std::move(*done));
  }
}

void ShardLoader::load_placements(int number, const SegmentRecord& segment) {
  for (const auto& [name, record] : segment.machines) {
    for (const PlacementRecord& placement_record : record.placements) {
      const JobPtr job = model_.find_job_of_task(placement_record.ref, placement_record.index);
      // Skip the placement if the job has ended or the completion of the task is durable, because the task
      // was known to be gone before that was written. No task has two placements: one that ended without
      // completing is removed from its segment before the task is placed again.
      if (job == nullptr || !job->waiting.contains(placement_record.index)) continue;
      Machine& machine = model_.find_or_add_machine(name, record);
      machine.record.worker_incarnation =
          std::max(machine.record.worker_incarnation, record.worker_incarnation);
      Placement placement;
      placement.job = job;
      placement.index = placement_record.index;
      placement.attempt = placement_record.attempt;
      placement.stage = Placement::Stage::kRecorded;
      placement.segment = number;
      placement.inherited = true;
      if (job->is_gang()) {
        job->attempt.number = placement_record.attempt;
        placement.stop_recorded = std::find(record.stopping_attempts.begin(), record.stopping_attempts.end(),
                                            placement_record.attempt) != record.stopping_attempts.end();
        job->attempt.stopping |= placement.stop_recorded;
      }
      job->waiting.erase(placement_record.index);
      model_.occupy_room(machine, *job);
      machine.placements.push_back(std::move(placement));
    }
  }
}

void ShardLoader::watch() {
  const double requested_at = ctx_.env->now();
  ctx_.state->watch(
      keys::kWatched, model_.watched_revision(), kWatchTimeoutSeconds,
      callback_guard_([this, requested_at](const StateReply& reply) {
        const double elapsed_s = ctx_.env->now() - requested_at;
        double delay_s = elapsed_s < 1 ? 0.3 : 0.0;
        if (reply.ok()) {
          const auto events = reply.body.find("events");
          if (events != reply.body.end() && events->is_array()) {
            for (const Json& event : *events) on_event(event);
          }
          model_.advance_watched_revision(reply.revision());
          delay_s = std::max(0.0, kMinWatchIntervalSeconds - elapsed_s);
          committer_.send_due_writes();
        } else if (reply.outcome == Outcome::kGone) {
          ctx_.restart_shard("the state service no longer has the changes since the watched revision");
          return;
        }
        ctx_.env->after(delay_s, callback_guard_([this] { watch(); }));
      }));
}

void ShardLoader::on_event(const Json& event) {
  const std::string key = event.value(event.contains("put") ? "put" : "delete", "");
  if (key.rfind(keys::kJobRecords, 0) == 0) {
    on_job_event(event);
  } else if (key.rfind(keys::kDelegations, 0) == 0) {
    delegation_.on_delegation_event(event);
  } else if (key.rfind(keys::kQuotaSplits, 0) == 0) {
    quotas_.on_quota_event(event);
  }
}

// Other nodes accept jobs by creating the job record. Only the owner of the job's shard changes or deletes
// it.
void ShardLoader::on_job_event(const Json& event) {
  const bool put = event.contains("put");
  const std::string key = event.value(put ? "put" : "delete", "");
  const std::string own_prefix = keys::job_records(ctx_.shard);
  const std::string ref = key.substr(key.rfind('/') + 1);
  if (key.compare(0, own_prefix.size(), own_prefix) != 0) {
    on_delegated_job_event(event, ref);
    return;
  }
  if (!put || !event.contains("data")) return;
  auto job_record = JobRecord::from_json(event["data"]);
  if (!job_record || job_record->cancelled) return;
  add_if_new(std::move(*job_record), event.value("stamp", std::uint64_t{0}));
}

// Handles the change of a job of another shard. Its tasks that were delegated to this shard are dropped once
// the job is cancelled. A deleted record does not show how the job has ended; usually all its tasks are done.
void ShardLoader::on_delegated_job_event(const Json& event, const std::string& ref) {
  const bool is_deleted = !event.contains("put");
  const bool is_cancelled = !is_deleted && event.contains("data") && shows_cancellation(event["data"]);
  if (!is_deleted && !is_cancelled) return;
  const std::string prefix = keys::delegations(ctx_.shard, ref);
  for (auto it = model_.jobs().lower_bound(prefix);
       it != model_.jobs().end() && it->first.rfind(prefix, 0) == 0; ++it) {
    if (is_cancelled) {
      delegation_.cancel_delegated_job(it->second, CancellationSource::kRecordWatched);
    } else {
      delegated_jobs_.check(it->second);
    }
  }
}

void ShardLoader::admit(JobRecord job_record, std::uint64_t revision) {
  if (revision > model_.watched_revision()) add_if_new(std::move(job_record), revision);
}

void ShardLoader::add_if_new(JobRecord job_record, std::uint64_t revision) {
  const std::string& ref = job_record.spec.ref;
  if (model_.jobs().count(ref) > 0 || model_.is_over_ahead_of_watch(ref)) return;
  model_.add_job(std::move(job_record), revision);
  model_.notify_work_waiting();
}

}  // namespace mothslip
