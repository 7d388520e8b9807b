#include "coordination/shard/task_placement.hpp"

#include <algorithm>
#include <map>

#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/journal.hpp"
#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/preemptor.hpp"
#include "coordination/shard/quota_shares.hpp"
#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
constexpr double kMinFreeCores = 0.01;        // a machine with less is full
constexpr double kRunTimeSafetyFactor = 1.3;  // run-time estimates are often too low
// An answer waits at most this long for the placements to be committed. Workers drop answers after 4 s, and a
// commit rarely takes this long.
constexpr double kMaxAnswerDelaySeconds = 1.2;
// Preference bonus of jobs whose team is within its guarantee.
constexpr double kGuaranteeBonus = 0.5;
}  // namespace

TaskPlacement::TaskPlacement(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                             Journal& journal, PlacementRules& rules, GangScheduler& gangs,
                             Preemptor& preemptor, QuotaShares& quotas)
    : ctx_(context),
      model_(model),
      committer_(committer),
      journal_(journal),
      rules_(rules),
      gangs_(gangs),
      preemptor_(preemptor),
      quotas_(quotas) {}

void TaskPlacement::schedule_fill() {
  if (fill_scheduled_ || !model_.active()) return;
  fill_scheduled_ = true;
  ctx_.env->after(0, callback_guard_([this] {
                    fill_scheduled_ = false;
                    fill_held_machines();
                    committer_.send_due_writes();
                  }));
}

bool TaskPlacement::has_image_of_waiting_job(const Machine& machine) const {
  return std::any_of(model_.jobs().begin(), model_.jobs().end(), [&machine](const auto& item) {
    return !item.second->waiting.empty() && machine.has_image(item.second->image);
  });
}

void TaskPlacement::fill_held_machines() {
  std::vector<std::pair<bool, Machine*>> held;  // true: an image must be fetched
  for (auto& [name, machine] : model_.machines()) {
    if (!machine->report_held || machine->answer.answered()) continue;
    held.emplace_back(!has_image_of_waiting_job(*machine), machine.get());
  }
  std::stable_sort(held.begin(), held.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [fetches, machine] : held) {
    const std::size_t placements_before = machine->placements.size();
    fill(*machine);
    if (machine->placements.size() == placements_before) continue;
    machine->report_held = false;
    machine->answer_by = ctx_.env->now() + kMaxAnswerDelaySeconds;
  }
}

bool TaskPlacement::may_fill(const Machine& machine) const {
  if (machine.type < 0 || !machine.schedulable() || ctx_.env->now() < machine.no_fill_until) return false;
  // Until the machine has acknowledged the leader's token, its report may be a late copy, and the machine may
  // no longer exist.
  if (!machine.token_acknowledged) return false;
  if (committer_.is_state_service_unresponsive() || !ctx_.owns_exclusively()) return false;
  return fits({kMinFreeCores, 0, 0}, machine.room);
}

// Whether a task of the job may be started on the machine now. The team's quota is not considered.
bool TaskPlacement::may_start(const Job& job, const Machine& machine) const {
  const double now = ctx_.env->now();
  if (job.waiting.empty() || job.is_over() || job.cancelling || !job.cancel_waiters.empty()) return false;
  if (job.record_check_inflight) return false;
  if (!fits(job.demand, machine.room)) return false;
  if (machine.reserved_for && machine.reserved_for.get() != &job) return false;
  if (job.is_gang() && (now < job.next_gang_placement_at || !gangs_.gang_may_be_placed(job))) return false;
  if (job.is_faulty() && (job.placed > 0 || now < job.next_trial_at)) return false;
  return rules_.allowed_on(job, machine);
}

// Whether the team's quota share has room for the job and is not reserved for another one. Records a shortage
// if the share is too small.
bool TaskPlacement::has_quota(const Job& job, const FillPass& pass) {
  const auto reservation = pass.quota_reserved_for.find(job.team);
  if (rules_.within_quota(job)) return reservation == pass.quota_reserved_for.end();
  if (reservation == pass.quota_reserved_for.end() || reservation->second == &job) quotas_.add_shortage(job);
  return false;
}

bool TaskPlacement::is_candidate(const Job& job, const Machine& machine, const FillPass& pass) {
  if (!may_start(job, machine) || !has_quota(job, pass)) return false;
  // Tasks that fit a smaller machine type are left to other machines. Those that need this type are accepted.
  if ((machine.cordoned || pass.reserved_for_large) && rules_.fits_smaller_type(job, machine.type))
    return false;
  return !rules_.is_preemptible(job) || preemptor_.may_start_best_effort(job, machine, pass.no_recent_demand);
}

