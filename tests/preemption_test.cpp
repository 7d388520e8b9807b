// Best-effort work, a guest team's above all, gives way to other work and is done all the same.
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
    out.market = 1;
    out.team_max = 200;
    return out;
  }
  // A long job of blue's that can save what it has done.
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
      << "the small one alone is not enough, and then not needed";
  EXPECT_DOUBLE_EQ(chosen.lost_core_s, 20);
  EXPECT_EQ(choose_preemption({3, 3, 0}, {4, 4, 0}, candidates, 100).ids, std::vector<std::size_t>{1});
}

TEST(Preemption, NothingIsStoppedWithoutNeedOrAboveTheCostLimit) {
  const std::vector<PreemptionCandidate> candidates = {{0, {2, 2, 0}, 5}, {1, {2, 2, 0}, 5}};
  EXPECT_TRUE(choose_preemption(kNoRoom, {5, 5, 0}, candidates, 100).ids.empty()) << "there is too little";
  EXPECT_TRUE(choose_preemption(kNoRoom, {4, 4, 0}, candidates, 9).ids.empty()) << "it would cost too much";
  EXPECT_EQ(choose_preemption(kNoRoom, {4, 4, 0}, candidates, 10).ids.size(), 2u);
  EXPECT_TRUE(choose_preemption({4, 4, 0}, {4, 4, 0}, candidates, 100).ids.empty())
      << "there is room already";
}

// Idle-time work fills all machines, and no more are to be had, when urgent work comes.
TEST_P(BestEffort, IsPreemptedByUrgentWork) {
  World world(options());
  for (int i = 0; i < 3; i++) world.submit(best_effort_job(world, i, 10));
  double cores_in_use = 0;
  world.at(60, [&] {
    for (const auto& [name, worker] : world.workers) {
      for (const Task& task : worker->tasks) cores_in_use += worker->on_machine(task) ? task.job->cores : 0;
    }
    world.cloud.outage = true;
  });
  for (int i = 10; i < 14; i++) world.submit(urgent_job(world, i, 62 + 6 * (i - 10)));
  world.at(110, [&world] { world.cloud.outage = false; });
  world.troubles_end = 115;

  world.run_until(1500);

  expect_kept(world);
  EXPECT_GE(cores_in_use, 32) << "cores in use, of 40 on spot machines";
  for (const auto& [ref, job] : world.jobs) {
    if (job.body["urgency"] == "urgent") {
      EXPECT_LE(job.first_start - job.submit_at, 15) << ref;
      continue;
    }
    for (const auto& [index, starts] : job.starts) EXPECT_LE(starts, 5) << ref << "/" << index;
  }
}

// A swarm of small long tasks leaves room for large ones: it is packed onto a few machines.
TEST_P(BestEffort, SmallTasksArePackedAndLeaveRoomForLargeOnes) {
  Options small_market = options();
  small_market.market = 2;
  World world(small_market);
  // Machines are up, and idle, when the swarm comes.
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
      if (!worker->up()) continue;
      machines_up++;
      busy_machines += worker->tasks.empty() ? 0 : 1;
    }
  });

  world.run_until(500);

  expect_kept(world);
  EXPECT_GT(machines_up, 5);
  EXPECT_GT(busy_machines, 0);
  EXPECT_LT(2 * busy_machines, machines_up + options().nodes)
      << "machines with small tasks, of " << machines_up;
}

INSTANTIATE_TEST_SUITE_P(Seeds, BestEffort, ::testing::Range(0, seeds()));
