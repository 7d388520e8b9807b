// Best-effort work, in particular that of guest teams, is preempted by other work and still completes.
#include "scheduling/preemption.hpp"

#include <gtest/gtest.h>

#include "sim/checks.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

constexpr Resources kNoRoom = {0, 0, 0};

class BestEffort : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  static Options options() {
    Options out;
    out.seed = static_cast<std::uint64_t>(GetParam()) + 900;
    out.nodes = GetParam() % 2 == 0 ? 5 : 3;
    out.market_machines = 1;
    out.team_max_cpus = 200;
    return out;
  }
  // Returns a long job of team blue whose tasks save snapshots of their progress.
  static UserJob best_effort_job(World& world, int number, int task_count) {
    UserJob job = plain_job(world, number, 2, task_count, 150, 4);
    job.body["owner"] = "blue";
    job.body["workload"] = "idle";
    job.body["urgency"] = "best_effort";
    job.body["snapshot_every_s"] = 10;
    job.body["snapshot_cost_s"] = 1;
    return job;
  }
  static UserJob urgent_job(World& world, int number, double submit_at) {
    UserJob job = plain_job(world, number, submit_at, 2, 8, 4);
    job.body["owner"] = "red";
    job.body["urgency"] = "urgent";
    return job;
  }
};

}  // namespace

TEST(Preemption, ChoosesTheLeastLossThatMakesRoom) {
  const std::vector<PreemptionCandidate> candidates = {
      {0, {4, 4, 0}, 50}, {1, {1, 1, 0}, 2}, {2, {4, 4, 0}, 20}};
  const Preemption chosen = choose_preemption(kNoRoom, {4, 4, 0}, candidates, 100);
  EXPECT_EQ(chosen.ids, std::vector<std::size_t>{2})
      << "the small task does not free enough room by itself and is not needed with the large one";
  EXPECT_DOUBLE_EQ(chosen.lost_core_s, 20);
  EXPECT_EQ(choose_preemption({3, 3, 0}, {4, 4, 0}, candidates, 100).ids, std::vector<std::size_t>{1});
}

TEST(Preemption, NothingIsStoppedWithoutNeedOrAboveTheCostLimit) {
  const std::vector<PreemptionCandidate> candidates = {{0, {2, 2, 0}, 5}, {1, {2, 2, 0}, 5}};
  EXPECT_TRUE(choose_preemption(kNoRoom, {5, 5, 0}, candidates, 100).ids.empty())
      << "stopping all candidates frees too little room";
  EXPECT_TRUE(choose_preemption(kNoRoom, {4, 4, 0}, candidates, 9).ids.empty())
      << "the lost work exceeds the limit";
  EXPECT_EQ(choose_preemption(kNoRoom, {4, 4, 0}, candidates, 10).ids.size(), 2u);
  EXPECT_TRUE(choose_preemption({4, 4, 0}, {4, 4, 0}, candidates, 100).ids.empty())
      << "the machine has enough room without preemption";
}

// Best-effort work fills all machines, and the cloud rents out no more, when urgent work is submitted.
TEST_P(BestEffort, IsPreemptedByUrgentWork) {
  World world(options());
  for (int i = 0; i < 3; i++) world.submit(best_effort_job(world, i, 10));
  double cores_in_use = 0;
  world.at(60, [&] {
    for (const auto& [name, worker] : world.workers) {
      for (const Task& task : worker->tasks)
        cores_in_use += worker->occupies_machine(task) ? task.job->cores : 0;
    }
    world.cloud.outage = true;
  });
  for (int i = 10; i < 14; i++) world.submit(urgent_job(world, i, 62 + 6 * (i - 10)));
  world.at(110, [&world] { world.cloud.outage = false; });
  world.faults_end_at = 115;

  world.run_until(1500);

  expect_invariants_hold(world);
  EXPECT_GE(cores_in_use, 32) << "too few of the 40 cores on spot machines are in use";
  for (const auto& [ref, job] : world.jobs) {
    if (job.body["urgency"] == "urgent") {
      EXPECT_LE(job.first_started_at - job.submit_at, 15) << ref;
      continue;
    }
    for (const auto& [index, starts] : job.starts) EXPECT_LE(starts, 5) << ref << "/" << index;
  }
}

// Many small long tasks are packed onto a few machines, so that room is left for large tasks.
TEST_P(BestEffort, SmallTasksArePackedAndLeaveRoomForLargeOnes) {
  Options sim_options = options();
  sim_options.market_machines = 2;
  World world(sim_options);
  // These jobs leave machines up and idle when the small tasks are submitted.
  for (int i = 0; i < 6; i++) world.submit(plain_job(world, i, 2, 4, 20, 4));
  for (int i = 10; i < 30; i++) {
    UserJob small_job = plain_job(world, i, 62, 1, 90, 1);
    small_job.body["cores"] = 0.25;
    small_job.body["memory_gb"] = 0.25;
    small_job.body["owner"] = "blue";
    small_job.body["workload"] = "ping";
    small_job.body["urgency"] = "best_effort";
    world.submit(small_job);
  }
  int machines_up = 0;
  int busy_machines = 0;
  world.at(95, [&] {
    for (const auto& [name, worker] : world.workers) {
      if (!worker->is_up()) continue;
      machines_up++;
      busy_machines += worker->tasks.empty() ? 0 : 1;
    }
  });

  world.run_until(500);

  expect_invariants_hold(world);
  EXPECT_GT(machines_up, 5);
  EXPECT_GT(busy_machines, 0);
  EXPECT_LT(2 * busy_machines, machines_up + options().nodes)
      << "too many machines hold small tasks, of machines up: " << machines_up;
}

INSTANTIATE_TEST_SUITE_P(Seeds, BestEffort, ::testing::Range(0, seed_count()));
