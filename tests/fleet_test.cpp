// The simulated cluster at the size of a large fleet: five nodes, one to two thousand machines and a crowd of
// jobs, when many things fall together. No rule may break, no message may be larger than its receiver takes,
// and the work must get done.
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

TEST_F(LargeFleet, QuietDay) {
  constexpr double kDay = 260;
  Options most = large_fleet(1);
  most.market_machines = 2 * kLargeMarketMachines;
  most.team_max_cpus = 14000;
  World world(most);
  add_mixed_load(world, 800, 100);

  world.run_until(kDay);

  expect_invariants_hold(world);
  EXPECT_GT(world.cloud.machines_rented, 2000);
  // What is sent does not grow with the fleet or the queue, but with time, nodes and starts.
  const double nodes = world.options.nodes;
  EXPECT_LT(world.network.message_counts["/peer/summary"], 1.1 * kDay * nodes);
  EXPECT_LT(world.network.message_counts["/peer/beat"], 1.1 * kDay / 2 * nodes * (nodes - 1));
  EXPECT_LT(world.network.message_counts["/peer/borrow"], 1.1 * kDay / 0.4 * nodes);
  EXPECT_LT(world.state.requested_changes, world.starts) << "a change covers several starts";
  EXPECT_LT(world.network.message_counts["state request"], kDay * world.options.state_rps / 2);
  EXPECT_LT(world.network.message_counts["command"], world.starts / 4)
      << "launches ride in answers, commands only stop";
  if (std::getenv("SIM_SIZES") != nullptr) {
    for (const auto& [kind, bytes] : world.network.largest_bytes)
      std::cout << kind << ": " << world.network.message_counts[kind] << ", at most " << bytes << " bytes\n";
    std::cout << world.workers.size() << " machines, " << world.starts << " starts, "
              << world.state.requested_changes << " changes, " << world.state.rate_limited_calls
              << " too many\n";
  }
}

// All five nodes end at once, are back within a fraction of a second while the state service is slow, and
// again after seconds; a tenth of the machines hang meanwhile. A shard that must read many records one after
// the other stays away for as long.
TEST_F(LargeFleet, AllNodesRestartWhileTheStateServiceIsSlow) {
  World world(large_fleet(2));
  add_mixed_load(world, 300, 120);
  double down = 0;  // of any shard, since the last restart
  const auto until_active = [&world, &down](double since) {
    auto check = std::make_shared<std::function<void()>>();
    *check = [&world, &down, since, check] {
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
      down = std::max(down, world.now - since);
    };
    world.in(0.5, [check] { (*check)(); });
  };
  const auto restart_all = [&world, &until_active](double after) {
    for (int i = 0; i < world.options.nodes; i++) world.nodes.crash(i, after + world.uniform(0, 0.3));
    until_active(world.now + after);
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
  EXPECT_GT(down, 0);
  EXPECT_LT(down, 8);  // the lease of a process before it, and some ten reads
}

// Most of a zone's machines are cut off, a tenth of the others hang and some die for good, and copies of old
// messages keep coming. What was only cut off is not given back, and what was lost is rented anew once, not
// again and again.
TEST_F(LargeFleet, MuchOfAZoneIsCutOffWhileMachinesHangAndDie) {
  Options mixed = large_fleet(3);
  mixed.message_copy_share = 0.02;
  mixed.commit_copy_share = 0.02;
  World world(mixed);
  add_mixed_load(world, 300, 150);
  std::vector<Worker*> cut;
  int rented_before = 0;
  world.at(60, [&world, &cut, &rented_before] {
    rented_before = world.cloud.machines_rented;
    int count = 0;
    for (auto& [name, worker] : world.workers) {
      if (worker->zone != "hall-0" || worker->dead || count++ % 3 == 0) continue;  // some 15 % of all
      if (!worker->tasks.empty()) cut.push_back(worker.get());
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
  world.at(95, [&world, &cut] {
    world.network.partitions.clear();
    int kept = 0;
    for (const Worker* worker : cut) kept += worker->dead ? 0 : 1;
    EXPECT_GT(cut.size(), 20u);
    EXPECT_GT(kept * 10, static_cast<int>(cut.size()) * 9)
        << "machines that were only cut off were given back";
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
  EXPECT_EQ(world.rules.launches_to_copies, 0);
  EXPECT_LT(world.cloud.machines_rented, 2 * rented_before) << "rented beyond need";
}

// The controller that rents machines stands still for longer than any lease while its clocks run on, then
// another one for a while. What waited in its sockets and timers must not be carried out as if it still owned
// anything.
TEST_F(LargeFleet, AFrozenControllerStartsNothingWhenItWakes) {
  World world(large_fleet(4));
  add_mixed_load(world, 300, 150);
  const auto freeze = [&world](int node, double for_s) {
    const std::string name = node_name(node);
    world.nodes.freeze(node, for_s);
    world.network.isolated_since[name] = world.now;
    world.in(for_s + 0.01, [&world, name] { world.network.isolated_since.erase(name); });
  };
  world.at(60, [&freeze] { freeze(0, 30); });
  world.at(110, [&freeze] { freeze(2, 9); });
  world.at(114, [&world] { world.nodes.crash(3, 0.1); });
  world.faults_end_at = 125;

  world.run_until(330);

  expect_invariants_hold(world);
}
