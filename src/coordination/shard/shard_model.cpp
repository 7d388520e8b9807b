#include "coordination/shard/shard_model.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

namespace mothslip {

namespace {
constexpr std::size_t kMaxRememberedRemovedMachines = 10000;
}  // namespace

ShardModel::ShardModel(const ShardContext& context, Hooks hooks)
    : ctx_(context), hooks_(std::move(hooks)), teams_(ctx_.settings->teams) {}

void ShardModel::set_demand_elsewhere(std::vector<WaitingHint> hints) {
  demand_elsewhere_ = std::move(hints);
  for (WaitingHint& hint : demand_elsewhere_)
    hint.min_machine_cores = min_machine_cores(std::nullopt, hint.demand);
}

JobPtr ShardModel::find_job_of_task(const std::string& ref, int index) const {
  const auto home = jobs_.find(ref);
  if (home != jobs_.end()) return home->second;
  const std::string prefix = keys::delegations(ctx_.shard, ref);
  for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    if (it->second->range.contains(index)) return it->second;
  }
  return nullptr;
}

JobPtr ShardModel::make_job(JobRecord job_record, std::uint64_t revision) {
  auto job = std::make_shared<Job>();
  job->record = std::move(job_record);
  job->job_revision = revision;
  job->home_shard = ctx_.shard;
  job->idle_since = ctx_.env->now();
  const JobSpec& spec = job->spec();
  job->team = std::max(0, ctx_.settings->team_index(spec.team));
  job->image = images_.intern(spec.image);
  job->demand = {spec.cores, spec.memory_gb, spec.accelerators};
  job->min_machine_cores = min_machine_cores(spec.machine_types, job->demand);
  return job;
}

void ShardModel::add_job(JobRecord job_record, std::uint64_t revision) {
  const JobPtr job = make_job(std::move(job_record), revision);
  const JobSpec& spec = job->spec();
  job->waiting.insert(0, spec.task_count);
  if (const auto found = unaccounted_.find(spec.ref); found != unaccounted_.end())
    job->waiting.erase(found->second.held_indices(spec.task_count));
  spdlog::info("job {}: added as {} of team {}, {} tasks of {} cores", spec.ref, spec.job_class, spec.team,
               spec.task_count, spec.cores);
  jobs_.emplace(spec.ref, job);
}

void ShardModel::remove_job(const std::string& name) {
  const auto it = jobs_.find(name);
  if (it == jobs_.end()) return;
  const Job& job = *it->second;
  const std::uint64_t known_revision = job.delegated_here() ? job.delegation_revision : job.job_revision;
  if (known_revision > watched_revision_) over_ahead_of_watch_[name] = known_revision;
  jobs_.erase(it);
}

void ShardModel::advance_watched_revision(std::uint64_t revision) {
  watched_revision_ = std::max(watched_revision_, revision);
  std::erase_if(over_ahead_of_watch_, [this](const auto& item) { return item.second <= watched_revision_; });
}

Machine& ShardModel::find_or_add_machine(const Report& report) {
  auto& slot = machines_[report.machine_name];
  if (!slot) {
    slot = std::make_unique<Machine>();
    slot->name = report.machine_name;
    slot->record = {
        report.address, report.machine_type, report.zone, report.spot, report.worker_incarnation, {}, {}};
    slot->first_report_at = slot->busy_at = ctx_.env->now();
    set_capacity(*slot);
    spdlog::info("machine {}: first report to this leader, machine type {} in zone {}{}", report.machine_name,
                 report.machine_type, report.zone, report.spot ? ", spot" : "");
  }
  return *slot;
}

Machine& ShardModel::find_or_add_machine(const std::string& name, const MachineRecord& record) {
  auto& slot = machines_[name];
  if (!slot) {
    slot = std::make_unique<Machine>();
    slot->name = name;
    slot->record = record;
    slot->record.placements.clear();
    slot->record.stopping_attempts.clear();
    slot->last_report_at = slot->busy_at = ctx_.env->now();
    set_capacity(*slot);
  }
  return *slot;
}

void ShardModel::set_capacity(Machine& machine) const {
  machine.type = ctx_.types->find(machine.record.machine_type);
  machine.zone = ctx_.zones->intern(machine.record.zone);
  if (machine.type >= 0) {
    const MachineType& type = ctx_.types->at(machine.type);
    machine.capacity = {type.cores, type.memory_gb, type.accelerators};
  }
  machine.room = machine.capacity;
}

void ShardModel::remove_machine(Machine& machine) {
  if (machine.removed) return;
  machine.removed = true;
  removed_machines_.insert(machine.name);
  removed_order_.push_back(machine.name);
  if (removed_order_.size() > kMaxRememberedRemovedMachines) {
    removed_machines_.erase(removed_order_.front());
    removed_order_.pop_front();
  }
  for (Placement& placement : machine.placements) {
    if (placement.stage == Placement::Stage::kFreeing) continue;
    free_placement(placement, 0);
    counters_.freed_by_removal++;
  }
}

Placement* ShardModel::find_placement(const std::string& machine, std::uint64_t attempt, int index) {
  const auto it = machines_.find(machine);
  if (it == machines_.end()) return nullptr;
  for (Placement& placement : it->second->placements) {
    if (placement.attempt == attempt && placement.index == index) return &placement;
  }
  return nullptr;
}

std::vector<std::pair<Machine*, Placement*>> ShardModel::placements_of(const Job& job) const {
  std::vector<std::pair<Machine*, Placement*>> out;
  if (job.placed == 0) return out;
  for (const auto& [name, machine] : machines_) {
    for (Placement& placement : machine->placements) {
      if (placement.job.get() == &job) out.emplace_back(machine.get(), &placement);
    }
  }
  return out;
}

