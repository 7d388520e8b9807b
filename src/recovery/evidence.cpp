#include "recovery/evidence.hpp"

#include <algorithm>

namespace mothslip::recovery {

namespace {

// Merges two descriptions of one job. They differ only in the cancellation and the submission time, and a
// cancellation is never undone.
void merge_job_record(std::optional<JobRecord>& job_record, const std::optional<JobRecord>& other) {
  if (!other) return;
  if (!job_record) {
    job_record = other;
    return;
  }
  job_record->cancelled |= other->cancelled;
  job_record->cancelled_while_delegated |= other->cancelled_while_delegated;
  job_record->submitted_at = std::max(job_record->submitted_at, other->submitted_at);
}

// A job ends only once, so sources cannot disagree. If they did, kDone would win because a completion cannot
// be undone.
void merge_ending(std::optional<JobPhase>& ending, const std::optional<JobPhase>& other) {
  if (!other) return;
  if (!ending || *other == JobPhase::kDone) ending = other;
}

// A job is accepted once. A second acceptance means that the state service had lost the first, so the earlier
// one bounds the time in which the job may have run.
void merge_acceptance(std::optional<std::uint64_t>& revision, const std::optional<std::uint64_t>& other) {
  if (!other) return;
  revision = std::min(revision.value_or(*other), *other);
}

void merge_machine(MachineRecord& machine, const MachineRecord& other) {
  if (other.worker_incarnation > machine.worker_incarnation ||
      (other.worker_incarnation == machine.worker_incarnation && other.address > machine.address))
    machine = other;
}

}  // namespace

TaskSet to_task_set(const RangeSet& ranges) {
  TaskSet out;
  for (const auto& [first, last] : ranges.ranges())
    out.addRange(static_cast<std::uint64_t>(first), static_cast<std::uint64_t>(last));
  return out;
}

RangeSet to_ranges(const TaskSet& tasks) {
  RangeSet out;
  for (const std::uint32_t task : tasks) out.insert(static_cast<int>(task));
  return out;
}

void JobEvidence::merge(const JobEvidence& other) {
  merge_job_record(record, other.record);
  merge_ending(ending, other.ending);
  has_stored_record |= other.has_stored_record;
  merge_acceptance(accepted_at_revision, other.accepted_at_revision);
  open_at_token = std::max(open_at_token, other.open_at_token);
  without_description |= other.without_description;
  may_have_ended |= other.may_have_ended;
  done |= other.done;
  held |= other.held;
  reported_by_worker |= other.reported_by_worker;
  for (const auto& [shard, tasks] : other.delegated) delegated[shard] |= tasks;
  for (const auto& [place, placement] : other.placements)
    placements[place] = std::max(placements[place], placement);
}

bool operator==(const JobEvidence& a, const JobEvidence& b) {
  const auto text = [](const std::optional<JobRecord>& job_record) {
    return job_record ? dump_json(job_record->to_json()) : std::string();
  };
  return text(a.record) == text(b.record) && a.ending == b.ending &&
         a.has_stored_record == b.has_stored_record && a.accepted_at_revision == b.accepted_at_revision &&
         a.open_at_token == b.open_at_token && a.done == b.done &&
         a.without_description == b.without_description && a.held == b.held &&
         a.may_have_ended == b.may_have_ended && a.reported_by_worker == b.reported_by_worker &&
         a.delegated == b.delegated && a.placements == b.placements;
}

void Evidence::merge(const Evidence& other) {
  shards = std::max(shards, other.shards);
  newest_revision = std::max(newest_revision, other.newest_revision);
  for (const auto& [shard, owner] : other.owners) owners[shard] = std::max(owners[shard], owner);
  for (const auto& [name, machine] : other.machines) {
    const auto [existing, inserted] = machines.emplace(name, machine);
    if (!inserted) merge_machine(existing->second, machine);
  }
  for (const auto& [ref, job] : other.jobs) jobs[ref].merge(job);
}

Evidence to_evidence(const NodeMemory& memory) {
  Evidence out;
  out.shards = memory.shard_count;
  for (const AcceptedJob& accepted : memory.accepted) {
    JobEvidence& job = out.jobs[accepted.record.spec.ref];
    merge_job_record(job.record, accepted.record);
    merge_acceptance(job.accepted_at_revision, accepted.revision);
  }
  for (const auto& [ref, status] : memory.terminals) merge_ending(out.jobs[ref].ending, status.phase);
  for (const ShardMemory& shard : memory.owned) {
    out.newest_revision = std::max(out.newest_revision, shard.fencing_token);
    out.owners[shard.shard] = {shard.fencing_token, shard.loaded, shard.lease_left_s > 0, shard.lease_left_s,
                               std::max(shard.fencing_token, memory.terminals_known_since)};
    for (const JobMemory& job_memory : shard.jobs) {
      JobEvidence& job = out.jobs[job_memory.record.spec.ref];
      merge_job_record(job.record, job_memory.record);
      if (!job_memory.delegated_here) job.open_at_token = std::max(job.open_at_token, shard.fencing_token);
      job.done |= to_task_set(job_memory.done);
      job.held |= to_task_set(job_memory.held);
      job.may_have_ended |= job_memory.may_have_ended;
      for (const auto& [to, tasks] : job_memory.delegated) job.delegated[to] |= to_task_set(tasks);
    }
    for (const std::string& ref : shard.without_description) out.jobs[ref].without_description = true;
    for (const auto& [name, machine] : shard.machines) {
      MachineRecord record = machine;
      record.placements.clear();
      for (const PlacementRecord& placed : machine.placements)
        out.jobs[placed.ref].placements[{placed.index, name}] = {placed.attempt, shard.fencing_token};
      out.machines.emplace(name, std::move(record));
    }
  }
  return out;
}

std::vector<Evidence> split_into_chunks(const Evidence& evidence, std::size_t max_entries) {
  std::vector<Evidence> out(1);
  out.front().shards = evidence.shards;
  out.front().newest_revision = evidence.newest_revision;
  out.front().owners = evidence.owners;
  const auto current_chunk = [&out, max_entries]() -> Evidence& {
    if (out.back().jobs.size() + out.back().machines.size() >= max_entries) out.emplace_back();
    return out.back();
  };
  for (const auto& [name, machine] : evidence.machines) current_chunk().machines.emplace(name, machine);
  for (const auto& [ref, job] : evidence.jobs) current_chunk().jobs.emplace(ref, job);
  return out;
}

bool RebuildScope::covers_owner(int shard) const {
  return shard >= 0 && shard < shards && covered_owners[static_cast<std::size_t>(shard)].has_value();
}

bool RebuildScope::covers_all_owners() const {
  return static_cast<int>(covered_owners.size()) == shards &&
         std::all_of(covered_owners.begin(), covered_owners.end(),
                     [](const auto& owner) { return owner.has_value(); });
}

namespace {

TaskSet all_tasks(const JobRecord& job_record) {
  TaskSet out;
  out.addRange(0, static_cast<std::uint64_t>(job_record.spec.task_count));
  return out;
}

// A job is certainly open only if the evidence covers the owner of its home shard, and
//  * that owner had it as open, not only an earlier one, or
//  * it was accepted after every revision since when that owner knows all endings. The owner then does not
//    know the job because it had not read it yet, and no task of it has started. This does not hold for a job
//    that an earlier rebuild held for lack of a description: it may have run before it was submitted again.
// An owner also does not know a job that ended before it took the shard over. Therefore an acceptance alone
// proves nothing. Any other job may have ended after the surviving records were written.
bool is_certainly_open(const JobEvidence& job, const std::optional<OwnerEvidence>& home_owner) {
  if (!home_owner || job.may_have_ended) return false;
  const bool unread_by_owner = !job.without_description && job.accepted_at_revision &&
                               *job.accepted_at_revision > home_owner->endings_known_since;
  const bool open_at_last_owner = job.open_at_token >= home_owner->token;
  return open_at_last_owner || unread_by_owner;
}

// Returns the tasks that were delegated to shards whose owners the evidence does not cover.
TaskSet delegated_to_uncovered_shards(const JobEvidence& job, const RebuildScope& scope) {
  TaskSet out;
  for (const auto& [shard, tasks] : job.delegated) {
    if (!scope.covers_owner(shard)) out |= tasks;
  }
  return out;
}

// Returns where the tasks are placed that are not done. Only the last owner of a machine's shard shows that:
// a placement that an earlier owner had, and the last one does not have, was freed on evidence or completed.
// Requires that the evidence covers the owners of all shards.
std::map<int, TaskPlace> current_placements(const JobEvidence& job, const RebuildScope& scope) {
  std::map<int, TaskPlace> out;
  for (const auto& [key, placement] : job.placements) {
    const auto& [task, machine] = key;
    const auto shard = static_cast<std::size_t>(shard_of(machine, scope.shards));
    const bool is_current = placement.owner_token >= scope.covered_owners[shard]->token;
    if (!is_current || job.done.contains(static_cast<std::uint32_t>(task))) continue;
    TaskPlace& place = out[task];
    if (placement.attempt > place.attempt) place = {machine, placement.attempt};
  }
  return out;
}

}  // namespace

JobOutcome derive_outcome(const std::string& ref, const JobEvidence& job, const RebuildScope& scope) {
  JobOutcome out;
  out.done = job.done;
  const bool cancelled = job.ending == JobPhase::kCancelled || (job.record && job.record->cancelled);
  if (!scope.nothing_runs) out.placements = current_placements(job, scope);
  if (job.ending == JobPhase::kDone) {
    out.kind = JobOutcome::Kind::kEnded;
    out.ending = JobPhase::kDone;
    return out;
  }
  if (cancelled) {
    // The owner has to stop the placed tasks first, and it needs the job's description to do so.
    const bool ended = out.placements.empty() || !job.record;
    out.kind = ended ? JobOutcome::Kind::kEnded : JobOutcome::Kind::kOpen;
    out.ending = JobPhase::kCancelled;
    out.cancelled = true;
    return out;
  }
  if (!job.record) {
    out.kind = JobOutcome::Kind::kWithoutDescription;
    return out;
  }
  const auto shard = static_cast<std::size_t>(shard_of(ref, scope.shards));
  out.may_have_ended = !is_certainly_open(job, scope.covered_owners[shard]);
  out.held =
      out.may_have_ended ? all_tasks(*job.record) : delegated_to_uncovered_shards(job, scope) | job.held;
  out.held -= out.done;
  for (const auto& [task, placement] : out.placements) out.held.remove(static_cast<std::uint32_t>(task));
  if (job.record->spec.is_gang && !out.held.isEmpty()) {
    // The tasks of a gang complete together or not at all.
    out.held = all_tasks(*job.record);
    out.placements.clear();
  }
  return out;
}

}  // namespace mothslip::recovery
