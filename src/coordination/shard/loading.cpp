// How a shard comes to know what the state service holds, at its start and afterwards.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/shard/shard_leader.hpp"

namespace mothslip {

namespace {
// A watch whose answer is lost tells nothing until it is over: not for long.
constexpr double kWatch = 8.0;
constexpr double kWatchGap = 0.25;  // seconds at the least from one answer to the next
}  // namespace

void ShardLeader::load() {
  if (ctx_.state->key_space().incarnation().first()) {
    load_job_records();
  } else {
    load_unaccounted();
  }
}

void ShardLeader::retry_load(void (ShardLeader::*step)()) {
  ctx_.env->after(kLoadRetry, alive([this, step] { (this->*step)(); }));
}

void ShardLeader::load_job_records() {
  ctx_.state->list(RequestPriority::kLease, keys::job_records(id_),
                   alive([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t revision) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLeader::load_job_records);
                     watched_ = revision;
                     for (StateItem& item : items) {
                       auto job_record = JobRecord::from_json(item.data);
                       if (job_record) {
                         add_job(std::move(*job_record), item.revision);
                       } else {
                         spdlog::error("record {} cannot be read", item.key);
                       }
                     }
                     load_progress();
                   }));
}

void ShardLeader::load_progress() {
  ctx_.state->list(RequestPriority::kLease, keys::progresses(id_),
                   alive([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLeader::load_progress);
                     for (const StateItem& item : items) load_progress_record(item);
                     load_delegations();
                   }));
}

