#include "coordination/shard/summary_builder.hpp"

#include <algorithm>
#include <map>

#include "coordination/shard/placement_rules.hpp"

namespace mothslip {

namespace {
constexpr double kUnreachableLeases = 2.5;
// How long a placed task may still hold its room. Estimates are often too low: one that is overdue is taken
// to need a part of what it has had.
double remaining(const Placement& placement, double fetch_gb_per_s, double now) {
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
  use.squares += cores * cores;
  const double at_once = job.is_gang() ? job.spec().task_count : 1;
  for (std::size_t r = 0; r < use.largest.size(); r++)
    use.largest[r] = std::max(use.largest[r], at_once * job.demand[r]);
}

ShardSummary SummaryBuilder::build() const {
  constexpr double kBucket = 5;  // seconds: ends of tasks that are close count as one
  const double now = ctx_.env->now();
  ShardSummary out;
  out.shard = ctx_.shard;
  out.fencing_token = ctx_.fencing_token;
  for (const auto& [name, machine] : model_.machines()) {
    MachineSummary item;
    item.name = name;
    item.machine_type = machine->record.machine_type;
    item.zone = machine->record.zone;
    item.address = machine->record.address;
    item.spot = machine->record.spot;
    item.schedulable = machine->type >= 0 && machine->schedulable() &&
                       now - machine->last_heard < ctx_.settings->lease_s / 2;
    // One that does not hear us for long is of no use either.
    item.faulty = machine->faulty ||
                  (machine->inbound_unreachable && now - machine->inbound_unreachable_since >
                                                       kUnreachableLeases * ctx_.worker_lease_bound_s());
    item.draining = machine->draining;
    // Nothing is placed, and every completion it showed is durable and reaped.
    item.empty = machine->placements.empty() && machine->unmatched.empty();
    item.silent_s = now - machine->last_heard;
    item.idle_s = machine->placements.empty() ? now - machine->busy_at : 0;
    std::map<int, Resources> rooms;
    std::map<int, Resources> yielding;  // likewise, held by best-effort work
    rooms[0] = machine->room;
    for (const Placement& placement : machine->placements) {
      const double rate = machine->type >= 0 ? ctx_.types->at(machine->type).fetch_gb_per_s : 1;
      const int bucket = 1 + static_cast<int>(remaining(placement, rate, now) / kBucket);
      Resources& room = rules_.is_preemptible(*placement.job) ? yielding[bucket] : rooms[bucket];
      for (std::size_t r = 0; r < 3; r++) room[r] += placement.job->demand[r];
    }
    for (const auto& [bucket, room] : rooms) item.rooms.push_back({bucket * kBucket, room, false});
    for (const auto& [bucket, room] : yielding) item.rooms.push_back({bucket * kBucket, room, true});
    std::stable_sort(item.rooms.begin(), item.rooms.end(),
                     [](const FleetRoom& a, const FleetRoom& b) { return a.at_s < b.at_s; });
    out.machines.push_back(std::move(item));
  }
  const double wall = ctx_.env->wall();
  for (const auto& [name, job] : model_.jobs()) {
    if (job->over()) continue;
    const JobSpec& spec = job->spec();
    // No machine is rented for one that is at fault.
    const int waiting = job->at_fault() ? 0 : job->waiting.size();
    const int count = job->at_fault() ? 0 : waiting + static_cast<int>(job->backoff.size());
    // Room is kept free for what demand varies by; best-effort work can wait.
    if (!rules_.is_preemptible(*job))
      out.wanted_by_team[job->team] += (job->placed + waiting) * job->demand[0];
    out.used_by_team[job->team] += job->placed * job->demand[0];
    if (!job->delegated_here() && !rules_.is_preemptible(*job)) {
      const double cores = (job->placed + count + job->delegated_open()) * job->demand[0];
      if (spec.allows_spot) {
        out.squares += cores * cores;
      } else {
        add_ordinary_use(*job, cores, out.ordinary);
      }
    }
    if (count == 0) continue;
    DemandSummary demand;
    demand.demand = job->demand;
    demand.count = count;
    demand.team = job->team;
    // (Promoted best-effort work is asked for like other work.)
    demand.urgency = rules_.is_preemptible(*job) ? 0 : std::max(1, static_cast<int>(spec.urgency));
    demand.estimated_s = spec.estimated_s;
    demand.image_gb = spec.image_gb;
    if (spec.deadline_s) demand.time_left_s = job->record.submitted + *spec.deadline_s - wall;
    demand.job_class = spec.job_class;
    demand.allows_spot = spec.allows_spot;
    if (spec.machine_types) demand.machine_types = *spec.machine_types;
    if (spec.zone) demand.zone = *spec.zone;
    demand.submitted = job->record.submitted;
    demand.starving = rules_.starving(*job);
    demand.gang = job->is_gang();
    out.demands.push_back(std::move(demand));
  }
  return out;
}

}  // namespace mothslip
