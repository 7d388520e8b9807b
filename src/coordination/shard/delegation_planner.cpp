#include "coordination/shard/delegation_planner.hpp"

#include <algorithm>

namespace mothslip {

namespace {
// The time that a task of the job may take, by its estimate; estimates are often too low.
constexpr double kEstimateMargin = 1.3;
}  // namespace

bool take_room(Resources& room, const Resources& demand) {
  if (!fits(demand, room)) return false;
  for (std::size_t r = 0; r < room.size(); r++) room[r] -= demand[r];
  return true;
}

bool DelegationPlanner::has_usable_room(const Machine& machine) const {
  const double now = ctx_.env->now();
  if (machine.type < 0 || !machine.schedulable() || now < machine.no_fill_until) return false;
  return machine.has_reported && now - machine.last_report_at <= ctx_.report_freshness_s() &&
         !machine.reserved_for;
}

DelegationPlanner::FreeRooms DelegationPlanner::own_rooms() const {
  FreeRooms out;
  for (const auto& [name, machine] : model_.machines()) {
    if (!has_usable_room(*machine)) continue;
    machine->reserved_for_large = rules_.reserves_for_large(*machine);
    out.emplace_back(machine.get(), machine->room);
  }
  return out;
}

bool DelegationPlanner::may_be_delegated(const Job& job) const {
  if (job.delegated_here() || job.is_gang() || job.is_over() || job.cancelling || job.waiting.empty())
    return false;
  if (job.is_faulty() || !job.cancel_waiters.empty()) return false;
  // Where the tasks of a job are bound to each other one shard must see all that are placed: they go whole.
  return !job.has_placement_constraints() ||
         (job.placed == 0 && job.delegated_open() == 0 && job.backoff.empty());
}

// Takes the room of those that find some.
int DelegationPlanner::tasks_without_room(const Job& job, FreeRooms& rooms) const {
  int left = job.waiting.size();
  int within_quota = std::min(left, model_.teams().tasks_within(job.team, job.demand));
  for (auto& [machine, room] : rooms) {
    if ((machine->reserved_for_large || machine->cordoned) && rules_.fits_smaller_type(job, machine->type))
      continue;
    while (within_quota > 0 && rules_.allowed_on(job, *machine) && take_room(room, job.demand)) {
      within_quota--;
      left--;
    }
  }
  return left;
}

ResourceRequest DelegationPlanner::request_for(const Job& job) const {
  const JobSpec& spec = job.spec();
  const double wall = ctx_.env->wall_time();
  ResourceRequest out;
  out.demand = job.demand;
  out.assigned_share = static_cast<double>(job.placed + job.done.size()) / spec.task_count;
  out.nothing_placed = job.placed == 0 && job.done.empty() && job.delegated.empty();
  out.bonus = PlacementRules::kUrgencyBonus * static_cast<int>(spec.urgency) + rules_.age_bonus(job, wall);
  if (spec.deadline_s) {
    out.pressure = deadline_pressure(job.record.submitted_at + *spec.deadline_s - wall,
                                     kEstimateMargin * std::max(1.0, spec.estimated_s));
  }
  return out;
}

std::vector<SurplusJob> DelegationPlanner::surplus_jobs() const {
  FreeRooms rooms = own_rooms();
  std::vector<SurplusJob> out;
  for (const auto& [name, job] : model_.jobs()) {
    if (!may_be_delegated(*job)) continue;
    const int surplus = tasks_without_room(*job, rooms);
    if (surplus > 0) out.push_back({job, request_for(*job), surplus, 0});
  }
  return out;
}

DelegationPlanner::Competitors DelegationPlanner::competitors(const RoomOffer& offer,
                                                              std::vector<SurplusJob>& jobs) const {
  const int type = ctx_.types->find(offer.machine_type);
  Competitors out;
  for (SurplusJob& each : jobs) {
    const Job& job = *each.job;
    const JobSpec& spec = job.spec();
    if (!rules_.allows_machine(spec, offer.machine_type, offer.zone, offer.spot)) continue;
    // Cordoned or kept for large tasks, the machine takes only what can go nowhere else.
    if (offer.only_large && type >= 0 && rules_.fits_smaller_type(job, type)) continue;
    // Best-effort work does not travel where it would not be started, or where other work is to go.
    const bool unwelcome = offer.no_best_effort || (!offer.spot && spec.allows_spot);
    if (unwelcome && rules_.is_preemptible(job) && !rules_.is_long_unplaced(job)) continue;
    out.requests.push_back(each.request);
    out.requests.back().image_is_cached =
        std::find(offer.images.begin(), offer.images.end(), spec.image) != offer.images.end();
    out.jobs.push_back(&each);
  }
  return out;
}

void DelegationPlanner::drop_unfit(Competitors& competitors, const Resources& room, TaskRequest& request,
                                   std::map<int, Resources>& lacking) const {
  for (std::size_t k = 0; k < competitors.jobs.size();) {
    const SurplusJob& each = *competitors.jobs[k];
    const Job& job = *each.job;
    const SpareQuota& spare = request.spare_of(job.team);
    const bool has_room = each.chosen < each.surplus && fits(job.demand, room);
    // Quota for a task of a starving job is saved up at the delegate.
    const bool has_quota = (job.demand[0] <= spare.cores && job.demand[2] <= spare.gpus) ||
                           (rules_.is_starving(job) && each.chosen == 0);
    if (has_room && has_quota) {
      k++;
      continue;
    }
    if (has_room) {
      Resources& more = lacking[job.team];
      for (std::size_t r = 0; r < more.size(); r++) more[r] = std::max(more[r], job.demand[r]);
    }
    competitors.requests.erase(competitors.requests.begin() + static_cast<std::ptrdiff_t>(k));
    competitors.jobs.erase(competitors.jobs.begin() + static_cast<std::ptrdiff_t>(k));
  }
}

void DelegationPlanner::choose_for(const RoomOffer& offer, TaskRequest& request,
                                   std::vector<SurplusJob>& jobs, std::map<int, Resources>& lacking) const {
  Competitors listed = competitors(offer, jobs);
  Resources room = offer.room;
  while (!listed.jobs.empty()) {
    drop_unfit(listed, room, request, lacking);
    const int best = choose_request(room, listed.requests, rules_.weights());
    if (best < 0) break;
    SurplusJob& chosen = *listed.jobs[static_cast<std::size_t>(best)];
    const Job& job = *chosen.job;
    take_room(room, job.demand);
    chosen.chosen++;
    SpareQuota& spare = request.spare_of(job.team);
    spare.cores -= job.demand[0];
    spare.gpus -= job.demand[2];
  }
}

}  // namespace mothslip