void ShardLeader::load_progress_record(const StateItem& item) {
  const std::string name = item.key.substr(keys::progresses(id_).size());
  const auto tilde = name.find('~');
  const std::string ref = name.substr(0, tilde);
  const auto it = jobs_.find(ref);
  if (it == jobs_.end()) {
    if (tilde != std::string::npos) discarded_.push_back({item.key, ref, item.revision});
    return;
  }
  Job& job = *it->second;
  auto done = RangeSet::from_text(item.data.value("done", ""), job.spec().task_count);
  if (!done) {
    spdlog::error("record {} cannot be read", item.key);
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

void ShardLeader::load_segments() {
  ctx_.state->list(RequestPriority::kLease, keys::segments(id_),
                   alive([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLeader::load_segments);
                     std::vector<std::pair<int, SegmentRecord>> read;
                     for (StateItem& item : items) {
                       const int number = std::atoi(item.key.c_str() + keys::segments(id_).size());
                       last_segment_ = std::max(last_segment_, number);
                       auto record = SegmentRecord::from_json(item.data);
                       if (!record) {
                         // What runs is not known then: nothing may be placed, the rest is still answered.
                         spdlog::error("record {} cannot be read", item.key);
                         return;
                       }
                       JournalSegment& segment = segments_[number];
                       segment.revision = item.revision;
                       segment.oversized = static_cast<double>(dump_json(item.data).size()) > value_bytes_;
                       read.emplace_back(number, std::move(*record));
                     }
                     // Completions first: what is done is placed nowhere, whatever a segment still says.
                     for (const auto& [number, record] : read) load_completions(number, record);
                     for (const auto& [number, record] : read) load_placements(number, record);
                     go_active();
                   }));
}

void ShardLeader::load_completions(int number, const SegmentRecord& record) {
  for (const auto& [name, text] : record.done) {
    const auto it = jobs_.find(name);
    if (it == jobs_.end()) continue;  // ended since
    Job& job = *it->second;
    auto done = RangeSet::from_text(text, job.spec().task_count);
    if (!done) {
      spdlog::error("completions of {} in segment {} cannot be read", name, number);
      continue;
    }
    job.done.insert(*done);
    job.waiting.erase(*done);
    segments_[number].done[name] = std::move(*done);
  }
}

void ShardLeader::load_placements(int number, const SegmentRecord& segment) {
  for (const auto& [name, record] : segment.machines) {
    for (const PlacementRecord& from : record.placements) {
      const JobPtr job = find_task(from.ref, from.index);
      // An ended job, or a task whose completion is durable: it was seen gone before that was written. (A
      // task is in one place only: what ended without completing is gone from its segment before it is placed
      // anew.)
      if (job == nullptr || !job->waiting.contains(from.index)) continue;
      auto& slot = machines_[name];
      if (!slot) {
        slot = std::make_unique<Machine>();
        slot->name = name;
        slot->record = record;
        slot->record.placements.clear();
        slot->record.stopping.clear();
        slot->last_heard = slot->busy_at = ctx_.env->now();
        shape_machine(*slot);
      }
      Machine& machine = *slot;
      machine.record.worker_incarnation =
          std::max(machine.record.worker_incarnation, record.worker_incarnation);
      Placement placement;
      placement.job = job;
      placement.index = from.index;
      placement.attempt = from.attempt;
      placement.stage = Placement::Stage::kRecorded;
      placement.segment = number;
      placement.inherited = true;
      if (job->is_gang()) {
        job->attempt.number = from.attempt;
        placement.stop_recorded =
            std::find(record.stopping.begin(), record.stopping.end(), from.attempt) != record.stopping.end();
        job->attempt.stopping |= placement.stop_recorded;
      }
      job->waiting.erase(from.index);
      take_room(machine, *job);
      machine.placements.push_back(std::move(placement));
    }
  }
}

void ShardLeader::go_active() {
  active_ = true;
  std::size_t placed = 0;
  for (const auto& [name, machine] : machines_) placed += machine->placements.size();
  spdlog::info("shard {} active, fencing token {}: {} open jobs, {} machines, {} placements", id_,
               fencing_token_, jobs_.size(), machines_.size(), placed);
  watch();
  for (const auto& [name, job] : jobs_) {
    if (!job->record.aborted) continue;
    job->waiting.clear();
    if (!job->delegated_here()) cancelled(job);
  }
  // Whether a task that is missing was lost or never placed is not known, nor whether the gang had started:
  // the others are stopped, and all begin anew.
  for (const auto& [name, job] : jobs_) {
    if (!job->is_gang() || job->placed == 0) continue;
    GangAttempt& attempt = job->attempt;
    attempt.placed_at = attempt.launched_at = attempt.stopping_since = ctx_.env->now();
    attempt.failed = job->placed < job->spec().task_count;
    attempt.stop_recorded = attempt.stopping;
  }
  raise_fencing_tokens();
  auto early = std::move(early_);
  early_.clear();
  for (EarlyReport& each : early) on_report(std::move(each.report), each.relayed, std::move(each.responder));
  tick();
}

// The state service tells what changed: jobs, delegations and quota shares. Every shard hears of every
// change, so with many shards the calls add up: changes that follow closely are asked for together.
void ShardLeader::watch() {
  const double asked = ctx_.env->now();
  ctx_.state->watch(keys::kWatched, watched_, kWatch, alive([this, asked](const StateReply& reply) {
                      const double took = ctx_.env->now() - asked;
                      double wait = took < 1 ? 0.3 : 0.0;
                      if (reply.ok()) {
                        const auto events = reply.body.find("events");
                        if (events != reply.body.end() && events->is_array()) {
                          for (const Json& event : *events) on_event(event);
                        }
                        watched_up_to(reply.revision());
                        wait = std::max(0.0, kWatchGap - took);
                        send_queued();
                      } else if (reply.outcome == Outcome::kGone) {
                        ctx_.restart_shard("watch too old");
                        return;
                      }
                      ctx_.env->after(wait, alive([this] { watch(); }));
                    }));
}

void ShardLeader::on_event(const Json& event) {
  const std::string key = event.value(event.contains("put") ? "put" : "delete", "");
  if (key.rfind(keys::kJobRecords, 0) == 0) {
    on_job_event(event);
  } else if (key.rfind(keys::kDelegations, 0) == 0) {
    on_delegation_event(event);
  } else if (key.rfind(keys::kTeams, 0) == 0) {
    on_team_event(event);
  }
}

// Other nodes accept jobs by creating the job record; only the owner of its shard changes or deletes one.
void ShardLeader::on_job_event(const Json& event) {
  const bool put = event.contains("put");
  const std::string key = event.value(put ? "put" : "delete", "");
  const std::string own = keys::job_records(id_);
  const std::string ref = key.substr(key.rfind('/') + 1);
  if (key.compare(0, own.size(), own) != 0) {
    // A job of another shard: what was delegated to us of it is unwanted once it is cancelled.
    const bool over = !put || (event.contains("data") && event["data"].value("phase", "") == "aborted");
    if (!over) return;
    const std::string prefix = keys::delegations(id_, ref);
    for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      drop_delegated(it->second);
    }
    return;
  }
  if (!put || !event.contains("data")) return;
  auto job_record = JobRecord::from_json(event["data"]);
  if (!job_record || job_record->aborted) return;
  adopt(std::move(*job_record), event.value("stamp", std::uint64_t{0}));
}

