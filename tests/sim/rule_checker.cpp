#include "sim/rule_checker.hpp"

#include <algorithm>

#include "sim/world.hpp"

namespace mothslip::sim {

namespace {
// The longest time for which a user's polls may stay without an answer.
constexpr double kMaxUnansweredSeconds = 75;
// The longest time for which a job may wait while a machine has room for it.
constexpr double kMaxWaitSeconds = 90;
// The time after which the lease of an isolated node in the state service has expired.
constexpr double kNodeLeaseSeconds = 6;
constexpr double kRoundingCores = 1e-6;
}  // namespace

void RuleChecker::begin() { check_all(); }

void RuleChecker::check_all() {
  check_unanswered();
  check_starvation();
  check_cancelled_jobs();
  world_.in(1, [this] { check_all(); });
}

// ---------------------------------------------------------------- starts

void RuleChecker::check_start(const Worker& worker, const Task& task) {
  const UserJob& job = *task.job;
  if (job.gang) check_attempt(task);
  if (job.user_saw_aborted) {
    starts_after_cancellation++;
    // A worker that did not receive the stop by then has lost its lease.
    if (world_.now - job.aborted_at > world_.options.lease_s)
      world_.report_violation("task started after the cancellation of its job: " + task.ref);
  }
  check_runs_once(worker, task);
  check_quota(job.team);
  check_placement(worker, task);
  if (job.user_saw_aborted && world_.now - job.aborted_at > kMaxCancelSeconds)
    world_.report_violation("ran_cancelled: " + task.ref + " starts");
}

void RuleChecker::check_attempt(const Task& task) {
  UserJob& job = *task.job;
  if (task.attempt < job.last_attempt)
    world_.report_violation("attempt " + std::to_string(task.attempt) + " of " + task.ref +
                            " started after a newer attempt");
  job.last_attempt = std::max(job.last_attempt, task.attempt);
}

void RuleChecker::check_runs_once(const Worker& worker, const Task& task) const {
  for (const auto& [name, other] : world_.workers) {
    if (other->dead) continue;
    for (const Task& each : other->tasks) {
      if (!other->occupies_machine(each) || each.job != task.job || each.index != task.index) continue;
      if (other.get() == &worker && each.attempt == task.attempt) continue;
      world_.report_violation("ran_twice: " + task.ref + "/" + std::to_string(task.index) + " on " +
                              worker.name + " and " + name);
    }
  }
}

void RuleChecker::check_quota(const std::string& team) const {
  double used_cores = 0;
  for (const auto& [name, worker] : world_.workers) {
    if (worker->dead) continue;
    for (const Task& each : worker->tasks) {
      if (worker->occupies_machine(each) && each.job->team == team) used_cores += each.job->cores;
    }
  }
  if (used_cores > world_.options.team_max_cpus + kRoundingCores)
    world_.report_violation("quota: " + team + " uses " + std::to_string(used_cores));
}

void RuleChecker::check_placement(const Worker& worker, const Task& task) const {
  const UserJob& job = *task.job;
  std::map<std::string, int> tasks_per_zone;
  for (const auto& [name, other] : world_.workers) {
    if (other->dead) continue;
    for (const Task& each : other->tasks) {
      if (other->occupies_machine(each) && each.job == &job) tasks_per_zone[other->zone]++;
    }
  }
  if (worker.spot && !may_use_spot(job))
    world_.report_violation("wrong_place: " + task.ref + " on a spot machine");
  if (!may_run_in(job, worker.zone))
    world_.report_violation("wrong_place: " + task.ref + " in a zone that it does not allow");
  if (is_bound_to_one_zone(job) && tasks_per_zone.size() > 1)
    world_.report_violation("wrong_place: " + task.ref + " in several zones");
  if (is_scattered(job) && tasks_per_zone[worker.zone] > max_tasks_per_zone(job))
    world_.report_violation("wrong_place: " + task.ref + " not scattered");
}

// ---------------------------------------------------------------- answers

void RuleChecker::check_node_answer(const std::string& from, const std::string& node, const HttpCall& call,
                                    const HttpAnswer& out, bool is_duplicate) {
  if (call.path != "/hello" || out.status != 200) return;
  const Json body = parse_json(out.body);
  for (const Json& order : body["orders"]) {
    if (order["verb"] != "launch") continue;
    if (is_duplicate) launches_to_duplicates++;
    check_launch(from, node, order);
  }
}

void RuleChecker::check_launch(const std::string& from, const std::string& node, const Json& order) {
  const auto since = world_.network.isolated_since.find(node);
  if (since != world_.network.isolated_since.end() && world_.now - since->second > kNodeLeaseSeconds)
    world_.report_violation(
        std::string("launched while isolated: ").append(node).append(" on ").append(from));
  const auto worker = world_.workers.find(from);
  if (worker == world_.workers.end() || !worker->second->inbound_unreachable) return;
  std::string attempt = from;
  attempt.append(" ").append(order["piece"].get<std::string>()).append(" ").append(order["try_no"].dump());
  launches_to_unreachable[attempt]++;
}

// ---------------------------------------------------------------- once a second

// Checks that users get an answer in time once the injected faults have ended.
void RuleChecker::check_unanswered() {
  for (auto& [ref, job] : world_.jobs) {
    if (job.unanswered_since < 0 || !job.accepted) continue;
    if (world_.now - std::max(job.unanswered_since, world_.faults_end_at) <= kMaxUnansweredSeconds) continue;
    world_.report_violation("forgotten: user of " + ref + " got no answer for 75 s");
    job.unanswered_since = world_.now;
  }
}

void RuleChecker::check_cancelled_jobs() const {
  for (const auto& [name, worker] : world_.workers) {
    if (worker->dead) continue;
    for (const Task& task : worker->tasks) {
      if (!worker->occupies_machine(task)) continue;
      const UserJob& job = *task.job;
      if (job.user_saw_aborted && world_.now - job.aborted_at > kMaxCancelSeconds)
        world_.report_violation("ran_cancelled: " + task.ref + " on " + name);
    }
  }
}

// Returns the cores that the tasks of the job's team use, or nothing if a task of the job itself is on a
// machine.
std::optional<double> RuleChecker::team_cores_if_job_is_idle(const UserJob& job) const {
  double used_cores = 0;
  for (const auto& [name, worker] : world_.workers) {
    if (!worker->is_up()) continue;
    for (const Task& task : worker->tasks) {
      if (task.phase == "exited" || task.job->team != job.team) continue;
      if (task.job == &job) return std::nullopt;
      used_cores += task.job->cores;
    }
  }
  return used_cores;
}

// Returns whether healthy machines in allowed places have room for all tasks of the gang.
bool RuleChecker::gang_could_run(const UserJob& job) const {
  const auto used_cores = team_cores_if_job_is_idle(job);
  if (!used_cores) return false;
  std::map<std::string, int> slots_per_zone;
  for (const auto& [name, worker] : world_.workers) {
    if (!worker->is_up()) continue;
    const bool can_take_tasks = worker->is_healthy() && worker->eviction_notice_s < 0;
    const bool is_allowed = (!worker->spot || may_use_spot(job)) && may_run_in(job, worker->zone);
    if (can_take_tasks && is_allowed)
      slots_per_zone[worker->zone] += static_cast<int>(worker->free_cores() / job.cores);
  }
  int total_slots = 0;
  for (const auto& [zone, slots] : slots_per_zone) {
    if (is_bound_to_one_zone(job)) {
      total_slots = std::max(total_slots, slots);
    } else {
      total_slots += is_scattered(job) ? std::min(slots, max_tasks_per_zone(job)) : slots;
    }
  }
  return total_slots >= job.task_count &&
         *used_cores + job.task_count * job.cores <= world_.options.team_max_cpus && !has_completed(job);
}

// Returns whether no task of the job is on a machine while a machine has room for one under the team's
// limit. If the placement of a task constrains the others, the job counts only while none of its tasks is
// completed.
bool RuleChecker::could_run(const UserJob& job) const {
  if (job.gang) return gang_could_run(job);
  const auto used_cores = team_cores_if_job_is_idle(job);
  if (!used_cores) return false;
  const bool has_room =
      std::any_of(world_.workers.begin(), world_.workers.end(), [&job](const auto& named_worker) {
        const Worker& worker = *named_worker.second;
        return worker.is_up() && worker.is_healthy() && worker.free_cores() >= job.cores &&
               (!worker.spot || may_use_spot(job)) && may_run_in(job, worker.zone);
      });
  const bool has_placement_constraint = is_bound_to_one_zone(job) || is_scattered(job);
  if (has_placement_constraint && !job.completed.empty()) return false;
  return has_room && *used_cores + job.cores <= world_.options.team_max_cpus && !has_completed(job);
}

// Checks that no job waits for 90 s while a machine has room for it, once the injected faults have ended.
void RuleChecker::check_starvation() {
  if (!checks_starvation) return;
  for (auto& [ref, job] : world_.jobs) {
    if (!job.accepted || job.cancel_requested || job.user_saw_done || !could_run(job)) {
      job.could_run_since = -1;
      continue;
    }
    if (job.could_run_since < 0) job.could_run_since = world_.now;
    if (world_.now - std::max(job.could_run_since, world_.faults_end_at) <= kMaxWaitSeconds) continue;
    world_.report_violation("waits: " + ref + " has waited for 90 s while a machine has room for it");
    job.could_run_since = world_.now;
  }
}

}  // namespace mothslip::sim
