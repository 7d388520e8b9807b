// Covers the preference function of the paper, with worked examples, and fleet sizing.
#include <gtest/gtest.h>

#include "scheduling/preference.hpp"
#include "scheduling/sizing.hpp"

using namespace mothslip;

namespace {
ResourceRequest request(Resources demand) {
  ResourceRequest out;
  out.demand = demand;
  out.nothing_placed = false;
  return out;
}

FleetType type(double cores, double memory, double hourly, double spot) {
  FleetType out;
  out.capacity = {cores, memory, 0};
  out.hourly_price = hourly;
  out.spot_price = spot;
  out.zones = {0, 1};
  return out;
}

FleetDemand demand(double cores, int count) {
  FleetDemand out;
  out.demand = {cores, cores, 0};
  out.count = count;
  out.start_within_s = 5;
  return out;
}
}  // namespace

// Section 3.4.1 of the paper: a machine of <10 GB, 6 cores> takes three tasks of type II and one of type I,
// and is then full.
TEST(Fitness, ThePapersTable) {
  const Resources type_one = {3, 1, 0};  // type I: cores, GB
  const Resources type_two = {1, 3, 0};  // type II
  const Resources resource_weights = {1, 1, 0};
  Resources room = {6, 10, 0};
  const double expected[][2] = {{28, 36}, {22, 26}, {16, 16}, {6, 10}};
  PreferenceWeights preference_weights;
  preference_weights.urgency = preference_weights.alignment = 0;
  preference_weights.resource = resource_weights;
  int placed_counts[2] = {0, 0};
  const int order[] = {1, 1, 0, 1};  // at <4,4> both score 16, and the paper does not break the tie
  for (int step = 0; step < 4; step++) {
    EXPECT_DOUBLE_EQ(fitness(type_one, room, resource_weights), expected[step][0]);
    EXPECT_DOUBLE_EQ(fitness(type_two, room, resource_weights), expected[step][1]);
    const int best = choose_request(room, {request(type_one), request(type_two)}, preference_weights);
    ASSERT_EQ(best, order[step]);
    const Resources& chosen = best == 0 ? type_one : type_two;
    for (std::size_t r = 0; r < 3; r++) room[r] -= chosen[r];
    placed_counts[best]++;
  }
  EXPECT_EQ(placed_counts[0], 1);
  EXPECT_EQ(placed_counts[1], 3);
  EXPECT_EQ(room, (Resources{0, 0, 0}));
  EXPECT_EQ(choose_request(room, {request(type_one), request(type_two)}, preference_weights), -1);
}

TEST(Preference, TermsAreMinMaxNormalisedAndWeighted) {
  ResourceRequest a = request({4, 4, 0});
  ResourceRequest b = request({1, 1, 0});
  ResourceRequest c = request({2, 2, 0});
  b.assigned_share = 0.5;
  b.held = {8, 8, 0};
  c.assigned_share = 0.25;
  c.held = {8, 8, 0};
  c.stages = 3;
  c.stages_finished = 1;
  const PreferenceWeights preference_weights;  // 0.2, 0.2, 0.6
  const auto scores = preferences({8, 8, 0}, {a, b, c}, preference_weights);
  // Raw terms of a, b and c: fitness F is 64, 16, 32; urgency U is 0, 8, 4; alignment A is 1/5, 1/5, 4/5.
  EXPECT_NEAR(scores[0], 0.2, 1e-12);
  EXPECT_NEAR(scores[1], 0.2, 1e-12);
  EXPECT_NEAR(scores[2], 0.2 / 3 + 0.1 + 0.6, 1e-12);
}

TEST(Preference, ATermThatIsEqualForAllAddsNothing) {
  ResourceRequest a = request({2, 2, 0});
  ResourceRequest b = request({1, 1, 0});
  const auto scores = preferences({8, 8, 0}, {a, b}, {});
  EXPECT_DOUBLE_EQ(scores[0], 0.2) << "urgency and alignment are the same for both";
  EXPECT_DOUBLE_EQ(scores[1], 0);
  EXPECT_DOUBLE_EQ(preferences({8, 8, 0}, {a}, {})[0], 0);
}

TEST(Preference, RequestsThatDoNotFitAreExcluded) {
  ResourceRequest big = request({9, 1, 0});
  ResourceRequest small = request({1, 1, 0});
  EXPECT_EQ(choose_request({8, 8, 0}, {big, small}, {}), 1);
  EXPECT_EQ(choose_request({0.5, 8, 0}, {big, small}, {}), -1);
}

