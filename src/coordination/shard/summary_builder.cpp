#include "coordination/shard/summary_builder.hpp"

#include <algorithm>
#include <map>

#include "coordination/shard/placement_rules.hpp"

namespace mothslip {

namespace {
// A machine is reported as faulty once it has been unreachable for this number of lease durations.
constexpr double kFaultyAfterUnreachableLeases = 2.5;

// Returns the expected time until a placed task releases its room. Estimates are often too low, so an overdue
// task is expected to need a fraction of the time that it has already run.
double remaining_s(const Placement& placement, double fetch_gb_per_s, double now) {
  const JobSpec& spec = placement.job->spec();
  if (placement.running_since == 0)
    return spec.estimated_s + 0.5 * spec.image_gb / std::max(0.01, fetch_gb_per_s);
  const double ran_s = now - placement.running_since;
  return std::max(spec.estimated_s - ran_s, 0.25 * std::max(ran_s, 4.0));
}
}  // namespace

SummaryBuilder::SummaryBuilder(const ShardContext& context, ShardModel& model, PlacementRules& rules)
    : ctx_(context), model_(model), rules_(rules) {}

void SummaryBuilder::add_ordinary_use(const Job& job, double cores, OrdinaryUse& use) {
  use.cores += cores;
  use.squared_cores_sum += cores * cores;
  const double concurrent_tasks = job.is_gang() ? job.spec().task_count : 1;
  for (std::size_t r = 0; r < use.largest_start_demand.size(); r++)
    use.largest_start_demand[r] = std::max(use.largest_start_demand[r], concurrent_tasks * job.demand[r]);
}

// Returns the machine's free room now, and the room that becomes free as its tasks end. Room held by
// preemptible work is listed separately, because other work can take it.
std::vector<FleetRoom> SummaryBuilder::rooms_of(const Machine& machine, double now) const {
  constexpr double kBucketSeconds = 5;  // tasks that end within the same interval share one entry
  std::map<int, Resources> rooms;       // by bucket, where 0 is now
  std::map<int, Resources> preemptible_rooms;
  rooms[0] = machine.room;
  for (const Placement& placement : machine.placements) {
    const double fetch_gb_per_s = machine.type >= 0 ? ctx_.types->at(machine.type).fetch_gb_per_s : 1;
    const int bucket = 1 + static_cast<int>(remaining_s(placement, fetch_gb_per_s, now) / kBucketSeconds);
    Resources& room = rules_.is_preemptible(*placement.job) ? preemptible_rooms[bucket] : rooms[bucket];
    for (std::size_t r = 0; r < room.size(); r++) room[r] += placement.job->demand[r];
  }
  std::vector<FleetRoom> out;
  out.reserve(rooms.size() + preemptible_rooms.size());
  for (const auto& [bucket, room] : rooms) out.push_back({bucket * kBucketSeconds, room, false});
  for (const auto& [bucket, room] : preemptible_rooms) out.push_back({bucket * kBucketSeconds, room, true});
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
  // A machine that has been unreachable for long cannot be used either, so it is reported as faulty.
  out.faulty = machine.faulty || (machine.inbound_unreachable &&
                                  now - machine.inbound_unreachable_since >
                                      kFaultyAfterUnreachableLeases * ctx_.worker_lease_bound_s());
  out.draining = machine.draining;
  // The machine has no placement, and every completion that it reported is durable and acknowledged.
  out.empty = machine.placements.empty() && machine.unmatched.empty();
  out.silent_s = now - machine.last_report_at;
  out.idle_s = machine.placements.empty() ? now - machine.busy_at : 0;
  out.rooms = rooms_of(machine, now);
  return out;
}

// Adds the cores that the job uses and would use, by team and by kind of machine.
void SummaryBuilder::add_use(const Job& job, const JobTasks& tasks, ShardSummary& out) const {
  const bool preemptible = rules_.is_preemptible(job);
  // The fleet keeps room free for variations in demand. Best-effort work is left out because it can wait.
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

DemandSummary SummaryBuilder::demand_of(const Job& job, int count, double wall_time) const {
  const JobSpec& spec = job.spec();
  DemandSummary out;
  out.demand = job.demand;
  out.count = count;
  out.team = job.team;
  // Promoted best-effort work is requested like other work.
  out.urgency = rules_.is_preemptible(job) ? 0 : std::max(1, static_cast<int>(spec.urgency));
  out.estimated_s = spec.estimated_s;
  out.image_gb = spec.image_gb;
  if (spec.deadline_s) out.time_left_s = job.record.submitted_at + *spec.deadline_s - wall_time;
  out.job_class = spec.job_class;
  out.allows_spot = spec.allows_spot;
  if (spec.machine_types) out.machine_types = *spec.machine_types;
  if (spec.zone) out.zone = *spec.zone;
  out.submitted_at = job.record.submitted_at;
  out.starving = rules_.is_starving(job);
  out.is_gang = job.is_gang();
  return out;
}

ShardSummary SummaryBuilder::build() const {
  const double now = ctx_.env->now();
  ShardSummary out;
  out.shard = ctx_.shard;
  out.fencing_token = ctx_.fencing_token;
  for (const auto& [name, machine] : model_.machines()) out.machines.push_back(summarize(*machine, now));
  const double wall_time = ctx_.env->wall_time();
  for (const auto& [name, job] : model_.jobs()) {
    if (job->is_over()) continue;
    JobTasks tasks;
    // No machines are rented for a faulty job.
    if (!job->is_faulty()) {
      tasks.waiting = job->waiting.size();
      tasks.wanted = tasks.waiting + static_cast<int>(job->backoff.size());
    }
    add_use(*job, tasks, out);
    if (tasks.wanted > 0) out.demands.push_back(demand_of(*job, tasks.wanted, wall_time));
  }
  return out;
}

}  // namespace mothslip
