#include "sim/gangs.hpp"

#include <algorithm>
#include <cmath>

#include "sim/world.hpp"

namespace mothslip::sim {

namespace {
constexpr double kStep = 0.1;
constexpr double kFailsAfter = 0.5;  // a task that fails does so this long after its start

bool present(const Task& task) { return task.phase != "exited"; }
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
  for (auto& [key, attempt] : attempts_) members[key];  // also those of which every task has vanished
  for (auto& [key, list] : members) play(world_.jobs.at(key.first), attempts_[key], list);
  world_.in(kStep, [this] { step(); });
}

void Gangs::play(UserJob& job, Attempt& attempt, std::vector<Member>& members) {
  const auto here = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [](const Member& each) { return present(*each.task); }));
  if (!attempt.started) {
    attempt.lost_one |= here < attempt.most;
    attempt.most = std::max(attempt.most, here);
    start(job, attempt, members);
  } else if (attempt.first_stop >= 0) {
    save(job, attempt, members);
  } else {
    run(job, attempt, members);
  }
}

void Gangs::exit(Member& member, const char* cause) {
  if (!present(*member.task)) return;
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
  attempts_started_after_loss += attempt.lost_one ? 1 : 0;
  attempt.started = true;
  attempt.begun_at = world_.now;
  attempt.begun_with = job.progress_s;
  attempt.ends = world_.now + job.run_s - job.progress_s;
  job.gang_started_at = world_.now;
  if (job.first_started_at < 0) job.first_started_at = world_.now;
  for (Member& member : members) {
    if (!present(*member.task)) continue;
    member.task->phase = "running";
    member.worker->mark_changed();
  }
}

// Falls back to the last checkpoint.
void Gangs::fall_back(UserJob& job, Attempt& attempt) const {
  const double every = job.body["snapshot_every_s"].get<double>();
  const double until = attempt.broken_at >= 0 ? attempt.broken_at : attempt.first_stop;
  const double reached = attempt.begun_with + until - attempt.begun_at;
  const double kept = every > 0 ? std::floor(reached / every) * every : 0;
  job.progress_s = std::max(job.progress_s, std::min(kept, job.run_s));
}

void Gangs::run(UserJob& job, Attempt& attempt, std::vector<Member>& members) {
  int running = 0;
  for (Member& member : members) {
    if (member.task->phase == "running" && !member.worker->hung) running++;
    const bool fails = member.worker->faulty || job.always_fails;
    if (fails && member.task->phase == "running" && world_.now - attempt.begun_at > kFailsAfter)
      exit(member, "error");
  }
  if (attempt.broken_at < 0 && running == job.task_count) {
    if (world_.now < attempt.ends) return;
    for (Member& member : members) {
      if (!present(*member.task)) continue;
      exit(member, "done");
      world_.on_task_completed(*member.task);
    }
    attempt.broken_at = world_.now;
    job.progress_s = job.run_s;
    return;
  }
  if (attempt.broken_at < 0) {
    attempt.broken_at = world_.now;
    if (static_cast<int>(job.completed.size()) < job.task_count) attempts_failed++;
    fall_back(job, attempt);
  }
  if (world_.now - attempt.broken_at < world_.options.gang_peer_s) return;
  for (Member& member : members) {
    if (!member.worker->hung) exit(member, "mates_gone");
  }
}

void Gangs::stop(Task& task, double grace_s) {
  UserJob& job = *task.job;
  Attempt& attempt = attempts_[{task.ref, task.attempt}];
  const bool can_save =
      job.body["snapshot_every_s"].get<double>() > 0 && grace_s >= job.body["snapshot_cost_s"].get<double>();
  if (task.phase == "running" && can_save && attempt.broken_at < 0) {
    task.phase = "saving";
    task.phase_ends_at = world_.now + job.body["snapshot_cost_s"].get<double>();
    if (attempt.first_stop < 0) attempt.first_stop = world_.now;
    return;
  }
  if (task.phase == "saving" && grace_s > 0) return;
  task.phase = "exited";
  task.cause = "halted";
}

void Gangs::save(UserJob& job, Attempt& attempt, std::vector<Member>& members) {
  const double since = world_.now - attempt.first_stop;
  const auto told = std::count_if(members.begin(), members.end(), [](const Member& each) {
    return each.task->phase == "saving" || (each.task->phase == "exited" && each.task->is_progress_saved);
  });
  if (told == job.task_count) {
    for (Member& member : members) {
      if (member.task->phase != "saving" || member.worker->hung || world_.now < member.task->phase_ends_at)
        continue;
      member.task->is_progress_saved = true;
      exit(member, "halted");
      if (!attempt.saved) {
        attempt.saved = true;
        attempts_saved++;
        job.progress_s = attempt.begun_with + attempt.first_stop - attempt.begun_at;
      }
    }
    return;
  }
  if (since < world_.options.gang_peer_s) return;
  if (!attempt.saved && attempt.broken_at < 0) {
    attempt.broken_at = world_.now;
    attempts_not_saved++;
    fall_back(job, attempt);
  }
  for (Member& member : members) {
    if (!member.worker->hung) exit(member, "mates_gone");
  }
}

}  // namespace mothslip::sim