ResourceRequest TaskPlacement::request_for(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  ResourceRequest out;
  out.demand = job.demand;
  out.image_is_cached = machine.has_image(job.image);
  const double fetch_s = out.image_is_cached ? 0 : image_fetch_s(spec, ctx_.types->at(machine.type));
  if (spec.deadline_s) {
    const double time_left_s = job.record.submitted_at + *spec.deadline_s - ctx_.env->wall_time();
    out.pressure =
        deadline_pressure(time_left_s, kRunTimeSafetyFactor * std::max(1.0, spec.estimated_s) + fetch_s);
  }
  return out;
}

void TaskPlacement::fill(Machine& machine) {
  if (!may_fill(machine)) return;
  FillPass pass;
  pass.reserved_for_large = rules_.reserves_for_large(machine);
  pass.quota_reserved_for = rules_.quota_reserved_for();
  pass.no_recent_demand = preemptor_.has_best_effort_jobs() && preemptor_.is_uncontended(machine);
  Candidates non_preemptible;
  Candidates preemptible;  // placed in the room that the others leave
  for (const auto& [name, job] : model_.jobs()) {
    if (!is_candidate(*job, machine, pass)) continue;
    Candidates& candidates = rules_.is_preemptible(*job) ? preemptible : non_preemptible;
    candidates.requests.push_back(request_for(*job, machine));
    candidates.jobs.push_back(job);
  }
  place_greedily(machine, non_preemptible);
  place_greedily(machine, preemptible);
}

// Removes the jobs of which no more tasks may be placed, and updates the requests of the others.
void TaskPlacement::update_requests(const Machine& machine, Candidates& candidates) const {
  auto& [requests, jobs] = candidates;
  const double wall_time = ctx_.env->wall_time();
  for (std::size_t i = 0; i < requests.size();) {
    const Job& job = *jobs[i];
    const JobSpec& spec = job.spec();
    const bool is_excluded = job.waiting.empty() || !fits(job.demand, machine.room) ||
                             !rules_.allowed_on(job, machine) || !rules_.within_quota(job) ||
                             (job.is_faulty() && job.placed > 0);
    if (is_excluded) {
      requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(i));
      jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(i));
      continue;
    }
    ResourceRequest& request = requests[i];
    request.assigned_share = static_cast<double>(job.placed + job.done.size()) / spec.task_count;
    for (std::size_t r = 0; r < request.held.size(); r++) request.held[r] = job.demand[r] * job.placed;
    request.nothing_placed = job.placed == 0 && job.done.empty();
    request.bonus = PlacementRules::kUrgencyBonus * static_cast<int>(spec.urgency) +
                    (model_.teams().within_guarantee(job.team, job.demand) ? kGuaranteeBonus : 0) +
                    rules_.age_bonus(job, wall_time);
    i++;
  }
}

// Places one task of the job with the highest preference, or the whole gang, then recomputes the preferences,
// until nothing fits any more.
void TaskPlacement::place_greedily(Machine& machine, Candidates& candidates) {
  auto& [requests, jobs] = candidates;
  while (!requests.empty()) {
    update_requests(machine, candidates);
    const int best = choose_request(machine.room, requests, rules_.weights());
    if (best < 0) break;
    const JobPtr job = jobs[static_cast<std::size_t>(best)];
    if (!job->is_gang()) {
      // Attempt numbers are unique and increase: every leader has a new fencing token, and counts within it.
      place_task(machine, job, model_.next_attempt());
    } else if (!gangs_.place_gang(job)) {
      requests.erase(requests.begin() + best);
      jobs.erase(jobs.begin() + best);
    }
  }
}

void TaskPlacement::place_task(Machine& machine, const JobPtr& job, std::uint64_t attempt) {
  const double now = ctx_.env->now();
  Placement placement;
  placement.job = job;
  placement.index = *job->waiting.first();
  placement.attempt = attempt;
  job->waiting.erase(placement.index);
  job->idle_since = now;
  model_.occupy_room(machine, *job);
  if (!machine.has_image(job->image)) {
    model_.counters().image_fetches++;
    machine.use_image(job->image, job->spec().image_gb, ctx_.types->at(machine.type).cache_gb);
  }
  machine.placements.push_back(std::move(placement));
  if (rules_.is_preemptible(*job)) {
    preemptor_.on_best_effort_placed(job->demand[0]);
  } else {
    machine.last_wanted_at = now;
  }
  journal_.on_placement_added();
  machine.busy_at = now;
}

}  // namespace mothslip