TEST(Preference, AJobWithNothingPlacedGoesFirst) {
  ResourceRequest large = request({4, 4, 0});
  ResourceRequest fresh = request({1, 1, 0});
  fresh.nothing_placed = true;
  EXPECT_EQ(choose_request({8, 8, 0}, {large, fresh}, {}), 1);
  fresh.nothing_placed = false;
  EXPECT_EQ(choose_request({8, 8, 0}, {large, fresh}, {}), 0)
      << "otherwise the request with the larger fitness goes first, as in the paper";
  fresh.bonus = 0.5;
  EXPECT_EQ(choose_request({8, 8, 0}, {large, fresh}, {}), 1)
      << "the bonus of a more urgent class outweighs fitness";
}

TEST(Preference, DeadlinePressureGrowsAsTimeRunsOut) {
  EXPECT_DOUBLE_EQ(deadline_pressure(1000, 10), 0);
  EXPECT_DOUBLE_EQ(deadline_pressure(10, 10), 1);
  EXPECT_DOUBLE_EQ(deadline_pressure(-5, 10), 1);
  EXPECT_DOUBLE_EQ(deadline_pressure(25, 10), 0.5);
}

TEST(Sizing, RentsTheCheapestFittingTypeAndAvoidsRefusedMarkets) {
  const std::vector<FleetType> types = {type(8, 64, 0.62, 0.19), type(32, 64, 1.71, 0.50)};
  std::vector<FleetMarket> markets;
  for (int t : {0, 1}) {
    for (int zone : {0, 1}) {
      markets.push_back({t, zone, true, false, 0});
      markets.push_back({t, zone, false, false, 0});
    }
  }
  auto plan = plan_fleet(types, markets, {}, {demand(16, 4)}, {});
  int machines = 0;
  for (const auto& rent : plan.new_machines) {
    EXPECT_EQ(rent.type, 1) << "only the large type has 16 cores";
    EXPECT_TRUE(rent.spot);
    machines += rent.count;
  }
  EXPECT_EQ(machines, 2);

  for (auto& market : markets) market.refused = market.spot;
  plan = plan_fleet(types, markets, {}, {demand(16, 2)}, {});
  ASSERT_EQ(plan.new_machines.size(), 1u);
  EXPECT_FALSE(plan.new_machines[0].spot) << "ordinary machines should be rented when spot is refused";

  for (auto& market : markets) market.refused = true;
  plan = plan_fleet(types, markets, {}, {demand(16, 2)}, {});
  EXPECT_TRUE(plan.new_machines.empty());
}

TEST(Sizing, FreeAndBootingMachinesAreUsedFirst) {
  const std::vector<FleetType> types = {type(8, 64, 0.62, 0.19)};
  const std::vector<FleetMarket> markets = {{0, 0, true, false, 0}};
  FleetMachine machine;
  machine.rooms = {{0, {8, 64, 0}}};
  auto plan = plan_fleet(types, markets, {machine}, {demand(4, 2)}, {});
  EXPECT_TRUE(plan.new_machines.empty());
  EXPECT_EQ(plan.planned_tasks[0], 2);
  machine.rooms = {{10, {8, 64, 0}}};
  plan = plan_fleet(types, markets, {machine}, {demand(4, 2)}, {});
  EXPECT_TRUE(plan.new_machines.empty())
      << "a booting machine should be used, because it is ready before a new one";
  machine.usable = false;
  plan = plan_fleet(types, markets, {machine}, {demand(4, 2)}, {});
  ASSERT_EQ(plan.new_machines.size(), 1u);
  EXPECT_EQ(plan.new_machines[0].count, 1);
}

TEST(Sizing, NothingIsRentedForADeadlineThatTheFleetMeets) {
  const std::vector<FleetType> types = {type(8, 64, 0.62, 0.19)};  // boots in 30 s
  const std::vector<FleetMarket> markets = {{0, 0, false, false, 0}};
  FleetMachine busy;
  busy.rooms = {{0, {0, 60, 0}}, {20, {8, 0, 0}}};  // its cores become free in 20 s
  FleetDemand job = demand(8, 3);  // the tasks run one after the other and start at 20, 50 and 80 s
  job.start_within_s = 1e9;
  job.estimated_s = 20;
  // Half the slack is reserved for work that arrives later and is placed earlier. Queues that were planned
  // to meet their deadlines without slack always missed them.
  job.time_left_s = 191;  // the last task must start by (191 - 30) / 2 s
  EXPECT_TRUE(plan_fleet(types, markets, {busy}, {job}, {}).new_machines.empty());
  job.time_left_s = 189;
  const auto plan = plan_fleet(types, markets, {busy}, {job}, {});
  ASSERT_EQ(plan.new_machines.size(), 1u);
  EXPECT_EQ(plan.new_machines[0].count, 1);
  job.count = 1;
  job.time_left_s = 40;
  EXPECT_TRUE(plan_fleet(types, markets, {busy}, {job}, {}).new_machines.empty())
      << "a new machine would miss the deadline too";
}
