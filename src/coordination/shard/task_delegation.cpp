#include "coordination/shard/task_delegation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <vector>

#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/journal.hpp"
#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/preemptor.hpp"
#include "coordination/shard/quota_shares.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
constexpr double kTaskRequestIntervalSeconds = 0.4;
constexpr double kIdleTaskRequestIntervalSeconds = 0.9;
// A delegate gives back waiting tasks if no task of the delegation has been placed for this time. The limit
// is longer for starving jobs, because room or quota is saved up for them.
constexpr double kReturnAfterSeconds = 2.5;
constexpr double kStarvingReturnAfterSeconds = 30;
constexpr double kStarvingGangReturnAfterSeconds = 60;
constexpr std::size_t kMaxOffers = 40;
constexpr double kMinOfferedCores = 0.5;
constexpr std::size_t kMaxUnwrittenDelegations = 8;
constexpr int kMaxDelegationsPerRequest = 4;
// Size of a delegation's record without its job and its ranges.
constexpr double kDelegationFrameBytes = 120;
// Limits on the size of ranges as text: for each range, and in addition for each task, however scattered the
// completed tasks are.
constexpr double kMaxBytesPerRange = 14;
constexpr double kMaxBytesPerTask = 1.4;
// Returns the largest size that the ranges of a delegation's record can reach, whichever of its tasks are
// completed or given back.
double max_range_bytes(const RangeSet& range) {
  return 2 * (kMaxBytesPerRange * static_cast<double>(range.range_count()) + kMaxBytesPerTask * range.size());
}
const char* describe(CancellationSource source) {
  switch (source) {
    case CancellationSource::kNotice:
      return "the home shard has sent a notice";
    case CancellationSource::kRecordRead:
      return "the record of its cancellation or ending was read";
    case CancellationSource::kRecordWatched:
      return "the watch has delivered its cancellation";
    case CancellationSource::kRecordMissing:
      return "it has no record";
  }
  return "";
}
}  // namespace

TaskDelegation::TaskDelegation(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                               Journal& journal, PlacementRules& rules, GangScheduler& gangs,
                               Preemptor& preemptor, QuotaShares& quotas, WorkerCommands& commands)
    : ctx_(context),
      model_(model),
      committer_(committer),
      journal_(journal),
      rules_(rules),
      planner_(context, model, rules),
      gangs_(gangs),
      preemptor_(preemptor),
      quotas_(quotas),
      commands_(commands) {}

void TaskDelegation::add_delegated_job(const std::string& key, DelegationRecord record,
                                       std::uint64_t revision) {
  const JobPtr job = model_.make_job(std::move(record.job), record.job_revision);
  job->home_shard = record.home_shard;
  job->delegation = key;
  job->delegation_revision = revision;
  job->succeeded_elsewhere = record.succeeded_elsewhere;
  job->range = std::move(record.range);
  job->done = std::move(record.done);
  job->idle_since = ctx_.env->now();
  for (const auto& [first, last] : job->range.ranges()) {
    for (int i = first; i < last; i++) {
      if (!job->done.contains(i)) job->waiting.insert(i);
    }
  }
  model_.jobs().emplace(key, job);
  model_.notify_work_waiting();
}

void TaskDelegation::cancel_delegated_job(const JobPtr& job, CancellationSource source) {
  if (job->record.cancelled) return;
  spdlog::info("job {}: its tasks delegated to shard {} are cancelled: {}", job->spec().ref, ctx_.shard,
               describe(source));
  job->record.cancelled = true;
  job->cancelled_at = ctx_.env->now();
  // While records are being loaded, the waiting tasks determine which placements in the segments still count:
  // a task on a machine that cannot be asked counts against its team's limit, even if it is cancelled.
  if (!model_.active()) return;
  job->waiting.clear();
  job->backoff.clear();
  commands_.stop_directly(job);
}

void TaskDelegation::complete_delegated_job(const JobPtr& job) {
  spdlog::info("job {}: it has ended, its tasks delegated to shard {} are dropped", job->spec().ref,
               ctx_.shard);
  job->done.insert(job->range);
  job->waiting.clear();
  job->backoff.clear();
}

void TaskDelegation::on_delegation_event(const Json& event) {
  const std::string key = event.value(event.contains("put") ? "put" : "delete", "");
  const std::string own_prefix = keys::kDelegations + std::to_string(ctx_.shard) + "/";
  if (key.compare(0, own_prefix.size(), own_prefix) == 0) {
    on_received_delegation(key, event);
  } else {
    on_sent_delegation(key, event);
  }
}

