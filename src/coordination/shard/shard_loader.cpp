#include "coordination/shard/shard_loader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

#include "coordination/shard/journal.hpp"
#include "coordination/shard/progress_records.hpp"
#include "coordination/shard/quota_shares.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/task_delegation.hpp"

namespace mothslip {

namespace {
constexpr double kLoadRetryS = 0.2;
// A watch whose answer is lost tells nothing until it is over: not for long.
constexpr double kWatchS = 8.0;
constexpr double kWatchGapS = 0.25;  // at the least from one answer to the next
}  // namespace

ShardLoader::ShardLoader(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                         Journal& journal, ProgressRecords& progress, TaskDelegation& delegation,
                         QuotaShares& quotas, std::function<void()> on_loaded)
    : ctx_(context),
      model_(model),
      committer_(committer),
      journal_(journal),
      progress_(progress),
      delegation_(delegation),
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
  ctx_.env->after(kLoadRetryS, alive_([this, step] { (this->*step)(); }));
}

void ShardLoader::load_unaccounted() {
  const std::string prefix = keys::kUnaccounted + std::to_string(ctx_.shard) + "/";
  ctx_.state->list(
      RequestPriority::kLease, prefix,
      alive_([this, prefix](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_unaccounted);
        for (const StateItem& item : items) {
          auto record = UnaccountedRecord::from_json(item.data);
          // (Nothing of a job may start while it is not known which of its tasks are held.)
          if (!record) record = UnaccountedRecord{true, {}, true, false, "its record cannot be read", "", ""};
          model_.unaccounted().emplace(item.key.substr(prefix.size()), std::move(*record));
        }
        load_job_records();
      }));
}

void ShardLoader::load_job_records() {
  ctx_.state->list(RequestPriority::kLease, keys::job_records(ctx_.shard),
                   alive_([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t revision) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_job_records);
                     model_.watched_up_to(revision);
                     for (StateItem& item : items) {
                       auto job_record = JobRecord::from_json(item.data);
                       if (job_record) {
                         model_.add_job(std::move(*job_record), item.revision);
                       } else {
                         spdlog::error("record {} cannot be read", item.key);
                       }
                     }
                     load_progress();
                   }));
}

void ShardLoader::load_progress() {
  ctx_.state->list(RequestPriority::kLease, keys::progress_records(ctx_.shard),
                   alive_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
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

void ShardLoader::load_delegations() {
  ctx_.state->list(RequestPriority::kLease, keys::kDelegations,
                   alive_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_delegations);
                     for (const StateItem& item : items) load_delegation_record(item);
                     std::set<int> homes;
                     for (const auto& [name, job] : model_.jobs()) {
                       if (job->delegated_here()) homes.insert(job->home_shard);
                     }
                     check_delegated(std::move(homes));
                   }));
}

// A delegation of tasks of this shard's jobs, or to this shard; others are of no concern.
void ShardLoader::load_delegation_record(const StateItem& item) {
  auto record = DelegationRecord::from_json(item.data);
  if (!record) {
    spdlog::error("record {} cannot be read", item.key);
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
  const std::string own = keys::kDelegations + std::to_string(ctx_.shard) + "/";
  if (item.key.compare(0, own.size(), own) == 0)
    delegation_.add_delegated_job(item.key, std::move(*record), item.revision);
}

// A job can have been cancelled while this shard had no leader. One list a home: asked for one by one, a
// hundred delegations kept a shard from becoming active for 15 s while the state service was slow.
void ShardLoader::check_delegated(std::set<int> homes) {
  if (homes.empty()) {
    load_teams();
    return;
  }
  const int home = *homes.begin();
  ctx_.state->list(
      RequestPriority::kLease, keys::job_records(home),
      alive_([this, home, homes = std::move(homes)](Outcome outcome, const std::vector<StateItem>& items,
                                                    std::uint64_t) mutable {
        if (outcome != Outcome::kOk) {
          ctx_.env->after(kLoadRetryS, alive_([this, homes = std::move(homes)]() mutable {
                            check_delegated(std::move(homes));
                          }));
          return;
        }
        std::set<std::string> open;
        for (const StateItem& item : items) {
          if (item.data.is_object() && item.data.value("phase", "") != "aborted")
            open.insert(item.key.substr(keys::job_records(home).size()));
        }
        for (const auto& [name, job] : model_.jobs()) {
          if (job->delegated_here() && job->home_shard == home && open.count(job->spec().ref) == 0)
            delegation_.drop_delegated(job);
        }
        homes.erase(home);
        check_delegated(std::move(homes));
      }));
}

void ShardLoader::load_teams() {
  ctx_.state->list(RequestPriority::kLease, keys::kQuotaSplits,
                   alive_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_teams);
                     quotas_.load(items);
                     load_segments();
                   }));
}

void ShardLoader::load_segments() {
  ctx_.state->list(RequestPriority::kLease, keys::segments(ctx_.shard),
                   alive_([this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLoader::load_segments);
                     if (load_segment_records(items)) on_loaded_();
                   }));
}

