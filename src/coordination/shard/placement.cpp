// Filling a machine that reports, and what the answer tells it.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "coordination/shard/shard_leader.hpp"

namespace mothslip {

namespace {
constexpr double kGuaranteeBonus = 0.5;
constexpr double kAvoid = 60;         // seconds
constexpr double kStarving = 45;      // seconds
constexpr double kGangStarving = 12;  // its room does not gather by itself
constexpr double kAgeFrom = 90;       // seconds since submission; then a unit of preference
constexpr double kAgeWeight = 45;     // every so many

// The machine will be taken away: what can save does so now and goes on elsewhere.
bool saves_before_it_is_killed(const Machine& machine, const Placement& placement) {
  const bool goes = machine.evicted_at || (machine.draining && machine.faulty);
  // (A gang is stopped as a whole.)
  return goes && placement.phase == TaskPhase::kRunning && placement.job->spec().can_checkpoint() &&
         !placement.job->is_gang();
}
}  // namespace

// Cores of the smallest allowed type that can hold such a task; without one, of none.
double ShardLeader::least_cores(const std::optional<std::vector<std::string>>& machine_types,
                                const Resources& demand) const {
  double least = std::numeric_limits<double>::infinity();
  for (const MachineType& type : ctx_.types->all()) {
    if (machine_types &&
        std::find(machine_types->begin(), machine_types->end(), type.name) == machine_types->end())
      continue;
    if (fits(demand, {type.cores, type.memory_gb, type.accelerators})) least = std::min(least, type.cores);
  }
  return least;
}

// No smaller type would do.
bool ShardLeader::needs_type(double least, int type) const { return least >= ctx_.types->at(type).cores; }

// Its tasks could as well go to a smaller machine.
bool ShardLeader::small_on(const Job& job, int type) const {
  return flexible(job) && !needs_type(job.least_cores, type);
}

// Could go to any machine that is large enough.
bool ShardLeader::flexible(const Job& job) {
  const JobSpec& spec = job.spec();
  return spec.allows_spot && !spec.zone && !spec.machine_types && !spec.together && !spec.scatter;
}

// What the job itself allows: kind, zone and type of machine.
bool ShardLeader::may_go(const JobSpec& spec, const std::string& machine_type, const std::string& zone,
                         bool spot) {
  if (spot && !spec.allows_spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return !spec.machine_types || std::find(spec.machine_types->begin(), spec.machine_types->end(),
                                          machine_type) != spec.machine_types->end();
}

// A job that fails on a machine is tried elsewhere first, at other shards if need be: where the machine is at
// fault and the only one here, the job failed there for ever. One that fails on several is at fault itself.
bool ShardLeader::avoids(const Job& job, const Machine& machine) const {
  const auto it = job.failing.find(machine.name);
  if (it == job.failing.end() || ctx_.env->now() - it->second.last >= kAvoid) return false;
  return job.at_fault() || (job.failing.size() < Job::kSeveral && it->second.errors >= 2);
}

// Whether the rules let one more task of the job onto the machine now, room apart.
bool ShardLeader::allowed_on(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  if (!may_go(spec, machine.record.machine_type, machine.record.zone, machine.record.spot)) return false;
  if (avoids(job, machine)) return false;
  const auto in_zone = job.placed_by_zone.find(machine.zone);
  const int here = in_zone == job.placed_by_zone.end() ? 0 : in_zone->second;
  if (job.bound() && job.delegated_open() > 0) return false;  // another shard holds what is placed of it
  if (spec.together && job.placed > here) return false;
  return !spec.scatter || here + 1 <= (spec.task_count + 1) / 2;
}

// Greedy filling of freed slices keeps room for large tasks from gathering (DESIGN names it for gangs; large
// tasks suffer the same). A machine takes no small tasks that could go elsewhere while a large one waits that
// no smaller type can hold and that is at least as urgent, or while smaller machines have room for all of
// them.
bool ShardLeader::keeps_for_large(const Machine& machine) const {
  const double cores = ctx_.types->at(machine.type).cores;
  int small_tasks = 0;
  Resources small_demand{};
  bool large = false;
  int small_urgency = 0;
  int large_urgency = -1;
  bool large_starves = false;
  for (const auto& [ref, job] : jobs_) {
    if (job->waiting.empty() || job->over() || gives_way(*job)) continue;
    const int urgency = static_cast<int>(job->spec().urgency);
    if (needs_type(job->least_cores, machine.type)) {
      if (!fits(job->demand, machine.capacity) || !allowed_on(*job, machine)) continue;
      const bool hungry = starving(*job);
      if (!hungry && !within_quota(*job)) continue;
      large = true;
      large_starves |= hungry;
      large_urgency = std::max(large_urgency, urgency);
    } else if (flexible(*job)) {
      small_tasks += job->waiting.size();
      small_urgency = std::max(small_urgency, urgency);
      for (std::size_t r = 0; r < 3; r++) small_demand[r] = std::max(small_demand[r], job->demand[r]);
    }
  }
  for (const WaitingHint& hint : elsewhere_) {
    if (machine.record.spot && !hint.allows_spot) continue;
    if (!fits(hint.demand, machine.capacity) || !needs_type(hint.least_cores, machine.type)) continue;
    large = true;
    large_urgency = std::max(large_urgency, hint.urgency);
    large_starves |= hint.starving;
  }
  if (small_tasks == 0) return large;
  if (large && (large_urgency >= small_urgency || large_starves)) return true;
  const double now = ctx_.env->now();
  int slots = 0;
  for (const auto& [name, other] : machines_) {
    if (other->type < 0 || !other->schedulable() || other->cordoned ||
        ctx_.types->at(other->type).cores >= cores)
      continue;
    if (now - other->last_heard > fresh_s() || now < other->no_fill_until) continue;
    double most = 1e6;
    for (std::size_t r = 0; r < 3; r++) {
      if (small_demand[r] > 0) most = std::min(most, other->room[r] / small_demand[r] + 1e-6);
    }
    slots += std::max(0, static_cast<int>(most));
  }
  return slots >= small_tasks;
}

// Nothing of the job has begun for long. Room on a machine that can hold its tasks, and its team's quota
// share, are then saved up for it: small tasks that take every bit as it comes free would keep it waiting for
// ever.
bool ShardLeader::starving(const Job& job) const {
  if (job.placed > 0 || !job.done.empty() || job.waiting.empty() || job.delegated_open() > 0) return false;
  if (job.at_fault()) return false;  // it has begun, and failed
  return ctx_.env->wall() - job.record.submitted > (job.is_gang() ? kGangStarving : kStarving);
}

// Teams whose quota share is saved up, and for which job: the one that has waited longest of those that one
// of our machines can hold.
std::map<int, const Job*> ShardLeader::saving() const {
  std::map<int, const Job*> out;
  for (const auto& [name, job] : jobs_) {
    if (job->over() || !starving(*job) || within_quota(*job)) continue;
    const bool here = std::any_of(machines_.begin(), machines_.end(), [this, &job = job](const auto& item) {
      return item.second->schedulable() && fits(job->demand, item.second->capacity) &&
             allowed_on(*job, *item.second);
    });
    if (!here) continue;
    const Job*& first = out[job->team];
    if (first == nullptr || job->record.submitted < first->record.submitted) first = job.get();
  }
  return out;
}

// What has waited long comes first in the end, however the rest compares: no class, team or size is starved.
double ShardLeader::age_bonus(const Job& job, double wall) {
  return std::clamp((wall - job.record.submitted - kAgeFrom) / kAgeWeight, 0.0, 4.0);
}

void ShardLeader::fill(Machine& machine) {
  const double now = ctx_.env->now();
  if (machine.type < 0 || !machine.schedulable() || now < machine.no_fill_until) return;
  // A machine that has not shown our token may be a late copy of a report, of a machine that is no more.
  if (!machine.token_acknowledged) return;
  if (state_silent() || !ctx_.exclusive_owner()) return;
  if (!fits({0.01, 0, 0}, machine.room)) return;
  const bool keep_for_large = keeps_for_large(machine);
  const std::map<int, const Job*> saved_for = saving();
  const bool room_for_best_effort = best_effort_here_ && quiet(machine);
  Candidates first;
  Candidates best_effort;  // placed in what the others leave
  const double wall = ctx_.env->wall();
  const MachineType& type = ctx_.types->at(machine.type);
  for (const auto& [ref, job] : jobs_) {
    if (job->waiting.empty() || job->over() || job->cancelling || !job->cancel_waiters.empty()) continue;
    const JobSpec& spec = job->spec();
    if (!fits(job->demand, machine.room)) continue;
    if (machine.reserved_for && machine.reserved_for != job) continue;
    if (job->is_gang() && (now < job->next_gang_look || !gang_may_be_placed(*job))) continue;
    if (job->at_fault() && (job->placed > 0 || now < job->next_trial_at)) continue;
    if (!allowed_on(*job, machine)) continue;
    const auto saved = saved_for.find(job->team);
    if (!within_quota(*job)) {
      if (saved == saved_for.end() || saved->second == job.get()) note_short(*job);
      continue;
    }
    if (saved != saved_for.end()) continue;
    // Others have room for what can go anywhere; what cannot is still taken.
    if (machine.cordoned && small_on(*job, machine.type)) continue;
    if (keep_for_large && small_on(*job, machine.type)) continue;
    const bool yields = gives_way(*job);
    if (yields && !open_to_best_effort(*job, machine, room_for_best_effort)) continue;
    Request request;
    request.demand = job->demand;
    request.local = machine.has_image(job->image);
    const double fetch = request.local ? 0 : fetch_seconds(spec, type);
    if (spec.deadline_s) {
      request.pressure = deadline_pressure(job->record.submitted + *spec.deadline_s - wall,
                                           1.3 * std::max(1.0, spec.estimated_s) + fetch);
    }
    Candidates& candidates = yields ? best_effort : first;
    candidates.requests.push_back(request);
    candidates.jobs.push_back(job);
  }
  place_greedily(machine, first);
  place_greedily(machine, best_effort);
}

// Takes one task of the job with the highest preference, and scores again, until nothing fits.
void ShardLeader::place_greedily(Machine& machine, Candidates& candidates) {
  auto& [requests, jobs] = candidates;
  const double wall = ctx_.env->wall();
  while (!requests.empty()) {
    for (std::size_t i = 0; i < requests.size();) {
      const Job& job = *jobs[i];
      const JobSpec& spec = job.spec();
      const bool out = job.waiting.empty() || !fits(job.demand, machine.room) || !allowed_on(job, machine) ||
                       !within_quota(job) || (job.at_fault() && job.placed > 0);
      if (out) {
        requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(i));
        jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(i));
        continue;
      }
      Request& request = requests[i];
      request.assigned_share = static_cast<double>(job.placed + job.done.size()) / spec.task_count;
      for (std::size_t r = 0; r < 3; r++) request.held[r] = job.demand[r] * job.placed;
      request.nothing_placed = job.placed == 0 && job.done.empty();
      request.bonus = kUrgencyBonus * static_cast<int>(spec.urgency) +
                      (teams_.in_guarantee(job.team, job.demand) ? kGuaranteeBonus : 0) +
                      age_bonus(job, wall);
      i++;
    }
    const int best = choose(machine.room, requests, weights_);
    if (best < 0) break;
    const JobPtr job = jobs[static_cast<std::size_t>(best)];
    if (!job->is_gang()) {
      // Unique and rising: the fencing token is new for every owner, the counter within it.
      place_task(machine, job, next_attempt());
    } else if (!place_gang(job)) {
      requests.erase(requests.begin() + best);
      jobs.erase(jobs.begin() + best);
    }
  }
}

