#include "recovery/evidence.hpp"

#include <algorithm>

namespace mothslip::recovery {

namespace {

// Of two descriptions of one job: they differ in the cancellation alone, and a cancellation stands.
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

// A job is done once only: should sources disagree, which none can, done is what cannot be taken back.
void merge_ending(std::optional<JobPhase>& ending, const std::optional<JobPhase>& other) {
  if (!other) return;
  if (!ending || *other == JobPhase::kDone) ending = other;
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
  in_store |= other.in_store;
  accepted |= other.accepted;
  owner_knows_it |= other.owner_knows_it;
  without_description |= other.without_description;
  may_have_ended |= other.may_have_ended;
  done |= other.done;
  held |= other.held;
  seen |= other.seen;
  for (const auto& [shard, tasks] : other.delegated) delegated[shard] |= tasks;
  for (const auto& [task, placement] : other.placements) {
    PlacementEvidence& known = placements[task];
    if (std::pair(placement.attempt, placement.machine) > std::pair(known.attempt, known.machine))
      known = placement;
  }
}

bool operator==(const JobEvidence& a, const JobEvidence& b) {
  const auto text = [](const std::optional<JobRecord>& job_record) {
    return job_record ? dump_json(job_record->to_json()) : std::string();
  };
  return text(a.record) == text(b.record) && a.ending == b.ending && a.in_store == b.in_store &&
         a.accepted == b.accepted && a.owner_knows_it == b.owner_knows_it && a.done == b.done &&
         a.without_description == b.without_description && a.held == b.held &&
         a.may_have_ended == b.may_have_ended && a.seen == b.seen && a.delegated == b.delegated &&
         a.placements == b.placements;
}

void Evidence::merge(const Evidence& other) {
  shards = std::max(shards, other.shards);
  newest = std::max(newest, other.newest);
  for (const auto& [shard, owner] : other.owners) owners[shard] = std::max(owners[shard], owner);
  for (const auto& [name, machine] : other.machines) {
    const auto [known, fresh] = machines.emplace(name, machine);
    if (!fresh) merge_machine(known->second, machine);
  }
  for (const auto& [ref, job] : other.jobs) jobs[ref].merge(job);
}

Evidence evidence_of(const NodeMemory& memory) {
  Evidence out;
  out.shards = memory.shard_count;
  for (const JobRecord& job_record : memory.accepted) {
    JobEvidence& job = out.jobs[job_record.spec.ref];
    merge_job_record(job.record, job_record);
    job.accepted = true;
  }
  for (const auto& [ref, status] : memory.terminals) merge_ending(out.jobs[ref].ending, status.phase);
  for (const ShardMemory& shard : memory.owned) {
    out.newest = std::max(out.newest, shard.fencing_token);
    out.owners[shard.shard] = {shard.fencing_token, shard.loaded, shard.lease_left_s > 0, shard.lease_left_s};
    for (const JobMemory& known : shard.jobs) {
      JobEvidence& job = out.jobs[known.record.spec.ref];
      merge_job_record(job.record, known.record);
      job.owner_knows_it |= !known.delegated_here;
      job.done |= to_task_set(known.done);
      job.held |= to_task_set(known.held);
      job.may_have_ended |= known.may_have_ended;
      for (const auto& [to, tasks] : known.delegated) job.delegated[to] |= to_task_set(tasks);
    }
    for (const std::string& ref : shard.without_description) out.jobs[ref].without_description = true;
    for (const auto& [name, machine] : shard.machines) {
      MachineRecord record = machine;
      record.placements.clear();
      for (const PlacementRecord& placed : machine.placements)
        out.jobs[placed.ref].placements[placed.index] = {name, placed.attempt};
      out.machines.emplace(name, std::move(record));
    }
  }
  return out;
}

std::vector<Evidence> cut(const Evidence& evidence, std::size_t entries) {
  std::vector<Evidence> out(1);
  out.front().shards = evidence.shards;
  out.front().newest = evidence.newest;
  out.front().owners = evidence.owners;
  const auto next = [&out, entries]() -> Evidence& {
    if (out.back().jobs.size() + out.back().machines.size() >= entries) out.emplace_back();
    return out.back();
  };
  for (const auto& [name, machine] : evidence.machines) next().machines.emplace(name, machine);
  for (const auto& [ref, job] : evidence.jobs) next().jobs.emplace(ref, job);
  return out;
}

bool RebuildScope::complete() const {
  return static_cast<int>(owner_heard.size()) == shards &&
         std::all_of(owner_heard.begin(), owner_heard.end(), [](bool heard) { return heard; });
}

namespace {

TaskSet all_tasks(const JobRecord& job_record) {
  TaskSet out;
  out.addRange(0, static_cast<std::uint64_t>(job_record.spec.task_count));
  return out;
}

// The owner of its shard was heard and knows the job as open, or the job is so new that its owner did not
// know it yet: then it has not begun. Of any other job nobody can say whether it has ended since the
// surviving records were written.
bool open_for_certain(const JobEvidence& job, bool home_heard) {
  return home_heard && (job.owner_knows_it || job.accepted) && !job.may_have_ended;
}

// Tasks that were delegated to shards whose owner was not heard.
TaskSet delegated_unheard(const JobEvidence& job, const RebuildScope& scope) {
  TaskSet out;
  for (const auto& [shard, tasks] : job.delegated) {
    const bool heard =
        shard >= 0 && shard < scope.shards && scope.owner_heard[static_cast<std::size_t>(shard)];
    if (!heard) out |= tasks;
  }
  return out;
}

}  // namespace

JobOutcome derive_outcome(const std::string& ref, const JobEvidence& job, const RebuildScope& scope) {
  JobOutcome out;
  out.done = job.done;
  const bool cancelled = job.ending == JobPhase::kCancelled || (job.record && job.record->cancelled);
  if (!scope.nothing_runs) out.placements = job.placements;
  std::erase_if(out.placements, [&job](const auto& item) {
    return job.done.contains(static_cast<std::uint32_t>(item.first));
  });
  if (job.ending == JobPhase::kDone) {
    out.kind = JobOutcome::Kind::kEnded;
    out.ending = JobPhase::kDone;
    return out;
  }
  if (cancelled) {
    // What is placed of it has to be stopped first; its description is what the owner needs for that.
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
  out.may_have_ended = !open_for_certain(job, scope.owner_heard[shard]);
  out.held = out.may_have_ended ? all_tasks(*job.record) : delegated_unheard(job, scope) | job.held;
  out.held -= out.done;
  for (const auto& [task, placement] : out.placements) out.held.remove(static_cast<std::uint32_t>(task));
  if (job.record->spec.is_gang && !out.held.isEmpty()) {
    // The tasks of a gang complete together, or none does.
    out.held = all_tasks(*job.record);
    out.placements.clear();
  }
  return out;
}

}  // namespace mothslip::recovery
