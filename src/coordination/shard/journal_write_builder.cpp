#include "coordination/shard/journal_write_builder.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "coordination/shard/task_delegation.hpp"

namespace mothslip {

namespace {
bool is_unrecorded(const Placement& placement) {
  return placement.stage == Placement::Stage::kNew && placement.segment == 0;
}

std::string job_record_key(const Job& job) { return keys::job_record(job.home_shard, job.spec().ref); }

using PlacementsOnMachines = std::vector<std::pair<Machine*, Placement*>>;

// Returns an upper bound of the bytes that the placements take in a segment's record. Placements on the same
// machine must be adjacent in the list.
std::size_t entry_bytes(const PlacementsOnMachines& placements) {
  std::size_t bytes = 0;
  const Machine* last = nullptr;
  for (const auto& [machine, placement] : placements) {
    bytes += placement_bytes(*placement) + (machine != last ? machine_bytes(*machine) : 0);
    last = machine;
  }
  return bytes;
}
}  // namespace

JournalWriteBuilder::JournalWriteBuilder(const ShardContext& context, ShardModel& model,
                                         TaskDelegation& delegation, JournalSegments& segments,
                                         PendingJournalChanges& pending)
    : ctx_(context), model_(model), delegation_(delegation), segments_(segments), pending_(pending) {}

bool JournalWriteBuilder::needs_journal_entry(const Job& job) {
  if (job.undurable_completions.empty() || job.finishing || job.record.cancelled) return false;
  if (job.complete() && (job.delegated_here() || job.all_delegated_complete()))
    return false;  // the ending contains all completions
  return !job.progress_write_due && !job.progress_inflight;
}

// Adds all new placements of a gang to the write, or none of them if the write has no room. Returns the gangs
// that are handled in this way. A gang that is too large for one segment is not among them: its placements
// are spread over several writes like those of other jobs, and none is launched before all are durable.
std::set<JobPtr> JournalWriteBuilder::add_gangs(JournalWrite& write) {
  std::map<JobPtr, PlacementsOnMachines> gangs;
  for (auto& [name, machine] : model_.machines()) {
    for (Placement& placement : machine->placements) {
      if (is_unrecorded(placement) && placement.job->is_gang())
        gangs[placement.job].emplace_back(machine.get(), &placement);
    }
  }
  std::set<JobPtr> atomic_gangs;
  for (const auto& [job, placements] : gangs) {
    const std::size_t bytes = entry_bytes(placements);
    if (bytes + JournalSegments::kEmptySegmentBytes > segments_.fill_limit_bytes()) continue;
    atomic_gangs.insert(job);
    if (write.guard_count() + 3 > write.max_guards || !segments_.reserve(write, bytes)) {
      pending_.has_new_placements = true;
      continue;
    }
    write.job_revisions[job_record_key(*job)] = job->job_revision;
    for (const auto& [machine, placement] : placements) {
      placement->segment = JournalSegments::kActiveSegment;
      write.added_placements.push_back({machine->name, placement->attempt, placement->index, 0});
    }
  }
  return atomic_gangs;
}

// Returns the machines that have new placements, starting after the last machine that a previous write
// covered. Machines that did not fit into that write therefore come first.
std::vector<Machine*> JournalWriteBuilder::machines_with_new_placements() {
  std::vector<Machine*> out;
  for (auto& [name, machine] : model_.machines()) {
    if (std::any_of(machine->placements.begin(), machine->placements.end(), is_unrecorded))
      out.push_back(machine.get());
  }
  const auto next = std::find_if(out.begin(), out.end(), [this](const Machine* machine) {
    return machine->name > pending_.last_written_machine;
  });
  std::rotate(out.begin(), next, out.end());
  return out;
}

void JournalWriteBuilder::add_new_placements(JournalWrite& write) {
  const std::vector<Machine*> machines = machines_with_new_placements();
  pending_.has_new_placements = false;
  const std::set<JobPtr> gangs = add_gangs(write);
  for (Machine* machine : machines) {
    if (!add_machine_placements(write, *machine, gangs)) {
      pending_.has_new_placements = true;
      return;
    }
    pending_.last_written_machine = machine->name;
  }
}

// Adds the new placements on the machine except those of `gangs`. Returns false if the write is full.
bool JournalWriteBuilder::add_machine_placements(JournalWrite& write, Machine& machine,
                                                 const std::set<JobPtr>& gangs) {
  bool machine_has_entry = false;
  for (Placement& placement : machine.placements) {
    if (!is_unrecorded(placement) || gangs.count(placement.job) > 0) continue;
    const std::string job_record = job_record_key(*placement.job);
    const std::size_t new_guards = write.job_revisions.count(job_record) > 0 ? 0 : 1;
    if (write.guard_count() + new_guards + 2 > write.max_guards) return false;
    const std::size_t created_count_before = write.created_segments.size();
    const std::size_t bytes = placement_bytes(placement) + (machine_has_entry ? 0 : machine_bytes(machine));
    if (!segments_.reserve(write, bytes)) return false;
    // The active segment was sealed after the machine's entry was added, so the new active segment needs an
    // entry for the machine as well.
    if (machine_has_entry && write.created_segments.size() != created_count_before)
      write.segment_bytes[JournalSegments::kActiveSegment] += machine_bytes(machine);
    write.job_revisions[job_record] = placement.job->job_revision;
    machine_has_entry = true;
    placement.segment = JournalSegments::kActiveSegment;
    write.added_placements.push_back({machine.name, placement.attempt, placement.index, 0});
  }
  return true;
}

void JournalWriteBuilder::add_delegations(JournalWrite& write) {
  while (!pending_.delegations.empty() && write.change_count() < write.max_changes &&
         write.guard_count() + 3 <= write.max_guards) {
    NewDelegation delegation = std::move(pending_.delegations.front());
    pending_.delegations.pop_front();
    const Job& job = *delegation.job;
    const auto delegated = job.delegated.find(delegation.key);
    if (delegated == job.delegated.end()) continue;
    if (job.is_over() || job.cancelling) {
      revoke_delegation(delegation);
      continue;
    }
    DelegationRecord record;
    record.home_shard = ctx_.shard;
    record.job_revision = job.job_revision;
    record.job = job.record;
    record.succeeded_elsewhere = !job.done.empty();
    record.range = delegated->second.range;
    write.job_revisions[keys::job_record(ctx_.shard, job.spec().ref)] = job.job_revision;
    write.delegate_fencing_tokens[keys::shard_owner(delegation.target_shard)] =
        delegation.target_fencing_token;
    write.delegations.emplace_back(std::move(delegation), record.to_json());
  }
}

void JournalWriteBuilder::revoke_delegation(const NewDelegation& delegation) {
  if (delegation.job->delegated.count(delegation.key) == 0) return;
  delegation_.reclaim_tasks(delegation.job, delegation.key, {}, {});
  delegation.job->delegated.erase(delegation.key);
}

void JournalWriteBuilder::add_completions(JournalWrite& write) {
  if (pending_.completions_unrecorded_since == 0) return;
  const std::size_t limit_bytes = segments_.fill_limit_bytes();
  bool has_remaining = false;
  for (const auto& [name, job] : model_.jobs()) {
    if (!needs_journal_entry(*job)) {
      has_remaining |=
          !job->undurable_completions.empty() && (job->progress_write_due || job->progress_inflight);
      continue;
    }
    const std::size_t bytes = completion_bytes(name, job->undurable_completions) + 1;
    if (bytes > limit_bytes / 4) {
      job->progress_write_due = true;
      has_remaining = true;
      continue;
    }
    if (!segments_.reserve(write, bytes)) {
      has_remaining = true;
      break;
    }
    RangeSet& recorded = segments_.at(JournalSegments::kActiveSegment).done[name];
    recorded.insert(job->undurable_completions);
    // Many scattered completions of one job are cheaper to store in its progress record.
    if (recorded.text_bytes() > limit_bytes / 8) job->progress_write_due = true;
    write.completions.emplace_back(job, job->undurable_completions);
  }
  pending_.completions_unrecorded_since = has_remaining ? ctx_.env->now() : 0;
}

}  // namespace mothslip
