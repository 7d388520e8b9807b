#include "coordination/shard/placement_rules.hpp"

#include <algorithm>

namespace mothslip {

namespace {
// A job avoids a machine for this long after its last error there.
constexpr double kAvoidMachineSeconds = 60;
// A job starves when none of its tasks has started this long after the submission. Gangs starve earlier,
// because room for them does not accumulate by itself.
constexpr double kStarvationSeconds = 45;
constexpr double kGangStarvationSeconds = 12;
// The age bonus begins to grow this long after the submission, by one unit of preference per
// kAgeBonusUnitSeconds.
constexpr double kAgeBonusStartSeconds = 90;
constexpr double kAgeBonusUnitSeconds = 45;
// A best-effort job of which no task has started this long after the submission is treated like other work
// until its first task is placed. No job waits forever, however busy the cluster is.
constexpr double kPromotionSeconds = 120.0;
// A best-effort job may use any room when none of its tasks has been placed for this long.
constexpr double kLongUnplacedSeconds = 30.0;
}  // namespace

PlacementRules::PlacementRules(const ShardContext& context, ShardModel& model)
    : ctx_(context), model_(model) {
  const Tuning& tuning = ctx_.settings->tuning;
  weights_.fitness = tuning.weight_fitness;
  weights_.urgency = tuning.weight_urgency;
  weights_.alignment = tuning.weight_alignment;
  weights_.slack = tuning.weight_slack;
  weights_.locality = tuning.weight_locality;
  for (std::size_t r = 0; r < weights_.resource.size(); r++) {
    double largest = 0;
    for (const MachineType& type : ctx_.types->all()) {
      largest = std::max(largest, Resources{type.cores, type.memory_gb, type.accelerators}[r]);
    }
    weights_.resource[r] = largest > 0 ? 1 / largest : 0;
  }
}

// Whether no type smaller than `type` can hold the task. `min_machine_cores` are those of the smallest type
// that can.
bool PlacementRules::needs_type(double min_machine_cores, int type) const {
  return min_machine_cores >= ctx_.types->at(type).cores;
}

bool PlacementRules::fits_smaller_type(const Job& job, int type) const {
  return is_flexible(job) && !needs_type(job.min_machine_cores, type);
}

// Whether the job's tasks could run on any machine that is large enough.
bool PlacementRules::is_flexible(const Job& job) {
  const JobSpec& spec = job.spec();
  return spec.allows_spot && !spec.zone && !spec.machine_types && !spec.must_share_zone &&
         !spec.must_spread_zones;
}

bool PlacementRules::allows_machine(const JobSpec& spec, const std::string& machine_type,
                                    const std::string& zone, bool spot) {
  if (spot && !spec.allows_spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                          machine_type) != spec.machine_types->end();
}

// A job that fails on a machine is tried elsewhere first, at other shards if necessary. Before this rule, a
// job failed forever on a faulty machine that was the only one of its shard. A job that fails on several
// machines is itself faulty.
bool PlacementRules::avoids_machine(const Job& job, const Machine& machine) const {
  const auto it = job.failures_by_machine.find(machine.name);
  if (it == job.failures_by_machine.end() ||
      ctx_.env->now() - it->second.last_error_at >= kAvoidMachineSeconds)
    return false;
  return job.is_faulty() ||
         (job.failures_by_machine.size() < Job::kMinFailedMachines && it->second.errors >= 2);
}

bool PlacementRules::allowed_on(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  if (!allows_machine(spec, machine.record.machine_type, machine.record.zone, machine.record.spot))
    return false;
  if (avoids_machine(job, machine)) return false;
  const auto in_zone = job.placed_by_zone.find(machine.zone);
  const int placed_in_zone = in_zone == job.placed_by_zone.end() ? 0 : in_zone->second;
  if (job.has_placement_constraints() && job.delegated_open() > 0)
    return false;  // the placed tasks of the job are at another shard
  if (spec.must_share_zone && job.placed > placed_in_zone) return false;
  return !spec.must_spread_zones || placed_in_zone + 1 <= (spec.task_count + 1) / 2;
}

bool PlacementRules::within_quota(const Job& job) const {
  if (!job.is_gang()) return model_.teams().within_quota(job.team, job.demand);
  return model_.teams().tasks_within(job.team, job.demand) >= job.waiting.size();
}

bool PlacementRules::is_starving(const Job& job) const {
  if (job.placed > 0 || !job.done.empty() || job.waiting.empty() || job.delegated_open() > 0) return false;
  if (job.is_faulty()) return false;  // its tasks have started and failed
  return ctx_.env->wall_time() - job.record.submitted_at >
         (job.is_gang() ? kGangStarvationSeconds : kStarvationSeconds);
}

std::map<int, const Job*> PlacementRules::quota_reserved_for() const {
  std::map<int, const Job*> out;
  for (const auto& [name, job] : model_.jobs()) {
    if (job->is_over() || !is_starving(*job) || within_quota(*job)) continue;
    const bool has_suitable_machine =
        std::any_of(model_.machines().begin(), model_.machines().end(), [this, &job = job](const auto& item) {
          return item.second->schedulable() && fits(job->demand, item.second->capacity) &&
                 allowed_on(*job, *item.second);
        });
    if (!has_suitable_machine) continue;
    const Job*& oldest = out[job->team];
    if (oldest == nullptr || job->record.submitted_at < oldest->record.submitted_at) oldest = job.get();
  }
  return out;
}

double PlacementRules::age_bonus(const Job& job, double wall_time) {
  return std::clamp((wall_time - job.record.submitted_at - kAgeBonusStartSeconds) / kAgeBonusUnitSeconds, 0.0,
                    4.0);
}

bool PlacementRules::is_preemptible(const Job& job) const {
  if (job.spec().urgency != Urgency::kBestEffort) return false;
  const bool has_started = job.placed > 0 || !job.done.empty() || job.delegated_open() > 0;
  return has_started || ctx_.env->wall_time() - job.record.submitted_at < kPromotionSeconds;
}

bool PlacementRules::is_long_unplaced(const Job& job) const {
  return ctx_.env->now() - job.idle_since > kLongUnplacedSeconds;
}

bool PlacementRules::waits_for_room(const Job& job) const {
  return !job.waiting.empty() && !job.is_over() && !job.cancelling && job.cancel_waiters.empty() &&
         !job.is_faulty() && within_quota(job);
}

// Adds the waiting tasks of this shard, except those of preemptible jobs.
void PlacementRules::add_waiting_here(const Machine& machine, WaitingBySize& out) const {
  for (const auto& [ref, job] : model_.jobs()) {
    if (job->waiting.empty() || job->is_over() || is_preemptible(*job)) continue;
    const int urgency = static_cast<int>(job->spec().urgency);
    if (needs_type(job->min_machine_cores, machine.type)) {
      if (!fits(job->demand, machine.capacity) || !allowed_on(*job, machine)) continue;
      const bool starves = is_starving(*job);
      if (!starves && !within_quota(*job)) continue;
      out.has_large = true;
      out.large_is_starving |= starves;
      out.max_large_urgency = std::max(out.max_large_urgency, urgency);
    } else if (is_flexible(*job)) {
      out.small_task_count += job->waiting.size();
      out.max_small_urgency = std::max(out.max_small_urgency, urgency);
      for (std::size_t r = 0; r < out.max_small_demand.size(); r++)
        out.max_small_demand[r] = std::max(out.max_small_demand[r], job->demand[r]);
    }
  }
}

// Adds the large tasks that wait at other shards.
void PlacementRules::add_waiting_elsewhere(const Machine& machine, WaitingBySize& out) const {
  for (const WaitingHint& hint : model_.demand_elsewhere()) {
    if (machine.record.spot && !hint.allows_spot) continue;
    if (!fits(hint.demand, machine.capacity) || !needs_type(hint.min_machine_cores, machine.type)) continue;
    out.has_large = true;
    out.max_large_urgency = std::max(out.max_large_urgency, hint.urgency);
    out.large_is_starving |= hint.starving;
  }
}

// Number of tasks with this demand for which the machines of smaller types have room now.
int PlacementRules::slots_on_smaller_types(const Machine& machine, const Resources& demand) const {
  constexpr double kMaxSlots = 1e6;            // per machine, if the tasks demand no resources
  constexpr double kRoundingTolerance = 1e-6;  // in slots
  const double cores = ctx_.types->at(machine.type).cores;
  const double now = ctx_.env->now();
  int slots = 0;
  for (const auto& [name, other] : model_.machines()) {
    if (other->type < 0 || !other->schedulable() || other->cordoned ||
        ctx_.types->at(other->type).cores >= cores)
      continue;
    if (now - other->last_report_at > ctx_.max_report_age_s() || now < other->no_fill_until) continue;
    double slots_here = kMaxSlots;
    for (std::size_t r = 0; r < demand.size(); r++) {
      if (demand[r] > 0) slots_here = std::min(slots_here, other->room[r] / demand[r] + kRoundingTolerance);
    }
    slots += std::max(0, static_cast<int>(slots_here));
  }
  return slots;
}

bool PlacementRules::reserves_for_large(const Machine& machine) const {
  WaitingBySize waiting;
  add_waiting_here(machine, waiting);
  add_waiting_elsewhere(machine, waiting);
  if (waiting.small_task_count == 0) return waiting.has_large;
  if (waiting.has_large &&
      (waiting.max_large_urgency >= waiting.max_small_urgency || waiting.large_is_starving))
    return true;
  return slots_on_smaller_types(machine, waiting.max_small_demand) >= waiting.small_task_count;
}

}  // namespace mothslip
