#include "sim/checks.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace mothslip::sim {

namespace {

constexpr double kMaxLargestJobStartSeconds = 240;

void expect_shards_owned(const World& world) {
  for (int shard = 0; shard < world.options.nodes; shard++) {
    EXPECT_EQ(world.state.values().count("parts/" + std::to_string(shard)), 1u)
        << "shard " << shard << " has no owner";
  }
}

// Expects that at least half of the tasks of every class and of every team are completed.
void expect_half_served(const World& world) {
  // Completed tasks and all tasks, by class and by team.
  std::map<std::string, std::pair<int, int>> served;
  for (const auto& [ref, job] : world.jobs) {
    if (!job.accepted || job.cancel_at >= 0 || job.cancel_requested) continue;
    for (const char* group : {"workload", "owner"}) {
      auto& [done, all] = served[job.body[group].get<std::string>()];
      done += static_cast<int>(job.completed.size());
      all += job.task_count;
    }
  }
  for (const auto& [group, counts] : served) EXPECT_GE(2 * counts.first, counts.second) << group;
}

// Returns the largest fifth of the jobs of each class, but at least one, measured by the cores of all their
// tasks.
std::vector<const UserJob*> largest_of_each_class(const World& world) {
  std::map<std::string, std::vector<const UserJob*>> classes;
  for (const auto& [ref, job] : world.jobs) {
    if (job.accepted && job.cancel_at < 0 && !job.cancel_requested && !job.always_fails)
      classes[job.body["workload"].get<std::string>()].push_back(&job);
  }
  std::vector<const UserJob*> out;
  for (auto& [job_class, jobs] : classes) {
    std::sort(jobs.begin(), jobs.end(), [](const UserJob* a, const UserJob* b) {
      return a->task_count * a->cores > b->task_count * b->cores;
    });
    jobs.resize(std::max<std::size_t>(1, jobs.size() / 5));
    out.insert(out.end(), jobs.begin(), jobs.end());
  }
  return out;
}

// Expects that these jobs start within four minutes of their submission, or of the end of the injected
// faults if they were submitted earlier.
void expect_largest_started(const World& world) {
  for (const UserJob* job : largest_of_each_class(world)) {
    const bool was_submitted_during_faults =
        world.faults_end_at < 1e17 && job->submit_at < world.faults_end_at;
    const double waiting_since = was_submitted_during_faults ? world.faults_end_at : job->submit_at;
    EXPECT_GE(job->first_started_at, 0) << job->ref;
    EXPECT_LE(job->first_started_at - waiting_since, kMaxLargestJobStartSeconds) << job->ref;
  }
}

void expect_all_ends_seen(const World& world) {
  for (const auto& [ref, job] : world.jobs) {
    if (job.accepted) {
      EXPECT_TRUE(job.user_saw_done || job.user_saw_aborted) << ref << "\n" << world.summary();
    }
  }
}

}  // namespace

void expect_invariants_hold(World& world) {
  EXPECT_TRUE(world.violations.empty()) << world.summary();
  EXPECT_GT(world.starts, 0);
  expect_shards_owned(world);
  expect_half_served(world);
  expect_largest_started(world);
  expect_all_ends_seen(world);
}

}  // namespace mothslip::sim