// The answer may come late. What the watch, or loading, has covered by then we know already, whatever became
// of it since: the job may have run and ended.
void ShardLeader::admit(JobRecord job_record, std::uint64_t revision) {
  if (revision > watched_) adopt(std::move(job_record), revision);
}

void ShardLeader::adopt(JobRecord job_record, std::uint64_t revision) {
  const std::string& ref = job_record.spec.ref;
  if (jobs_.count(ref) > 0 || over_ahead_of_watch_.count(ref) > 0) return;
  add_job(std::move(job_record), revision);
  wake();
}

JobPtr ShardLeader::make_job(JobRecord job_record, std::uint64_t revision) {
  auto job = std::make_shared<Job>();
  job->record = std::move(job_record);
  job->job_revision = revision;
  job->home_shard = id_;
  job->idle_since = ctx_.env->now();
  const JobSpec& spec = job->spec();
  job->team = std::max(0, ctx_.settings->team_index(spec.team));
  job->image = images_.intern(spec.image);
  job->demand = {spec.cores, spec.memory_gb, spec.accelerators};
  job->least_cores = least_cores(spec.machine_types, job->demand);
  return job;
}

void ShardLeader::add_job(JobRecord job_record, std::uint64_t revision) {
  const JobPtr job = make_job(std::move(job_record), revision);
  const JobSpec& spec = job->spec();
  job->waiting.insert(0, spec.task_count);
  if (const auto found = unaccounted_.find(spec.ref); found != unaccounted_.end())
    job->waiting.erase(found->second.held_of(spec.task_count));
  spdlog::info("{} known: {} of {}, {} tasks of {} cores", spec.ref, spec.job_class, spec.team,
               spec.task_count, spec.cores);
  jobs_.emplace(spec.ref, job);
}

// The job or the delegation that a task on one of our machines belongs to.
JobPtr ShardLeader::find_task(const std::string& ref, int index) const {
  const auto home = jobs_.find(ref);
  if (home != jobs_.end()) return home->second;
  const std::string prefix = keys::delegations(id_, ref);
  for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    if (it->second->range.contains(index)) return it->second;
  }
  return nullptr;
}

void ShardLeader::forget(const std::string& name) {
  const auto it = jobs_.find(name);
  if (it == jobs_.end()) return;
  const Job& job = *it->second;
  const std::uint64_t known_at = job.delegated_here() ? job.delegation_revision : job.job_revision;
  if (known_at > watched_) over_ahead_of_watch_[name] = known_at;
  jobs_.erase(it);
}

void ShardLeader::watched_up_to(std::uint64_t revision) {
  watched_ = std::max(watched_, revision);
  std::erase_if(over_ahead_of_watch_, [this](const auto& item) { return item.second <= watched_; });
}

}  // namespace mothslip