// Larger than those of every owner before. Where lost state is watched for it begins with the newest revision
// that we know: a worker that shows it later is a witness that the state service has known that revision.
std::uint64_t ShardLeader::next_attempt() {
  const std::uint64_t revision =
      ctx_.settings->tuning.recovery ? std::max(fencing_token_, watched_) : fencing_token_;
  return (revision << kAttemptShift) + ++attempt_counter_;
}

void ShardLeader::place_task(Machine& machine, const JobPtr& job, std::uint64_t attempt) {
  const double now = ctx_.env->now();
  Placement placement;
  placement.job = job;
  placement.index = *job->waiting.first();
  placement.attempt = attempt;
  job->waiting.erase(placement.index);
  job->idle_since = now;
  take_room(machine, *job);
  if (!machine.has_image(job->image)) {
    counters_.fetches++;
    machine.use_image(job->image, job->spec().image_gb, ctx_.types->at(machine.type).cache_gb);
  }
  machine.placements.push_back(std::move(placement));
  if (gives_way(*job)) {
    beyond_headroom_ -= job->demand[0];
  } else {
    machine.wanted_at = now;
  }
  has_new_placements_ = true;
  machine.busy_at = now;
}

std::vector<Order> ShardLeader::orders_for(Machine& machine) {
  std::vector<Order> orders;
  // A cancellation can have been promised by another owner since our lease ran out. And a report that does
  // not show our token may be a late copy from before we owned the shard: orders would be wasted on it.
  const bool may_launch = ctx_.exclusive_owner() && machine.token_acknowledged;
  bool again = false;
  for (Placement& placement : machine.placements) {
    if (placement.stage != Placement::Stage::kRecorded) continue;
    const Job& job = *placement.job;
    const std::string task = task_name(job.spec().ref, placement.index);
    const bool unwanted = job.cancel_requested() || job.done.contains(placement.index) || attempt_over(job);
    if (placement.seen_sequence == machine.sequence && machine.sequence != 0) {
      auto grace = stop_wanted(placement);
      if (!grace && !placement.preempted && saves_before_it_is_killed(machine, placement))
        grace = stop_grace_s(job.spec());
      if (grace) orders.push_back({Order::Verb::kStop, task, placement.attempt, *grace});
    } else if (!unwanted && !placement.preempted && may_launch && machine.schedulable() &&
               gang_may_be_launched(job)) {
      if (placement.sent_sequence != 0) {
        counters_.relaunches++;
        if (!again) machine.ineffective_launches++;
        again = true;
      }
      placement.sent_sequence = machine.sequence;
      counters_.launches++;
      orders.push_back({Order::Verb::kLaunch, task, placement.attempt, 0});
    }
  }
  for (const TaskReport& unmatched_task : machine.unmatched) {
    const std::string task = task_name(unmatched_task.ref, unmatched_task.index);
    const JobPtr job = find_task(unmatched_task.ref, unmatched_task.index);
    if (unmatched_task.phase == TaskPhase::kExited) {
      const bool held = std::any_of(
          machine.placements.begin(), machine.placements.end(), [&unmatched_task](const Placement& p) {
            return p.attempt == unmatched_task.attempt && p.index == unmatched_task.index;
          });
      const bool lost_if_acknowledged = unmatched_task.cause == ExitCause::kDone && job != nullptr &&
                                        !job->record.aborted && !job->durable(unmatched_task.index);
      if (!held && !lost_if_acknowledged) {
        orders.push_back({Order::Verb::kAcknowledgeExit, task, unmatched_task.attempt, 0});
      }
    } else {
      orders.push_back({Order::Verb::kStop, task, unmatched_task.attempt, 0});
    }
  }
  return orders;
}

void ShardLeader::answer(Machine& machine) {
  if (machine.answer.answered()) return;
  machine.held = false;
  if (!ctx_.may_renew()) {
    // Somebody may have replaced us and confirmed cancellations: we do not keep alive what may be cancelled.
    machine.answer.send(503, R"({"error":"perhaps no longer the owner"})", 1);
    machine.answer = Responder();
    return;
  }
  const std::vector<Order> orders = orders_for(machine);
  machine.last_answer = ctx_.env->now();
  machine.answer.send(200, orders_body(fencing_token_, std::nullopt, orders));
  machine.answer = Responder();
}

}  // namespace mothslip
