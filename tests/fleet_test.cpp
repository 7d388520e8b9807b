// The simulated cluster at the size of a large fleet: five nodes, one to two thousand machines and many jobs,
// with many faults at the same time. No rule may break, no message may exceed the limit of its receiver, and
// the jobs must complete.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "sim/checks.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

class LargeFleet : public ::testing::Test {
 protected:
  void SetUp() override { set_up_log(); }
};

}  // namespace

TEST_F(LargeFleet, TrafficWithoutFaultsIsBounded) {
  constexpr double kDurationSeconds = 260;
  Options sim_options = large_fleet(1);
  sim_options.market_machines = 2 * kLargeMarketMachines;
  sim_options.team_max_cpus = 14000;
  World world(sim_options);
  submit_mixed_jobs(world, 800, 100);

  world.run_until(kDurationSeconds);

  expect_invariants_hold(world);
  EXPECT_GT(world.cloud.machines_rented, 2000);
  // The number of messages grows with time, nodes and task starts, but not with the fleet or the queue.
  const double nodes = world.options.nodes;
  EXPECT_LT(world.network.message_counts["/peer/summary"], 1.1 * kDurationSeconds * nodes);
  EXPECT_LT(world.network.message_counts["/peer/beat"], 1.1 * kDurationSeconds / 2 * nodes * (nodes - 1));
  EXPECT_LT(world.network.message_counts["/peer/borrow"], 1.1 * kDurationSeconds / 0.4 * nodes);
  EXPECT_LT(world.state.requested_changes, world.starts)
      << "each state change should cover several task starts";
  EXPECT_LT(world.network.message_counts["state request"], kDurationSeconds * world.options.state_rps / 2);
  EXPECT_LT(world.network.message_counts["command"], world.starts / 4)
      << "launches should be sent in answers to reports, and commands only to stop tasks";
  if (std::getenv("SIM_SIZES") != nullptr) {
    for (const auto& [kind, bytes] : world.network.largest_bytes)
      std::cout << kind << ": " << world.network.message_counts[kind] << ", at most " << bytes << " bytes\n";
    std::cout << world.workers.size() << " machines, " << world.starts << " starts, "
              << world.state.requested_changes << " changes, " << world.state.rate_limited_calls
              << " calls answered 429\n";
  }
}

// All five nodes crash at once while the state service is slow. They restart first within a fraction of a
// second and later after 6 s, and a tenth of the machines hang in between. A shard whose owner reads many
// records one after the other would be inactive for all that time.
TEST_F(LargeFleet, AllNodesRestartWhileTheStateServiceIsSlow) {
  World world(large_fleet(2));
  submit_mixed_jobs(world, 300, 120);
  double longest_inactive_s = 0;  // the longest of any shard after a restart
  const auto measure_until_active = [&world, &longest_inactive_s](double restarted_at) {
    auto check = std::make_shared<std::function<void()>>();
    *check = [&world, &longest_inactive_s, restarted_at, check] {
      for (int p = 0; p < world.options.nodes; p++) {
        bool active = false;
        for (const Nodes::Process& process : world.nodes) {
          const ShardLeader* shard = process.node ? process.node->shard(p) : nullptr;
          active |= shard != nullptr && shard->active();
        }
        if (!active) {
          world.in(0.1, [check] { (*check)(); });
          return;
        }
      }
      longest_inactive_s = std::max(longest_inactive_s, world.now - restarted_at);
    };
    world.in(0.5, [check] { (*check)(); });
  };
  const auto restart_all = [&world, &measure_until_active](double delay_s) {
    for (int i = 0; i < world.options.nodes; i++) world.nodes.crash(i, delay_s + world.uniform(0, 0.3));
    measure_until_active(world.now + delay_s);
  };
  world.at(60, [&world] { world.state.answer_delay_s = 0.15; });
  world.at(70, [&restart_all] { restart_all(0.2); });
  world.at(72, [&world] {
    int count = 0;
    for (auto& [name, worker] : world.workers) {
      if (count++ % 10 != 0) continue;
      worker->hang(world.uniform(10, 40));
    }
  });
  world.at(100, [&restart_all] { restart_all(6); });
  world.at(115, [&world] { world.state.answer_delay_s = 0; });
  world.faults_end_at = 120;

  world.run_until(330);

  expect_invariants_hold(world);
  EXPECT_GT(longest_inactive_s, 0);
  EXPECT_LT(longest_inactive_s, 8);  // the lease of the previous process and about ten reads
}

// Most machines of a zone are partitioned, a tenth of the others hang, some die permanently, and duplicates
// of old messages keep arriving. Partitioned machines must not be returned to the cloud, and lost machines
// must be replaced only once.
TEST_F(LargeFleet, MostOfAZoneIsPartitionedWhileMachinesHangAndDie) {
  Options sim_options = large_fleet(3);
  sim_options.message_duplicate_share = 0.02;
  sim_options.commit_duplicate_share = 0.02;
  World world(sim_options);
  submit_mixed_jobs(world, 300, 150);
  std::vector<Worker*> partitioned_workers;
  int rented_before = 0;
  world.at(60, [&world, &partitioned_workers, &rented_before] {
    rented_before = world.cloud.machines_rented;
    int count = 0;
    for (auto& [name, worker] : world.workers) {
      if (worker->zone != "hall-0" || worker->dead || count++ % 3 == 0) continue;  // about 15 % of all
      if (!worker->tasks.empty()) partitioned_workers.push_back(worker.get());
      world.network.partition_machine(name);
    }
  });
  world.at(75, [&world] {
    int count = 0;
    for (auto& [name, worker] : world.workers) {
      if (worker->zone == "hall-0" || count++ % 10 != 0) continue;
      worker->hang(world.uniform(10, 30));
    }
  });
  world.at(95, [&world, &partitioned_workers] {
    world.network.partitions.clear();
    int alive = 0;
    for (const Worker* worker : partitioned_workers) alive += worker->dead ? 0 : 1;
    EXPECT_GT(partitioned_workers.size(), 20u);
    EXPECT_GT(alive * 10, static_cast<int>(partitioned_workers.size()) * 9)
        << "partitioned machines were returned to the cloud, although they were alive";
  });
  world.at(110, [&world] {
    int count = 0;
    for (auto& [name, worker] : world.workers) {
      if (!worker->dead && count++ % 12 == 0) worker->dead = true;
    }
  });
  world.faults_end_at = 130;

  world.run_until(330);

  expect_invariants_hold(world);
  EXPECT_EQ(world.rules.launches_to_duplicates, 0);
  EXPECT_LT(world.cloud.machines_rented, 2 * rented_before)
      << "more machines were rented than lost machines need as replacements";
}

// The controller that rents machines is frozen for longer than any lease while its clocks advance, and later
// another controller is frozen for 9 s. When a controller resumes, it must not process the pending messages
// and timers as if it still owned its shards.
TEST_F(LargeFleet, AFrozenControllerStartsNothingWhenItResumes) {
  World world(large_fleet(4));
  submit_mixed_jobs(world, 300, 150);
  const auto freeze = [&world](int node, double duration_s) {
    const std::string name = node_name(node);
    world.nodes.freeze(node, duration_s);
    world.network.isolated_since[name] = world.now;
    world.in(duration_s + 0.01, [&world, name] { world.network.isolated_since.erase(name); });
  };
  world.at(60, [&freeze] { freeze(0, 30); });
  world.at(110, [&freeze] { freeze(2, 9); });
  world.at(114, [&world] { world.nodes.crash(3, 0.1); });
  world.faults_end_at = 125;

  world.run_until(330);

  expect_invariants_hold(world);
}
