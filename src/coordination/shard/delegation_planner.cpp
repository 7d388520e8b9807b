#include "coordination/shard/delegation_planner.hpp"

#include <algorithm>

namespace mothslip {

namespace {
// Factor on the estimated duration of a task, because estimates are often too low.
constexpr double kRunTimeSafetyFactor = 1.3;
}  // namespace

bool take_room(Resources& room, const Resources& demand) {
  if (!fits(demand, room)) return false;
  for (std::size_t r = 0; r < room.size(); r++) room[r] -= demand[r];
  return true;
}

bool DelegationPlanner::has_usable_room(const Machine& machine) const {
  const double now = ctx_.env->now();
  if (machine.type < 0 || !machine.schedulable() || now < machine.no_fill_until) return false;
  return machine.has_reported && now - machine.last_report_at <= ctx_.max_report_age_s() &&
         !machine.reserved_for;
}

DelegationPlanner::FreeRooms DelegationPlanner::own_free_rooms() const {
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
  // A job with placement constraints is delegated as a whole, because one shard must know all of its placed
  // tasks.
  return !job.has_placement_constraints() ||
         (job.placed == 0 && job.delegated_open() == 0 && job.backoff.empty());
}

// Returns how many waiting tasks find no room. The demand of the others is subtracted from the rooms.
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
  const double wall_time = ctx_.env->wall_time();
  ResourceRequest out;
  out.demand = job.demand;
  out.assigned_share = static_cast<double>(job.placed + job.done.size()) / spec.task_count;
  out.nothing_placed = job.placed == 0 && job.done.empty() && job.delegated.empty();
  out.bonus =
      PlacementRules::kUrgencyBonus * static_cast<int>(spec.urgency) + rules_.age_bonus(job, wall_time);
  if (spec.deadline_s) {
    out.pressure = deadline_pressure(job.record.submitted_at + *spec.deadline_s - wall_time,
                                     kRunTimeSafetyFactor * std::max(1.0, spec.estimated_s));
  }
  return out;
}

std::vector<SurplusJob> DelegationPlanner::surplus_jobs() const {
  FreeRooms rooms = own_free_rooms();
  std::vector<SurplusJob> out;
  for (const auto& [name, job] : model_.jobs()) {
    if (!may_be_delegated(*job)) continue;
    const int surplus = tasks_without_room(*job, rooms);
    if (surplus > 0) out.push_back({job, request_for(*job), surplus, 0});
  }
  return out;
}

DelegationPlanner::Candidates DelegationPlanner::find_candidates(const RoomOffer& offer,
                                                                 std::vector<SurplusJob>& jobs) const {
  const int type = ctx_.types->find(offer.machine_type);
  Candidates out;
  for (SurplusJob& each : jobs) {
    const Job& job = *each.job;
    const JobSpec& spec = job.spec();
    if (!rules_.allows_machine(spec, offer.machine_type, offer.zone, offer.spot)) continue;
    // A machine that is cordoned or reserved for large tasks takes only tasks that fit no smaller type.
    if (offer.large_tasks_only && type >= 0 && rules_.fits_smaller_type(job, type)) continue;
    // Best-effort work is not delegated to machines that would not start it or are meant for other work.
    const bool excludes_best_effort = offer.excludes_best_effort || (!offer.spot && spec.allows_spot);
    if (excludes_best_effort && rules_.is_preemptible(job) && !rules_.is_long_unplaced(job)) continue;
    out.requests.push_back(each.request);
    out.requests.back().image_is_cached =
        std::find(offer.images.begin(), offer.images.end(), spec.image) != offer.images.end();
    out.jobs.push_back(&each);
  }
  return out;
}

void DelegationPlanner::remove_unplaceable(Candidates& candidates, const Resources& room,
                                           TaskRequest& request,
                                           std::map<int, Resources>& missing_quota) const {
  for (std::size_t k = 0; k < candidates.jobs.size();) {
    const SurplusJob& each = *candidates.jobs[k];
    const Job& job = *each.job;
    const QuotaAmount& spare = request.spare_quota_of(job.team);
    const bool has_room = each.chosen < each.surplus && fits(job.demand, room);
    // Quota for a task of a starving job is saved up at the delegate.
    const bool has_quota = (job.demand[0] <= spare.cores && job.demand[2] <= spare.gpus) ||
                           (rules_.is_starving(job) && each.chosen == 0);
    if (has_room && has_quota) {
      k++;
      continue;
    }
    if (has_room) {
      Resources& needed = missing_quota[job.team];
      for (std::size_t r = 0; r < needed.size(); r++) needed[r] = std::max(needed[r], job.demand[r]);
    }
    candidates.requests.erase(candidates.requests.begin() + static_cast<std::ptrdiff_t>(k));
    candidates.jobs.erase(candidates.jobs.begin() + static_cast<std::ptrdiff_t>(k));
  }
}

void DelegationPlanner::choose_tasks(const RoomOffer& offer, TaskRequest& request,
                                     std::vector<SurplusJob>& jobs,
                                     std::map<int, Resources>& missing_quota) const {
  Candidates candidates = find_candidates(offer, jobs);
  Resources room = offer.room;
  while (!candidates.jobs.empty()) {
    remove_unplaceable(candidates, room, request, missing_quota);
    const int best = choose_request(room, candidates.requests, rules_.weights());
    if (best < 0) break;
    SurplusJob& chosen = *candidates.jobs[static_cast<std::size_t>(best)];
    const Job& job = *chosen.job;
    take_room(room, job.demand);
    chosen.chosen++;
    QuotaAmount& spare = request.spare_quota_of(job.team);
    spare.cores -= job.demand[0];
    spare.gpus -= job.demand[2];
  }
}

}  // namespace mothslip
