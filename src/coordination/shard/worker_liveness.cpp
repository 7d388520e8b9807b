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
// Launches sent in vain, one report after the other: not a lost answer.
constexpr int kMaxIneffectiveLaunches = 3;
constexpr int kMinJobsFailedOnlyHere = 2;      // jobs
constexpr double kMinTrialDelaySeconds = 5.0;  // between two tries of a job that fails on every machine
constexpr double kMaxTrialDelaySeconds = 60.0;
}  // namespace

WorkerLiveness::WorkerLiveness(const ShardContext& context, ShardModel& model, GangScheduler& gangs)
    : ctx_(context), model_(model), gangs_(gangs) {}

// Reports are ordered by the worker's incarnation and the sequence number within it.
bool WorkerLiveness::is_newer_report(const Machine& machine, const Report& report) {
  // What an earlier leader has recorded of the machine counts, too.
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
    spdlog::info("{} will be evicted in {} s", machine.name, *report.eviction_notice_s);
    machine.evicted_at = ctx_.env->now() + *report.eviction_notice_s;
  }
}

bool WorkerLiveness::apply_heartbeat(Machine& machine, const Report& report, bool is_direct_answer) {
  if (!is_newer_report(machine, report)) return false;
  update_contact(machine, report);
  update_eviction_notice(machine, report);
  if (report.worker_incarnation > machine.record.worker_incarnation)
    begin_incarnation(machine, report.worker_incarnation);

  // (The tasks of a gang share an attempt number.)
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

// Works what the report says of each placement into the model. Takes the reports of tasks that are placed out
// of `unmatched`, and returns those of tasks that have exited.
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

// (a) the task is missing from a report that shows this leader's fencing token. It is given up where no
// launch of it can still be on its way and nobody wants it launched again.
void WorkerLiveness::free_missing_placement(const Machine& machine, Placement& placement,
                                            const Report& report, bool is_direct_answer) {
  if (placement.stage != Placement::Stage::kRecorded) return;
  const bool no_launch_in_flight = is_direct_answer ? placement.inherited && placement.sent_sequence == 0
                                                    : placement.sent_sequence < report.sequence;
  if (!no_launch_in_flight) return;
  const Job& job = *placement.job;
  const bool is_unwanted = job.is_over() || job.cancelling || placement.preempted ||
                           gangs_.attempt_over(job) || !machine.schedulable() ||
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

// Completed under a record that is gone, or taken over before it was noted: the work is done all the same.
void WorkerLiveness::apply_unmatched_completions(const TaskReports& unmatched) {
  for (const auto& [attempt, task] : unmatched) {
    if (task->phase != TaskPhase::kExited || task->cause != ExitCause::kDone) continue;
    const JobPtr job = model_.find_task(task->ref, task->index);
    if (job == nullptr || job->is_over() || task->index >= job->spec().task_count) continue;
    model_.mark_done(job, task->index);
  }
}

// (b) the incarnation that the placements belonged to is over: all are gone, launched or not.
void WorkerLiveness::begin_incarnation(Machine& machine, std::uint64_t worker_incarnation) {
  const double now = ctx_.env->now();
  std::size_t freed = 0;
  for (Placement& placement : machine.placements) {
    if (placement.stage == Placement::Stage::kFreeing) continue;
    model_.free_placement(placement, 0);
    freed++;
  }
  if (freed > 0)
    spdlog::info("{} is in incarnation {}: {} placements freed", machine.name, worker_incarnation, freed);
  model_.counters().freed_by_incarnation += freed;
  // Its lease expired although it was answered. Once, that is a cut or a hang; while its reports came all
  // the time, or once more, the answers do not arrive. (A worker without answers goes from node to node: it
  // is heard seldom.)
  // Reports that a cut held back come all at once when it ends: they show nothing of the kind.
  const bool was_answered = machine.last_answer_at >= machine.incarnation_since;
  const bool outlasted_half_lease = now - machine.incarnation_since > ctx_.settings->lease_s / 2;
  const bool reported_steadily = now - machine.steady_since > 0.8 * ctx_.settings->lease_s;
  machine.expired_incarnations = was_answered && outlasted_half_lease ? machine.expired_incarnations + 1 : 0;
  if ((was_answered && outlasted_half_lease && machine.token_acknowledged && reported_steadily) ||
      machine.expired_incarnations >= 2) {
    if (!machine.inbound_unreachable) {
      machine.inbound_unreachable_since = now;
      spdlog::info("{} is unreachable (inbound): its leases expire while it reports", machine.name);
    }
    machine.inbound_unreachable = true;
  }
  machine.record.worker_incarnation = worker_incarnation;
  machine.last_answer_at = std::max(machine.last_answer_at, now);  // its lease counts from its beginning
  machine.incarnation_since = now;
  machine.ineffective_launches = 0;
  machine.images.clear();
}

// A worker starts a new incarnation when no answer reached it for its lease; an incarnation older than that
// has heard one.
void WorkerLiveness::evaluate_reachability(Machine& machine) {
  const double now = ctx_.env->now();
  if (!machine.inbound_unreachable && machine.ineffective_launches >= kMaxIneffectiveLaunches) {
    machine.inbound_unreachable = true;
    machine.inbound_unreachable_since = machine.incarnation_since = now;
    machine.ineffective_launches = 0;
    // What it was sent in vain has not begun, and no answer to an older report can begin it any more (a).
    for (Placement& placement : machine.placements) {
      const bool is_missing =
          placement.seen_sequence != machine.sequence && placement.sent_sequence < machine.sequence;
      if (placement.stage == Placement::Stage::kRecorded && is_missing && placement.sent_sequence != 0)
        model_.free_placement(placement, 0);
    }
    spdlog::info("{} is unreachable (inbound): {} launches had no effect", machine.name,
                 kMaxIneffectiveLaunches);
  }
  if (machine.expired_incarnations > 0 && now - machine.incarnation_since > ctx_.worker_lease_bound_s())
    machine.expired_incarnations = 0;
  if (machine.inbound_unreachable && now - machine.incarnation_since > ctx_.worker_lease_bound_s()) {
    machine.inbound_unreachable = false;
    spdlog::info("{} is reachable again", machine.name);
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
    // Not launched again by anyone: it is shown as exited until reaped, and that waits for durability.
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
    // One job that fails again and again is its own fault. Several that have failed nowhere else are the
    // machine's, and so is a first streak on a machine while the job completes elsewhere. (Two jobs submitted
    // with a mistake may well meet on one machine.)
    const auto failed_only_here =
        std::count_if(machine.failed_jobs.begin(), machine.failed_jobs.end(),
                      [this](const std::string& ref) { return model_.failed_on_one(ref); });
    const bool several_jobs_failed = failed_only_here >= kMinJobsFailedOnlyHere;
    const bool fails_working_job =
        machine.error_streak >= 2 && (job->succeeded_elsewhere || !job->done.empty());
    if (!machine.faulty && (several_jobs_failed || fails_working_job)) {
      spdlog::warn("{} fails what it starts ({} in a row): not used any more", machine.name,
                   machine.error_streak);
      machine.faulty = true;
    }
    machine.no_fill_until = ctx_.env->now() + std::min(8.0, 1.0 * machine.error_streak);
    delay_s = machine.faulty ? 0 : std::min(30.0, 0.5 * std::pow(2.0, std::min(job->error_streak, 6)));
    spdlog::info("{} failed on {} (attempt {})", task_name(job->spec().ref, placement.index), machine.name,
                 placement.attempt);
  } else if (cause == ExitCause::kGangPeerLost || cause == ExitCause::kGangIncomplete) {
    job->fail_attempt();  // neither the machine's fault nor the job's
  } else if (cause != ExitCause::kStopped) {
    spdlog::info("{} refused by {}: cause {}", task_name(job->spec().ref, placement.index), machine.name,
                 static_cast<int>(cause));
    machine.no_fill_until = ctx_.env->now() + 2;
    delay_s = 1;
  }
  model_.free_placement(placement, delay_s);
}

// It fails wherever it is tried: the machines are cleared, and one task of it is tried now and then, until it
// works or its user cancels it. (Incident db4e: five jobs submitted with a mistake failed 1 974 times within
// minutes, and 156 good machines on which two of them had met were given back as faulty.)
void WorkerLiveness::back_off_faulty_job(Job& job) {
  const std::string& ref = job.spec().ref;
  if (job.trial_delay_s == 0) spdlog::info("{} fails on every machine: tried now and then", ref);
  // (What had started before it was found at fault fails within the first pause and does not lengthen it.)
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
  spdlog::info("{} silent, its lease has expired: {} placements freed", machine.name, freed);
  model_.counters().freed_by_lease += freed;
}

}  // namespace mothslip