// Delegate: tasks were delegated to this shard, or the home shard has deleted the delegation.
void TaskDelegation::on_received_delegation(const std::string& key, const Json& event) {
  const bool put = event.contains("put");
  const auto revision = event.value("stamp", std::uint64_t{0});
  const auto it = model_.jobs().find(key);
  if (put && it == model_.jobs().end()) {
    if (model_.is_over_ahead_of_watch(key)) return;
    auto record = DelegationRecord::from_json(event["data"]);
    if (!record || record->complete()) return;
    model_.counters().tasks_received += static_cast<std::uint64_t>(record->range.size());
    add_delegated_job(key, std::move(*record), revision);
  } else if (!put && it != model_.jobs().end() && revision > it->second->delegation_revision) {
    // The home shard deletes a delegation when all its tasks are done.
    if (it->second->placed == 0) model_.remove_job(key);
  }
}

// Home shard: the delegate has recorded completions or given tasks back, or the delegation was deleted.
void TaskDelegation::on_sent_delegation(const std::string& key, const Json& event) {
  const auto slash = key.rfind('/');
  const auto tilde = key.rfind('~');
  if (slash == std::string::npos || tilde == std::string::npos || tilde < slash) return;
  const auto it = model_.jobs().find(key.substr(slash + 1, tilde - slash - 1));
  if (it == model_.jobs().end()) return;
  const JobPtr job = it->second;
  const auto revision = event.value("stamp", std::uint64_t{0});
  const auto delegated = job->delegated.find(key);
  if (delegated == job->delegated.end() || revision <= delegated->second.revision) return;
  delegated->second.revision = revision;
  if (!event.contains("put")) {
    reclaim_tasks(job, key, {}, {});
    job->delegated.erase(key);
    return;
  }
  const auto record = DelegationRecord::from_json(event["data"]);
  if (!record) return;
  delegated->second.cancellation_acknowledged = record->job.cancelled;
  job->found_faulty_elsewhere |= record->found_faulty;
  reclaim_tasks(job, key, record->range, record->done);
}

DelegationRecord TaskDelegation::delegation_record(const Job& job) {
  DelegationRecord out;
  out.home_shard = job.home_shard;
  out.job_revision = job.job_revision;
  out.job = job.record;
  out.succeeded_elsewhere = job.succeeded_elsewhere;
  out.found_faulty = job.is_faulty();
  out.range = job.range;
  out.done = job.done;
  return out;
}

void TaskDelegation::reclaim_tasks(const JobPtr& job, const std::string& key, const RangeSet& range,
                                   const RangeSet& done) {
  DelegatedTasks& delegated = job->delegated.at(key);
  job->done.insert(done);
  for (const auto& [first, last] : delegated.range.ranges()) {
    for (int i = first; i < last; i++) {
      if (!range.contains(i)) model_.requeue(job, i, 0);
    }
  }
  delegated.range = range;
  delegated.done = done;
}

// A delegation that was made under larger limits may no longer fit into a record. Once none of its tasks is
// placed here, as many tasks as do not fit are given back to the home shard, whether completed or not. Their
// results are kept, so that a completed task which is started again ends at once.
bool TaskDelegation::trim_to_record_size(Job& job) const {
  const auto too_large = [this, &job] {
    return static_cast<double>(dump_json(delegation_record(job).to_json()).size()) >
           committer_.max_value_bytes();
  };
  if (!too_large()) return true;
  if (job.placed > 0) return false;
  while (job.range.range_count() > 1 && too_large()) {
    const auto [first, last] = *job.range.ranges().rbegin();
    RangeSet tail;
    tail.insert(first, last);
    job.range.erase(tail);
    job.done.erase(tail);
    job.undurable_completions.erase(tail);
    job.waiting.erase(tail);
  }
  return true;
}

// Returns whether the waiting tasks are to be given back to the home shard, because they have not found a
// place here for long. If the job has placement constraints, they stay while other tasks of it
// are placed or delayed here.
bool TaskDelegation::should_return_waiting(const Job& job) const {
  const double return_after_s = !rules_.is_starving(job) ? kReturnAfterSeconds
                                : job.is_gang()          ? kStarvingGangReturnAfterSeconds
                                                         : kStarvingReturnAfterSeconds;
  return !job.waiting.empty() && ctx_.env->now() - job.idle_since > return_after_s &&
         (!job.has_placement_constraints() || (job.placed == 0 && job.backoff.empty()));
}

// Adds the delegate's write of one delegation to the transaction.
TaskDelegation::DelegationWrite TaskDelegation::add_write(Transaction& txn, const std::string& key,
                                                          const JobPtr& job, bool return_waiting) {
  DelegationWrite out{job, job->range, job->done, false};
  job->progress_write_due = false;
  if (return_waiting) {
    model_.counters().tasks_returned += static_cast<std::uint64_t>(job->waiting.size());
    out.range.erase(job->waiting);
    // From now on the tasks belong to the home shard, even if this write fails: it is repeated until it
    // succeeds.
    job->waiting.clear();
    job->range = out.range;
  }
  out.erase = out.range.empty();
  txn.guard(key, job->delegation_revision);
  if (out.erase) {
    txn.remove(key);
  } else {
    txn.put(key, delegation_record(*job).to_json());
  }
  job->progress_inflight = true;
  return out;
}

