#include "sim/gangs.hpp"

#include <algorithm>
#include <cmath>

#include "sim/world.hpp"

namespace mothslip::sim {

namespace {
constexpr double kStepSeconds = 0.1;
// Time between the start of a failing task and its failure.
constexpr double kFailDelaySeconds = 0.5;

bool is_present(const Task& task) { return task.phase != "exited"; }
}  // namespace

void Gangs::begin() { step(); }

void Gangs::step() {
  std::map<Key, std::vector<Member>> members;
  for (auto& [name, worker] : world_.workers) {
    if (worker->dead) continue;
    for (Task& task : worker->tasks) {
      if (task.job != nullptr && task.job->gang)
        members[{task.ref, task.attempt}].push_back({worker.get(), &task});
    }
  }
  // Attempts whose tasks have all disappeared are included.
  for (auto& [key, attempt] : attempts_) members[key];
  for (auto& [key, list] : members) advance_attempt(world_.jobs.at(key.first), attempts_[key], list);
  world_.in(kStepSeconds, [this] { step(); });
}

void Gangs::advance_attempt(UserJob& job, Attempt& attempt, std::vector<Member>& members) {
  const auto present_tasks = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const Member& each) { return is_present(*each.task); }));
  if (!attempt.has_started) {
    attempt.lost_task_before_start |= present_tasks < attempt.max_tasks_seen;
    attempt.max_tasks_seen = std::max(attempt.max_tasks_seen, present_tasks);
    start(job, attempt, members);
  } else if (attempt.first_stop_at >= 0) {
    save(job, attempt, members);
  } else {
    run(job, attempt, members);
  }
}

void Gangs::exit(Member& member, const char* cause) {
  if (!is_present(*member.task)) return;
  member.task->phase = "exited";
  member.task->cause = cause;
  member.worker->mark_changed();
}

void Gangs::start(UserJob& job, Attempt& attempt, std::vector<Member>& members) {
  int waiting = 0;
  for (Member& member : members) {
    if (member.task->phase != "waiting" || member.worker->hung) continue;
    if (world_.now > member.task->phase_ends_at) {
      tasks_without_peers++;
      exit(member, "alone");
    } else {
      waiting++;
    }
  }
  if (waiting < job.task_count) return;
  attempts_started++;
  attempts_started_after_loss += attempt.lost_task_before_start ? 1 : 0;
  attempt.has_started = true;
  attempt.started_at = world_.now;
  attempt.progress_at_start_s = job.progress_s;
  attempt.completes_at = world_.now + job.run_s - job.progress_s;
  job.gang_started_at = world_.now;
  if (job.first_started_at < 0) job.first_started_at = world_.now;
  for (Member& member : members) {
    if (!is_present(*member.task)) continue;
    member.task->phase = "running";
    member.worker->mark_changed();
  }
}

// Sets the progress back to the last checkpoint before the attempt ended.
void Gangs::restore_checkpointed_progress(UserJob& job, Attempt& attempt) const {
  const double checkpoint_interval_s = job.body["snapshot_every_s"].get<double>();
  const double progress_until = attempt.ended_at >= 0 ? attempt.ended_at : attempt.first_stop_at;
  const double reached_s = attempt.progress_at_start_s + progress_until - attempt.started_at;
  const double checkpointed_s =
      checkpoint_interval_s > 0 ? std::floor(reached_s / checkpoint_interval_s) * checkpoint_interval_s : 0;
  job.progress_s = std::max(job.progress_s, std::min(checkpointed_s, job.run_s));
}

void Gangs::run(UserJob& job, Attempt& attempt, std::vector<Member>& members) {
  int running = 0;
  for (Member& member : members) {
    if (member.task->phase == "running" && !member.worker->hung) running++;
    const bool fails = member.worker->faulty || job.always_fails;
    if (fails && member.task->phase == "running" && world_.now - attempt.started_at > kFailDelaySeconds)
      exit(member, "error");
  }
  if (attempt.ended_at < 0 && running == job.task_count) {
    if (world_.now < attempt.completes_at) return;
    for (Member& member : members) {
      if (!is_present(*member.task)) continue;
      exit(member, "done");
      world_.on_task_completed(*member.task);
    }
    attempt.ended_at = world_.now;
    job.progress_s = job.run_s;
    return;
  }
  if (attempt.ended_at < 0) {
    attempt.ended_at = world_.now;
    if (static_cast<int>(job.completed.size()) < job.task_count) attempts_failed++;
    restore_checkpointed_progress(job, attempt);
  }
  if (world_.now - attempt.ended_at < world_.options.gang_peer_s) return;
  for (Member& member : members) {
    if (!member.worker->hung) exit(member, "mates_gone");
  }
}

void Gangs::stop(Task& task, double grace_s) {
  UserJob& job = *task.job;
  Attempt& attempt = attempts_[{task.ref, task.attempt}];
  const bool can_save =
      job.body["snapshot_every_s"].get<double>() > 0 && grace_s >= job.body["snapshot_cost_s"].get<double>();
  if (task.phase == "running" && can_save && attempt.ended_at < 0) {
    task.phase = "saving";
    task.phase_ends_at = world_.now + job.body["snapshot_cost_s"].get<double>();
    if (attempt.first_stop_at < 0) attempt.first_stop_at = world_.now;
    return;
  }
  if (task.phase == "saving" && grace_s > 0) return;
  task.phase = "exited";
  task.cause = "halted";
}

void Gangs::save(UserJob& job, Attempt& attempt, std::vector<Member>& members) {
  const double since_stop_s = world_.now - attempt.first_stop_at;
  const auto saving_tasks = std::count_if(members.begin(), members.end(), [](const Member& each) {
    return each.task->phase == "saving" || (each.task->phase == "exited" && each.task->is_progress_saved);
  });
  if (saving_tasks == job.task_count) {
    for (Member& member : members) {
      if (member.task->phase != "saving" || member.worker->hung || world_.now < member.task->phase_ends_at)
        continue;
      member.task->is_progress_saved = true;
      exit(member, "halted");
      if (!attempt.is_saved) {
        attempt.is_saved = true;
        attempts_saved++;
        job.progress_s = attempt.progress_at_start_s + attempt.first_stop_at - attempt.started_at;
      }
    }
    return;
  }
  if (since_stop_s < world_.options.gang_peer_s) return;
  if (!attempt.is_saved && attempt.ended_at < 0) {
    attempt.ended_at = world_.now;
    attempts_not_saved++;
    restore_checkpointed_progress(job, attempt);
  }
  for (Member& member : members) {
    if (!member.worker->hung) exit(member, "mates_gone");
  }
}

}  // namespace mothslip::sim
