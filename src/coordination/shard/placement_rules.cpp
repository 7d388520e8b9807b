#include "coordination/shard/placement_rules.hpp"

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kAvoidS = 60;         // a machine, after the job's last error there
constexpr double kStarvingS = 45;      // since submission
constexpr double kGangStarvingS = 12;  // likewise for gangs: their room does not gather by itself
constexpr double kAgeFromS = 90;       // since submission; from then on a unit of preference
constexpr double kAgeUnitS = 45;       // every so many seconds
// Best-effort work of which nothing has begun for this long is treated like other work until its first task
// is placed: nothing waits for ever, however busy the cluster is.
constexpr double kPromoteAfterS = 120.0;
constexpr double kLongUnplacedS = 30.0;  // of best-effort work
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

// No smaller type would do.
bool PlacementRules::needs_type(double least_cores, int type) const {
  return least_cores >= ctx_.types->at(type).cores;
}

bool PlacementRules::fits_smaller_type(const Job& job, int type) const {
  return flexible(job) && !needs_type(job.least_cores, type);
}

// Could go to any machine that is large enough.
bool PlacementRules::flexible(const Job& job) {
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

// A job that fails on a machine is tried elsewhere first, at other shards if need be: where the machine is at
// fault and the only one here, the job failed there for ever. One that fails on several is at fault itself.
bool PlacementRules::avoids(const Job& job, const Machine& machine) const {
  const auto it = job.failures_by_machine.find(machine.name);
  if (it == job.failures_by_machine.end() || ctx_.env->now() - it->second.last_error_at >= kAvoidS)
    return false;
  return job.is_faulty() ||
         (job.failures_by_machine.size() < Job::kMinFailedMachines && it->second.errors >= 2);
}

bool PlacementRules::allowed_on(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  if (!allows_machine(spec, machine.record.machine_type, machine.record.zone, machine.record.spot))
    return false;
  if (avoids(job, machine)) return false;
  const auto in_zone = job.placed_by_zone.find(machine.zone);
  const int here = in_zone == job.placed_by_zone.end() ? 0 : in_zone->second;
  if (job.has_placement_constraints() && job.delegated_open() > 0)
    return false;  // another shard holds what is placed of it
  if (spec.must_share_zone && job.placed > here) return false;
  return !spec.must_spread_zones || here + 1 <= (spec.task_count + 1) / 2;
}

bool PlacementRules::within_quota(const Job& job) const {
  if (!job.is_gang()) return model_.teams().within_quota(job.team, job.demand);
  return model_.teams().tasks_within(job.team, job.demand) >= job.waiting.size();
}

bool PlacementRules::starving(const Job& job) const {
  if (job.placed > 0 || !job.done.empty() || job.waiting.empty() || job.delegated_open() > 0) return false;
  if (job.is_faulty()) return false;  // it has begun, and failed
  return ctx_.env->wall_time() - job.record.submitted_at > (job.is_gang() ? kGangStarvingS : kStarvingS);
}

std::map<int, const Job*> PlacementRules::quota_saved_for() const {
  std::map<int, const Job*> out;
  for (const auto& [name, job] : model_.jobs()) {
    if (job->is_over() || !starving(*job) || within_quota(*job)) continue;
    const bool here =
        std::any_of(model_.machines().begin(), model_.machines().end(), [this, &job = job](const auto& item) {
          return item.second->schedulable() && fits(job->demand, item.second->capacity) &&
                 allowed_on(*job, *item.second);
        });
    if (!here) continue;
    const Job*& first = out[job->team];
    if (first == nullptr || job->record.submitted_at < first->record.submitted_at) first = job.get();
  }
  return out;
}

double PlacementRules::age_bonus(const Job& job, double wall) {
  return std::clamp((wall - job.record.submitted_at - kAgeFromS) / kAgeUnitS, 0.0, 4.0);
}

bool PlacementRules::is_preemptible(const Job& job) const {
  if (job.spec().urgency != Urgency::kBestEffort) return false;
  const bool begun = job.placed > 0 || !job.done.empty() || job.delegated_open() > 0;
  return begun || ctx_.env->wall_time() - job.record.submitted_at < kPromoteAfterS;
}

bool PlacementRules::long_unplaced(const Job& job) const {
  return ctx_.env->now() - job.idle_since > kLongUnplacedS;
}

bool PlacementRules::waits_for_room(const Job& job) const {
  return !job.waiting.empty() && !job.is_over() && !job.cancelling && job.cancel_waiters.empty() &&
         !job.is_faulty() && within_quota(job);
}

// Waiting tasks of this shard, but for best-effort work.
void PlacementRules::add_waiting_here(const Machine& machine, WaitingBySize& out) const {
  for (const auto& [ref, job] : model_.jobs()) {
    if (job->waiting.empty() || job->is_over() || is_preemptible(*job)) continue;
    const int urgency = static_cast<int>(job->spec().urgency);
    if (needs_type(job->least_cores, machine.type)) {
      if (!fits(job->demand, machine.capacity) || !allowed_on(*job, machine)) continue;
      const bool starves = starving(*job);
      if (!starves && !within_quota(*job)) continue;
      out.large = true;
      out.large_starves |= starves;
      out.large_urgency = std::max(out.large_urgency, urgency);
    } else if (flexible(*job)) {
      out.small_tasks += job->waiting.size();
      out.small_urgency = std::max(out.small_urgency, urgency);
      for (std::size_t r = 0; r < out.small_demand.size(); r++)
        out.small_demand[r] = std::max(out.small_demand[r], job->demand[r]);
    }
  }
}

// Large tasks that wait at other shards.
void PlacementRules::add_waiting_elsewhere(const Machine& machine, WaitingBySize& out) const {
  for (const WaitingHint& hint : model_.demand_elsewhere()) {
    if (machine.record.spot && !hint.allows_spot) continue;
    if (!fits(hint.demand, machine.capacity) || !needs_type(hint.min_machine_cores, machine.type)) continue;
    out.large = true;
    out.large_urgency = std::max(out.large_urgency, hint.urgency);
    out.large_starves |= hint.starving;
  }
}

// How many tasks of this demand the machines of smaller types have room for now.
int PlacementRules::slots_on_smaller_types(const Machine& machine, const Resources& demand) const {
  constexpr double kMostSlots = 1e6;       // on one machine, where the demand is nothing
  constexpr double kRoundingSlack = 1e-6;  // of a slot
  const double cores = ctx_.types->at(machine.type).cores;
  const double now = ctx_.env->now();
  int slots = 0;
  for (const auto& [name, other] : model_.machines()) {
    if (other->type < 0 || !other->schedulable() || other->cordoned ||
        ctx_.types->at(other->type).cores >= cores)
      continue;
    if (now - other->last_report_at > ctx_.report_freshness_s() || now < other->no_fill_until) continue;
    double slots_here = kMostSlots;
    for (std::size_t r = 0; r < demand.size(); r++) {
      if (demand[r] > 0) slots_here = std::min(slots_here, other->room[r] / demand[r] + kRoundingSlack);
    }
    slots += std::max(0, static_cast<int>(slots_here));
  }
  return slots;
}

bool PlacementRules::reserves_for_large(const Machine& machine) const {
  WaitingBySize waiting;
  add_waiting_here(machine, waiting);
  add_waiting_elsewhere(machine, waiting);
  if (waiting.small_tasks == 0) return waiting.large;
  if (waiting.large && (waiting.large_urgency >= waiting.small_urgency || waiting.large_starves)) return true;
  return slots_on_smaller_types(machine, waiting.small_demand) >= waiting.small_tasks;
}

}  // namespace mothslip