bool TaskDelegation::commit_delegations() {
  Transaction txn = committer_.guarded_transaction();
  std::vector<DelegationWrite> batch;
  const auto max_writes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  for (auto& [key, job] : model_.jobs()) {
    if (!job->delegated_here() || job->record.cancelled || job->progress_inflight || job->cleanup_inflight ||
        job->record_check_inflight)
      continue;
    const bool return_waiting = should_return_waiting(*job);
    // Until a delegation is complete, its completions are kept in the journal's segments.
    const bool due = (!job->undurable_completions.empty() && job->complete()) || job->progress_write_due;
    if (!return_waiting && !due) continue;
    if (txn.changes.size() + 1 > max_writes) break;
    if (trim_to_record_size(*job)) batch.push_back(add_write(txn, key, job, return_waiting));
  }
  if (batch.empty()) return false;
  committer_.commit(RequestPriority::kCompletion, RecordCommitter::kCompletionSlot, txn,
                    [this, batch](std::uint64_t revision) { on_delegations_written(batch, revision); });
  return true;
}

void TaskDelegation::on_delegations_written(const std::vector<DelegationWrite>& batch,
                                            std::uint64_t revision) {
  for (const DelegationWrite& write : batch) {
    write.job->progress_inflight = false;
    write.job->delegation_revision = revision;
    journal_.on_completions_recorded(write.job, write.job->delegation, write.done);
    if (write.erase) model_.remove_job(write.job->delegation);
  }
}

// Returns whether the room of best-effort tasks is offered too, because work that has precedence over them
// waits at other shards.
bool TaskDelegation::offers_preemptible_room() const {
  const std::vector<WaitingHint>& hints = model_.demand_elsewhere();
  return preemptor_.has_best_effort_jobs() &&
         std::any_of(hints.begin(), hints.end(), [](const WaitingHint& hint) { return hint.startable; });
}

// Returns the free room of this shard's machines. The room that best-effort tasks hold counts as free if
// `include_preemptible` is set.
DelegationPlanner::FreeRooms TaskDelegation::free_rooms(bool include_preemptible) const {
  DelegationPlanner::FreeRooms out;
  for (const auto& [name, machine] : model_.machines()) {
    if (!planner_.has_usable_room(*machine)) continue;
    Resources room = machine->room;
    if (include_preemptible) {
      const Preemptor::PreemptibleRoom preemptible = preemptor_.preemptible_room(*machine);
      room = preemptible.room;
      for (const PreemptionCandidate& each : preemptible.candidates) {
        for (std::size_t r = 0; r < room.size(); r++) room[r] += each.held[r];
      }
    }
    if (room[0] < kMinOfferedCores) continue;
    machine->reserved_for_large = rules_.reserves_for_large(*machine);
    out.emplace_back(machine.get(), room);
  }
  return out;
}

// Subtracts from the rooms what this shard's own waiting tasks will use.
void TaskDelegation::subtract_own_demand(DelegationPlanner::FreeRooms& rooms,
                                         bool include_preemptible) const {
  for (const auto& [name, job] : model_.jobs()) {
    // A gang that fits here has been placed, so room that a waiting gang cannot use is offered.
    if (job->is_over() || job->is_gang() || (include_preemptible && rules_.is_preemptible(*job))) continue;
    int left = std::min(job->waiting.size(), model_.teams().tasks_within(job->team, job->demand));
    for (auto& [machine, room] : rooms) {
      if (machine->reserved_for_large && rules_.fits_smaller_type(*job, machine->type)) continue;
      while (left > 0 && rules_.allowed_on(*job, *machine) && take_room(room, job->demand)) left--;
    }
  }
}

TaskRequest TaskDelegation::task_request() const {
  const bool include_preemptible = offers_preemptible_room();
  DelegationPlanner::FreeRooms rooms = free_rooms(include_preemptible);
  subtract_own_demand(rooms, include_preemptible);
  TaskRequest out;
  out.shard = ctx_.shard;
  out.fencing_token = ctx_.fencing_token;
  for (const auto& [machine, room] : rooms) {
    if (room[0] < kMinOfferedCores || out.offers.size() >= kMaxOffers) continue;
    RoomOffer offer{machine->record.machine_type,
                    machine->record.zone,
                    machine->record.spot,
                    room,
                    machine->cordoned || machine->reserved_for_large,
                    {},
                    include_preemptible};
    for (const auto& [image, gb] : machine->images) offer.images.push_back(model_.images().name(image));
    out.offers.push_back(std::move(offer));
  }
  for (int team = 0; team < static_cast<int>(model_.teams().size()); team++)
    out.spare_quotas.push_back({model_.teams().spare_cores(team), model_.teams().spare_gpus(team)});
  return out;
}

