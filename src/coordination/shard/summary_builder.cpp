#include "coordination/shard/summary_builder.hpp"

#include <algorithm>
#include <map>

#include "coordination/shard/placement_rules.hpp"

namespace mothslip {

namespace {
constexpr double kUnreachableLeases = 2.5;  // lease durations until a machine out of reach counts as faulty

// How long, in seconds, a placed task may still hold its room. Estimates are often too low: one that is
// overdue is taken to need a part of what it has had.
double remaining_s(const Placement& placement, double fetch_gb_per_s, double now) {
  const JobSpec& spec = placement.job->spec();
  if (placement.running_since == 0)
    return spec.estimated_s + 0.5 * spec.image_gb / std::max(0.01, fetch_gb_per_s);
  const double ran = now - placement.running_since;
  return std::max(spec.estimated_s - ran, 0.25 * std::max(ran, 4.0));
}
}  // namespace

SummaryBuilder::SummaryBuilder(const ShardContext& context, ShardModel& model, PlacementRules& rules)
    : ctx_(context), model_(model), rules_(rules) {}

void SummaryBuilder::add_ordinary_use(const Job& job, double cores, OrdinaryUse& use) {
  use.cores += cores;
  use.squared_cores_sum += cores * cores;
  const double at_once = job.is_gang() ? job.spec().task_count : 1;
  for (std::size_t r = 0; r < use.largest_start_demand.size(); r++)
    use.largest_start_demand[r] = std::max(use.largest_start_demand[r], at_once * job.demand[r]);
}

// The machine's room now, and as its tasks come to their ends; what best-effort work holds yields to other
// work.
std::vector<FleetRoom> SummaryBuilder::rooms_of(const Machine& machine, double now) const {
  constexpr double kBucketS = 5;   // ends of tasks that are closer count as one
  std::map<int, Resources> rooms;  // by bucket; 0: now
  std::map<int, Resources> yielding;
  rooms[0] = machine.room;
  for (const Placement& placement : machine.placements) {
    const double rate = machine.type >= 0 ? ctx_.types->at(machine.type).fetch_gb_per_s : 1;
    const int bucket = 1 + static_cast<int>(remaining_s(placement, rate, now) / kBucketS);
    Resources& room = rules_.is_preemptible(*placement.job) ? yielding[bucket] : rooms[bucket];
    for (std::size_t r = 0; r < room.size(); r++) room[r] += placement.job->demand[r];
  }
  std::vector<FleetRoom> out;
  out.reserve(rooms.size() + yielding.size());
  for (const auto& [bucket, room] : rooms) out.push_back({bucket * kBucketS, room, false});
  for (const auto& [bucket, room] : yielding) out.push_back({bucket * kBucketS, room, true});
  std::stable_sort(out.begin(), out.end(), [](const FleetRoom& a, const FleetRoom& b) {
    return a.available_in_s < b.available_in_s;
  });
  return out;
}

MachineSummary SummaryBuilder::summarize(const Machine& machine, double now) const {
  MachineSummary out;
  out.name = machine.name;
  out.machine_type = machine.record.machine_type;
  out.zone = machine.record.zone;
  out.address = machine.record.address;
  out.spot = machine.record.spot;
  out.schedulable =
      machine.type >= 0 && machine.schedulable() && now - machine.last_report_at < ctx_.settings->lease_s / 2;
  // One that has not been reached for long is of no use either.
  out.faulty = machine.faulty ||
               (machine.inbound_unreachable &&
                now - machine.inbound_unreachable_since > kUnreachableLeases * ctx_.worker_lease_bound_s());
  out.draining = machine.draining;
  // Nothing is placed, and every completion it showed is durable and acknowledged.
  out.empty = machine.placements.empty() && machine.unmatched.empty();
  out.silent_s = now - machine.last_report_at;
  out.idle_s = machine.placements.empty() ? now - machine.busy_at : 0;
  out.rooms = rooms_of(machine, now);
  return out;
}

// Cores that the job uses and would use, by team and by the kind of machine.
void SummaryBuilder::add_use(const Job& job, const JobTasks& tasks, ShardSummary& out) const {
  const bool preemptible = rules_.is_preemptible(job);
  // Room is kept free for what demand varies by; best-effort work can wait.
  if (!preemptible) out.wanted_by_team[job.team] += (job.placed + tasks.waiting) * job.demand[0];
  out.used_by_team[job.team] += job.placed * job.demand[0];
  if (job.delegated_here() || preemptible) return;
  const double cores = (job.placed + tasks.wanted + job.delegated_open()) * job.demand[0];
  if (job.spec().allows_spot) {
    out.squared_cores_sum += cores * cores;
  } else {
    add_ordinary_use(job, cores, out.ordinary_use);
  }
}

DemandSummary SummaryBuilder::demand_of(const Job& job, int count, double wall) const {
  const JobSpec& spec = job.spec();
  DemandSummary out;
  out.demand = job.demand;
  out.count = count;
  out.team = job.team;
  // (Promoted best-effort work is asked for like other work.)
  out.urgency = rules_.is_preemptible(job) ? 0 : std::max(1, static_cast<int>(spec.urgency));
  out.estimated_s = spec.estimated_s;
  out.image_gb = spec.image_gb;
  if (spec.deadline_s) out.time_left_s = job.record.submitted_at + *spec.deadline_s - wall;
  out.job_class = spec.job_class;
  out.allows_spot = spec.allows_spot;
  if (spec.machine_types) out.machine_types = *spec.machine_types;
  if (spec.zone) out.zone = *spec.zone;
  out.submitted_at = job.record.submitted_at;
  out.starving = rules_.starving(job);
  out.is_gang = job.is_gang();
  return out;
}

ShardSummary SummaryBuilder::build() const {
  const double now = ctx_.env->now();
  ShardSummary out;
  out.shard = ctx_.shard;
  out.fencing_token = ctx_.fencing_token;
  for (const auto& [name, machine] : model_.machines()) out.machines.push_back(summarize(*machine, now));
  const double wall = ctx_.env->wall_time();
  for (const auto& [name, job] : model_.jobs()) {
    if (job->is_over()) continue;
    JobTasks tasks;
    // No machine is rented for one that is at fault.
    if (!job->is_faulty()) {
      tasks.waiting = job->waiting.size();
      tasks.wanted = tasks.waiting + static_cast<int>(job->backoff.size());
    }
    add_use(*job, tasks, out);
    if (tasks.wanted > 0) out.demands.push_back(demand_of(*job, tasks.wanted, wall));
  }
  return out;
}

}  // namespace mothslip