void ShardModel::occupy_room(Machine& machine, Job& job) {
  teams_.add(job.team, job.demand);
  job.placed++;
  job.placed_by_zone[machine.zone]++;
  for (std::size_t r = 0; r < machine.room.size(); r++) machine.room[r] -= job.demand[r];
}

void ShardModel::release_room(Machine& machine, Job& job) {
  teams_.remove(job.team, job.demand);
  job.placed--;
  if (job.placed == 0) job.attempt = {};
  job.placed_by_zone[machine.zone]--;
  for (std::size_t r = 0; r < machine.room.size(); r++) machine.room[r] += job.demand[r];
}

void ShardModel::free_placement(Placement& placement, double delay_s) {
  if (placement.stage == Placement::Stage::kFreeing) return;
  if (placement.job->is_gang()) on_gang_task_lost(*placement.job);
  placement.stage = Placement::Stage::kFreeing;
  placement.requeue_delay_s = delay_s;
  hooks_.on_placement_freed(placement.segment);
}

void ShardModel::drop_placement(Machine& machine, std::size_t position) {
  const Placement placement = machine.placements[position];
  machine.placements.erase(machine.placements.begin() + static_cast<std::ptrdiff_t>(position));
  release_room(machine, *placement.job);
  requeue(placement.job, placement.index, placement.requeue_delay_s);
}

void ShardModel::requeue(const JobPtr& job, int index, double delay_s) {
  if (job->is_over() || job->done.contains(index)) return;
  if (delay_s > 0) {
    job->backoff.emplace_back(ctx_.env->now() + delay_s, index);
  } else {
    job->waiting.insert(index);
    hooks_.on_work_waiting();
  }
}

void ShardModel::mark_done(const JobPtr& job, int index) {
  if (job->done.contains(index)) return;
  const int first = job->is_gang() ? 0 : index;
  const int last = job->is_gang() ? job->spec().task_count : index + 1;
  job->done.insert(first, last);
  job->undurable_completions.insert(first, last);
  job->waiting.erase(job->waiting.slice(first, last));
  std::erase_if(job->backoff,
                [first, last](const auto& item) { return item.second >= first && item.second < last; });
  hooks_.on_completion_added();
}

bool ShardModel::has_failed_on_one_machine_only(const std::string& ref) const {
  std::set<std::string> failing_machines;
  const std::string prefix = keys::delegations(ctx_.shard, ref);
  const auto add = [&failing_machines](const Job& job) {
    for (const auto& [name, failing] : job.failures_by_machine) failing_machines.insert(name);
  };
  if (const auto home = jobs_.find(ref); home != jobs_.end()) add(*home->second);
  for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it)
    add(*it->second);
  return failing_machines.size() == 1;
}

double ShardModel::min_machine_cores(const std::optional<std::vector<std::string>>& machine_types,
                                     const Resources& demand) const {
  double smallest_cores = std::numeric_limits<double>::infinity();
  for (const MachineType& type : ctx_.types->all()) {
    if (machine_types &&
        std::find(machine_types->begin(), machine_types->end(), type.name) == machine_types->end())
      continue;
    if (fits(demand, {type.cores, type.memory_gb, type.accelerators}))
      smallest_cores = std::min(smallest_cores, type.cores);
  }
  return smallest_cores;
}

std::uint64_t ShardModel::next_attempt() {
  const std::uint64_t revision =
      ctx_.settings->tuning.recovery ? std::max(ctx_.fencing_token, watched_revision_) : ctx_.fencing_token;
  return (revision << kAttemptCounterBits) + next_unique_number();
}

// Called once a task of the attempt is known to be gone or will never be launched.
void ShardModel::on_gang_task_lost(Job& job) {
  if (job.is_over() || job.cancel_requested()) return;
  if (job.attempt.started && !job.attempt.stopping) job.attempt.failed = true;
}

// Omits placements whose record is not durable yet: they were never launched, so their tasks still wait.
ShardMemory ShardModel::memory() const {
  ShardMemory out;
  out.shard = ctx_.shard;
  out.fencing_token = ctx_.fencing_token;
  for (const auto& [name, job] : jobs_) {
    JobMemory item;
    item.record = job->record;
    item.done = job->done;
    item.delegated_here = job->delegated_here();
    if (const auto held = unaccounted_.find(name); held != unaccounted_.end()) {
      item.held = held->second.held_indices(job->spec().task_count);
      item.may_have_ended = held->second.withholds_status();
    }
    for (const auto& [key, delegated] : job->delegated) {
      RangeSet open = delegated.range;
      open.erase(delegated.done);
      if (!open.empty()) item.delegated[keys::delegation_target(key)].insert(open);
    }
    out.jobs.push_back(std::move(item));
  }
  for (const auto& [ref, record] : unaccounted_) {
    if (record.all_held && !record.rerun && jobs_.count(ref) == 0) out.without_description.push_back(ref);
  }
  for (const auto& [name, machine] : machines_) {
    MachineRecord record = machine->record;
    record.placements.clear();
    for (const Placement& placement : machine->placements) {
      if (placement.stage == Placement::Stage::kNew) continue;
      record.placements.push_back({placement.job->spec().ref, placement.index, placement.attempt});
    }
    if (!record.placements.empty()) out.machines.emplace(name, std::move(record));
  }
  return out;
}

}  // namespace mothslip