void TaskDelegation::request_tasks() {
  const double now = ctx_.env->now();
  if (task_request_inflight_ || now < next_task_request_at_ || committer_.is_state_service_unresponsive() ||
      !ctx_.owns_exclusively())
    return;
  next_task_request_at_ = now + kTaskRequestIntervalSeconds;
  const TaskRequest request = task_request();
  if (request.offers.empty()) return;
  last_shard_asked_ = ctx_.next_shard(last_shard_asked_);
  task_request_inflight_ = true;
  ctx_.call_leader(last_shard_asked_, peer_paths::kTaskRequest, request.to_json(),
                   callback_guard_([this](const Json& answer) {
                     task_request_inflight_ = false;
                     const bool delegated = TaskReply::from_json(answer).delegated > 0;
                     // Requests cost processor time on both sides, so they are less frequent while nothing
                     // waits elsewhere.
                     next_task_request_at_ =
                         ctx_.env->now() + (delegated || !model_.demand_elsewhere().empty()
                                                ? kTaskRequestIntervalSeconds
                                                : kIdleTaskRequestIntervalSeconds);
                   }));
}

TaskReply TaskDelegation::on_task_request(TaskRequest request) {
  const int to = request.shard;
  if (to < 0 || to >= ctx_.shard_count || to == ctx_.shard ||
      journal_.unwritten_delegation_count() >= kMaxUnwrittenDelegations)
    return {};
  int delegated = gangs_.delegate_gangs(request);
  std::vector<SurplusJob> jobs = planner_.surplus_jobs();
  if (!jobs.empty()) {
    std::map<int, Resources> missing_quota;  // by team
    for (const RoomOffer& offer : request.offers) planner_.choose_tasks(offer, request, jobs, missing_quota);
    delegated += delegate_chosen(jobs, request);
    transfer_missing_quota(missing_quota, to);
  }
  if (delegated > 0) committer_.send_due_writes();
  return {delegated};
}

int TaskDelegation::delegate_chosen(const std::vector<SurplusJob>& jobs, const TaskRequest& request) {
  int tasks = 0;
  int delegations = 0;
  for (const SurplusJob& each : jobs) {
    if (delegations >= kMaxDelegationsPerRequest) break;
    if (each.chosen == 0) continue;
    const int count = each.job->has_placement_constraints() ? each.job->waiting.size() : each.chosen;
    delegate_tasks(each.job, request.shard, request.fencing_token, count);
    tasks += count;
    delegations++;
  }
  return tasks;
}

// Room is of no use without quota, so unused quota of this shard's share is transferred as well. The tasks in
// question find no room here, so no quota is held back for them. If this shard lacks the quota too, it
// requests the quota from other shards, which may have it.
void TaskDelegation::transfer_missing_quota(const std::map<int, Resources>& missing_quota, int to) {
  for (const auto& [team, needed] : missing_quota) {
    if (needed[0] > model_.teams().spare_cores(team) || needed[2] > model_.teams().spare_gpus(team))
      quotas_.set_shortage(team, needed);
    quotas_.transfer_quota(team, to, needed[0], needed[2], false);
  }
}

// Returns how many bytes a delegation's record has for ranges.
double TaskDelegation::range_budget_bytes(const Job& job) const {
  return committer_.max_value_bytes() - kDelegationFrameBytes -
         static_cast<double>(dump_json(job.record.to_json()).size());
}

void TaskDelegation::delegate_tasks(const JobPtr& job, int to, std::uint64_t to_fencing_token, int count) {
  DelegatedTasks delegated;
  const double budget_bytes = range_budget_bytes(*job);
  for (int i = 0; i < count && !job->waiting.empty(); i++) {
    // The tasks of a gang complete together or not at all, so their ranges stay short.
    if (!job->is_gang() && !delegated.range.empty() && max_range_bytes(delegated.range) > budget_bytes) break;
    const int index = *job->waiting.first();
    job->waiting.erase(index);
    delegated.range.insert(index);
  }
  const std::string& ref = job->spec().ref;
  const std::string key = keys::delegations(to, ref) + std::to_string(ctx_.fencing_token) + "." +
                          std::to_string(model_.next_unique_number());
  model_.counters().delegations++;
  model_.counters().tasks_delegated += static_cast<std::uint64_t>(delegated.range.size());
  spdlog::debug("job {}: {} tasks delegated to shard {}", ref, delegated.range.size(), to);
  job->delegated[key] = std::move(delegated);
  journal_.add_delegation({job, key, to, to_fencing_token});
}

}  // namespace mothslip
