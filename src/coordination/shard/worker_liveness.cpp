#include "coordination/shard/worker_liveness.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "coordination/shard/gang_scheduler.hpp"

namespace mothslip {

namespace {
// A machine is unreachable after this number of launches, in answers to consecutive reports, that had no
// effect. A lost answer does not explain so many.
constexpr int kMaxIneffectiveLaunches = 3;
// A machine is faulty if at least this number of jobs has failed on it and on no other machine.
constexpr int kMinJobsFailedOnlyHere = 2;
// Bounds of the delay between two trials of a job that fails on every machine.
constexpr double kMinTrialDelaySeconds = 5.0;
constexpr double kMaxTrialDelaySeconds = 60.0;
}  // namespace

WorkerLiveness::WorkerLiveness(const ShardContext& context, ShardModel& model, GangScheduler& gangs)
    : ctx_(context), model_(model), gangs_(gangs) {}

// Reports are ordered by the worker's incarnation, and by the sequence number within an incarnation.
bool WorkerLiveness::is_newer_report(const Machine& machine, const Report& report) {
  // The recorded incarnation may come from an earlier leader, and also counts.
  if (report.worker_incarnation < machine.record.worker_incarnation) return false;
  return !machine.has_reported || std::pair(report.worker_incarnation, report.sequence) >
                                      std::pair(machine.record.worker_incarnation, machine.sequence);
}

void WorkerLiveness::update_contact(Machine& machine, const Report& report) const {
  const double now = ctx_.env->now();
  if (!machine.has_reported) machine.first_report_at = now;
  if (!machine.has_reported || now - machine.last_report_at > ctx_.settings->lease_s / 2)
    machine.steady_since = now;
  machine.has_reported = true;
  machine.last_report_at = now;
  machine.sequence = report.sequence;
  if (machine.incarnation_since == 0) machine.incarnation_since = now;
  if (machine.record.address != report.address) machine.record.address = report.address;
  if (acknowledges_token(report) && !machine.token_acknowledged) {
    machine.token_acknowledged = true;
    machine.last_answer_at = std::max(machine.last_answer_at, now);
  }
}

void WorkerLiveness::update_eviction_notice(Machine& machine, const Report& report) const {
  if (!report.eviction_notice_s) {
    machine.evicted_at.reset();
  } else if (!machine.evicted_at) {
    spdlog::info("machine {}: will be evicted in {} s, no more tasks are started on it", machine.name,
                 *report.eviction_notice_s);
    machine.evicted_at = ctx_.env->now() + *report.eviction_notice_s;
  }
}

bool WorkerLiveness::apply_heartbeat(Machine& machine, const Report& report, bool is_direct_answer) {
  if (!is_newer_report(machine, report)) return false;
  update_contact(machine, report);
  update_eviction_notice(machine, report);
  if (report.worker_incarnation > machine.record.worker_incarnation)
    begin_incarnation(machine, report.worker_incarnation);

  // The attempt number alone is not a unique key, because the tasks of a gang share it.
  TaskReports unmatched;
  for (const TaskReport& task : report.tasks) unmatched.emplace(std::pair(task.attempt, task.index), &task);
  const std::vector<const TaskReport*> exits = match_placements(machine, report, is_direct_answer, unmatched);
  for (const auto& [attempt, task] : unmatched) machine.unmatched.push_back(*task);
  apply_exits(machine, exits);
  if (acknowledges_token(report)) {
    if (!is_direct_answer) evaluate_reachability(machine);
    apply_unmatched_completions(unmatched);
  }
  if (!machine.placements.empty()) machine.busy_at = ctx_.env->now();
  return true;
}

// Applies the report to each placement. Removes the reports of placed tasks from `unmatched`, and returns
// those of placed tasks that have exited.
std::vector<const TaskReport*> WorkerLiveness::match_placements(Machine& machine, const Report& report,
                                                                bool is_direct_answer,
                                                                TaskReports& unmatched) {
  std::vector<const TaskReport*> exits;
  machine.unmatched.clear();
  for (Placement& placement : machine.placements) {
    const auto it = unmatched.find({placement.attempt, placement.index});
    if (it == unmatched.end() || it->second->ref != placement.job->spec().ref) {
      if (acknowledges_token(report)) free_missing_placement(machine, placement, report, is_direct_answer);
      continue;
    }
    const TaskReport& task = *it->second;
    unmatched.erase(it);
    update_placement(machine, placement, task);
    if (task.phase != TaskPhase::kExited) continue;
    if (placement.stage != Placement::Stage::kFreeing) exits.push_back(&task);
    machine.unmatched.push_back(task);
  }
  return exits;
}

void WorkerLiveness::update_placement(Machine& machine, Placement& placement, const TaskReport& task) const {
  const JobSpec& spec = placement.job->spec();
  placement.seen_sequence = machine.sequence;
  if (placement.sent_sequence != 0) machine.ineffective_launches = 0;
  const bool has_image = task.phase != TaskPhase::kFetchingImage && task.phase != TaskPhase::kExited;
  if (placement.phase == TaskPhase::kFetchingImage && has_image) {
    const double cache_gb = ctx_.types->at(std::max(0, machine.type)).cache_gb;
    machine.use_image(placement.job->image, spec.image_gb, cache_gb);
  }
  if (placement.running_since == 0 && task.phase == TaskPhase::kRunning) {
    placement.running_since = ctx_.env->now();
    if (placement.job->is_gang()) placement.job->attempt.started = true;
  }
  placement.phase = task.phase;
}

// Handles a placement whose task is missing from a report that carries this leader's fencing token. Frees the
// placement if no launch of the task can still be in flight and the task must not be launched again.
void WorkerLiveness::free_missing_placement(const Machine& machine, Placement& placement,
                                            const Report& report, bool is_direct_answer) {
  if (placement.stage != Placement::Stage::kRecorded) return;
  const bool no_launch_in_flight = is_direct_answer ? placement.inherited && placement.sent_sequence == 0
                                                    : placement.sent_sequence < report.sequence;
  if (!no_launch_in_flight) return;
  const Job& job = *placement.job;
  const bool is_unwanted = job.is_over() || job.cancelling || placement.preempted ||
                           gangs_.is_attempt_ending(job) || !machine.schedulable() ||
                           job.done.contains(placement.index);
  if (is_unwanted) model_.free_placement(placement, 0);
}

void WorkerLiveness::apply_exits(Machine& machine, const std::vector<const TaskReport*>& exits) {
  for (const TaskReport* task : exits) {
    for (Placement& placement : machine.placements) {
      if (placement.job == nullptr || placement.attempt != task->attempt || placement.index != task->index)
        continue;
      on_exit(machine, placement, task->cause);
      break;
    }
  }
  std::erase_if(machine.placements, [](const Placement& p) { return p.job == nullptr; });
}

// Handles tasks whose placement is no longer recorded, or was taken over from an earlier leader before the
// completion was recorded. Their work is done in both cases, so the completions count.
void WorkerLiveness::apply_unmatched_completions(const TaskReports& unmatched) {
  for (const auto& [attempt, task] : unmatched) {
    if (task->phase != TaskPhase::kExited || task->cause != ExitCause::kDone) continue;
    const JobPtr job = model_.find_job_of_task(task->ref, task->index);
    if (job == nullptr || job->is_over() || task->index >= job->spec().task_count) continue;
    model_.mark_done(job, task->index);
  }
}

// Frees all placements of the machine: the incarnation to which they belonged is over, so their tasks are
// gone whether they had been launched or not.
void WorkerLiveness::begin_incarnation(Machine& machine, std::uint64_t worker_incarnation) {
  const double now = ctx_.env->now();
  std::size_t freed = 0;
  for (Placement& placement : machine.placements) {
    if (placement.stage == Placement::Stage::kFreeing) continue;
    model_.free_placement(placement, 0);
    freed++;
  }
  if (freed > 0)
    spdlog::info("machine {}: the worker has started incarnation {}, {} earlier placements freed",
                 machine.name, worker_incarnation, freed);
  model_.counters().freed_by_incarnation += freed;
  // The worker's lease expired although its reports were answered. A single expiry can be due to a network
  // partition or a hang. Answers do not reach the worker if its reports arrived steadily throughout, or if
  // the lease expires this way a second time. The second case is needed because a worker that receives no
  // answers moves from node to node, and its reports arrive only seldom. An incarnation that seems shorter
  // than half a lease does not count: the reports that a partition held back arrive all at once when it ends,
  // and prove nothing about the answers.
  const bool was_answered = machine.last_answer_at >= machine.incarnation_since;
  const bool outlasted_half_lease = now - machine.incarnation_since > ctx_.settings->lease_s / 2;
  const bool reported_steadily = now - machine.steady_since > 0.8 * ctx_.settings->lease_s;
  machine.expired_incarnations = was_answered && outlasted_half_lease ? machine.expired_incarnations + 1 : 0;
  if ((was_answered && outlasted_half_lease && machine.token_acknowledged && reported_steadily) ||
      machine.expired_incarnations >= 2) {
    if (!machine.inbound_unreachable) {
      machine.inbound_unreachable_since = now;
      spdlog::info(
          "machine {}: answers do not reach it, its leases expire although it reports; no tasks are started "
          "on it",
          machine.name);
    }
    machine.inbound_unreachable = true;
  }
  machine.record.worker_incarnation = worker_incarnation;
  machine.last_answer_at = std::max(machine.last_answer_at, now);  // the new lease counts from now
  machine.incarnation_since = now;
  machine.ineffective_launches = 0;
  machine.images.clear();
}

// A worker starts a new incarnation when it has received no answer for the duration of its lease. An
// incarnation that outlasts the lease has therefore received one.
void WorkerLiveness::evaluate_reachability(Machine& machine) {
  const double now = ctx_.env->now();
  if (!machine.inbound_unreachable && machine.ineffective_launches >= kMaxIneffectiveLaunches) {
    machine.inbound_unreachable = true;
    machine.inbound_unreachable_since = machine.incarnation_since = now;
    machine.ineffective_launches = 0;
    // The last report lacks the tasks of these launches, and no answer to an older report can start them any
    // more. Their placements are therefore freed.
    for (Placement& placement : machine.placements) {
      const bool is_missing =
          placement.seen_sequence != machine.sequence && placement.sent_sequence < machine.sequence;
      if (placement.stage == Placement::Stage::kRecorded && is_missing && placement.sent_sequence != 0)
        model_.free_placement(placement, 0);
    }
    spdlog::info(
        "machine {}: answers do not reach it, {} consecutive launches had no effect; no tasks are started on "
        "it",
        machine.name, kMaxIneffectiveLaunches);
  }
  if (machine.expired_incarnations > 0 && now - machine.incarnation_since > ctx_.worker_lease_bound_s())
    machine.expired_incarnations = 0;
  if (machine.inbound_unreachable && now - machine.incarnation_since > ctx_.worker_lease_bound_s()) {
    machine.inbound_unreachable = false;
    spdlog::info("machine {}: answers reach it again, tasks may be started on it", machine.name);
  }
}

void WorkerLiveness::on_exit(Machine& machine, Placement& placement, ExitCause cause) {
  const JobPtr job = placement.job;
  if (cause == ExitCause::kDone) {
    model_.counters().completions++;
    job->error_streak = 0;
    machine.error_streak = 0;
    machine.failed_jobs.clear();
    model_.mark_done(job, placement.index);
    // No leader launches the task again: the worker reports it as exited until the exit is acknowledged, and
    // that happens only once the completion is durable.
    model_.release_room(machine, *job);
    placement.job = nullptr;
    return;
  }
  double delay_s = 0;
  if (cause == ExitCause::kError || cause == ExitCause::kOther) job->fail_attempt();
  if (cause == ExitCause::kError) {
    model_.counters().errors++;
    job->error_streak++;
    Job::FailureCount& failure_count = job->failures_by_machine[machine.name];
    failure_count.errors++;
    failure_count.last_error_at = ctx_.env->now();
    if (job->is_faulty()) {
      back_off_faulty_job(*job);
      model_.free_placement(placement, 0);
      return;
    }
    machine.error_streak++;
    if (std::find(machine.failed_jobs.begin(), machine.failed_jobs.end(), job->spec().ref) ==
        machine.failed_jobs.end()) {
      machine.failed_jobs.push_back(job->spec().ref);
    }
    // Repeated failures of one job do not show that the machine is faulty. The machine is faulty if several
    // jobs have failed on it and on no other machine, or if it fails at least two tasks in a row while the
    // job completes tasks elsewhere. Jobs that have also failed elsewhere do not count, because two jobs that
    // were submitted with a mistake may well run on the same machine.
    const auto failed_only_here =
        std::count_if(machine.failed_jobs.begin(), machine.failed_jobs.end(),
                      [this](const std::string& ref) { return model_.has_failed_on_one_machine_only(ref); });
    const bool several_jobs_failed = failed_only_here >= kMinJobsFailedOnlyHere;
    const bool fails_working_job =
        machine.error_streak >= 2 && (job->succeeded_elsewhere || !job->done.empty());
    if (!machine.faulty && (several_jobs_failed || fails_working_job)) {
      spdlog::warn("machine {}: faulty, {} tasks in a row have failed on it; no more tasks are started on it",
                   machine.name, machine.error_streak);
      machine.faulty = true;
    }
    machine.no_fill_until = ctx_.env->now() + std::min(8.0, 1.0 * machine.error_streak);
    delay_s = machine.faulty ? 0 : std::min(30.0, 0.5 * std::pow(2.0, std::min(job->error_streak, 6)));
    spdlog::info("task {}: failed on machine {} (attempt {}), will be retried",
                 task_name(job->spec().ref, placement.index), machine.name, placement.attempt);
  } else if (cause == ExitCause::kGangPeerLost || cause == ExitCause::kGangIncomplete) {
    job->fail_attempt();  // neither the machine nor the job is faulty
  } else if (cause != ExitCause::kStopped) {
    spdlog::info("task {}: not run by machine {} (exit cause {}), will be retried",
                 task_name(job->spec().ref, placement.index), machine.name, static_cast<int>(cause));
    machine.no_fill_until = ctx_.env->now() + 2;
    delay_s = 1;
  }
  model_.free_placement(placement, delay_s);
}

// Handles an error of a job that fails on every machine. Its failures no longer count against the machines,
// and one of its tasks is retried at growing intervals until it succeeds or the user cancels the job. Before
// this rule, in incident db4e, five jobs submitted with a mistake failed 1 974 times within minutes, and 156
// good machines on each of which two of these jobs had run were returned as faulty.
void WorkerLiveness::back_off_faulty_job(Job& job) {
  const std::string& ref = job.spec().ref;
  if (job.trial_delay_s == 0)
    spdlog::info(
        "job {}: faulty, it fails on every machine; one task at a time is retried at growing intervals", ref);
  // Tasks that started before the job was found to be faulty fail within the first delay and do not lengthen
  // it.
  if (ctx_.env->now() >= job.next_trial_at) {
    job.trial_delay_s = std::clamp(job.trial_delay_s * 2, kMinTrialDelaySeconds, kMaxTrialDelaySeconds);
    job.next_trial_at = ctx_.env->now() + job.trial_delay_s;
  }
  for (const auto& [name, failure_count] : job.failures_by_machine) {
    const auto it = model_.machines().find(name);
    if (it == model_.machines().end()) continue;
    Machine& machine = *it->second;
    if (std::erase(machine.failed_jobs, ref) == 0 || !machine.failed_jobs.empty()) continue;
    machine.error_streak = 0;
    machine.no_fill_until = 0;
    if (machine.faulty && !machine.draining) machine.faulty = false;
  }
}

void WorkerLiveness::expire_lease(Machine& machine) {
  const double lease_bound_s = ctx_.worker_lease_bound_s();
  const bool has_expired =
      machine.token_acknowledged && machine.last_answer_at + lease_bound_s < ctx_.env->now();
  if (!has_expired || machine.placements.empty()) return;
  std::size_t freed = 0;
  for (Placement& placement : machine.placements) {
    if (placement.stage != Placement::Stage::kRecorded) continue;
    model_.free_placement(placement, 0);
    freed++;
  }
  if (freed == 0) return;
  spdlog::info("machine {}: no reports and its lease has expired, {} placements freed", machine.name, freed);
  model_.counters().freed_by_lease += freed;
}

}  // namespace mothslip