// False: a record cannot be read. What runs is not known then: nothing may be placed, the rest is still
// answered.
bool ShardLoader::load_segment_records(const std::vector<StateItem>& items) {
  std::vector<std::pair<int, SegmentRecord>> read;  // with their numbers
  for (const StateItem& item : items) {
    const int number = std::atoi(item.key.c_str() + keys::segments(ctx_.shard).size());
    auto record = SegmentRecord::from_json(item.data);
    if (!record) {
      spdlog::error("record {} cannot be read", item.key);
      return false;
    }
    journal_.add_loaded_segment(number, item.revision, dump_json(item.data).size());
    read.emplace_back(number, std::move(*record));
  }
  // Completions first: what is done is placed nowhere, whatever a segment still says.
  for (const auto& [number, record] : read) load_completions(number, record);
  for (const auto& [number, record] : read) load_placements(number, record);
  return true;
}

void ShardLoader::load_completions(int number, const SegmentRecord& record) {
  for (const auto& [name, text] : record.done) {
    const auto it = model_.jobs().find(name);
    if (it == model_.jobs().end()) continue;  // ended since
    Job& job = *it->second;
    auto done = RangeSet::from_text(text, job.spec().task_count);
    if (!done) {
      spdlog::error("completions of {} in segment {} cannot be read", name, number);
      continue;
    }
    job.done.insert(*done);
    job.waiting.erase(*done);
    journal_.add_loaded_completions(number, name, std::move(*done));
  }
}

void ShardLoader::load_placements(int number, const SegmentRecord& segment) {
  for (const auto& [name, record] : segment.machines) {
    for (const PlacementRecord& from : record.placements) {
      const JobPtr job = model_.find_task(from.ref, from.index);
      // An ended job, or a task whose completion is durable: it was seen gone before that was written. (A
      // task is in one place only: what ended without completing is gone from its segment before it is placed
      // anew.)
      if (job == nullptr || !job->waiting.contains(from.index)) continue;
      Machine& machine = model_.find_or_add_machine(name, record);
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
        placement.stop_recorded = std::find(record.stopping_attempts.begin(), record.stopping_attempts.end(),
                                            from.attempt) != record.stopping_attempts.end();
        job->attempt.stopping |= placement.stop_recorded;
      }
      job->waiting.erase(from.index);
      model_.occupy_room(machine, *job);
      machine.placements.push_back(std::move(placement));
    }
  }
}

void ShardLoader::watch() {
  const double asked = ctx_.env->now();
  ctx_.state->watch(keys::kWatched, model_.watched(), kWatchS, alive_([this, asked](const StateReply& reply) {
                      const double took = ctx_.env->now() - asked;
                      double wait = took < 1 ? 0.3 : 0.0;
                      if (reply.ok()) {
                        const auto events = reply.body.find("events");
                        if (events != reply.body.end() && events->is_array()) {
                          for (const Json& event : *events) on_event(event);
                        }
                        model_.watched_up_to(reply.revision());
                        wait = std::max(0.0, kWatchGapS - took);
                        committer_.send_due_writes();
                      } else if (reply.outcome == Outcome::kGone) {
                        ctx_.restart_shard("watch too old");
                        return;
                      }
                      ctx_.env->after(wait, alive_([this] { watch(); }));
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

// Other nodes accept jobs by creating the job record; only the owner of its shard changes or deletes one.
void ShardLoader::on_job_event(const Json& event) {
  const bool put = event.contains("put");
  const std::string key = event.value(put ? "put" : "delete", "");
  const std::string own = keys::job_records(ctx_.shard);
  const std::string ref = key.substr(key.rfind('/') + 1);
  if (key.compare(0, own.size(), own) != 0) {
    // A job of another shard: what was delegated to this shard of it is unwanted once it is cancelled.
    const bool over = !put || (event.contains("data") && event["data"].value("phase", "") == "aborted");
    if (!over) return;
    const std::string prefix = keys::delegations(ctx_.shard, ref);
    for (auto it = model_.jobs().lower_bound(prefix);
         it != model_.jobs().end() && it->first.rfind(prefix, 0) == 0; ++it) {
      delegation_.drop_delegated(it->second);
    }
    return;
  }
  if (!put || !event.contains("data")) return;
  auto job_record = JobRecord::from_json(event["data"]);
  if (!job_record || job_record->cancelled) return;
  adopt(std::move(*job_record), event.value("stamp", std::uint64_t{0}));
}

void ShardLoader::admit(JobRecord job_record, std::uint64_t revision) {
  if (revision > model_.watched()) adopt(std::move(job_record), revision);
}

void ShardLoader::adopt(JobRecord job_record, std::uint64_t revision) {
  const std::string& ref = job_record.spec.ref;
  if (model_.jobs().count(ref) > 0 || model_.is_over_ahead_of_watch(ref)) return;
  model_.add_job(std::move(job_record), revision);
  model_.notify_work_waiting();
}

}  // namespace mothslip
