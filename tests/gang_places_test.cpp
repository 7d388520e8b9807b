// Tests of the search for machines on which all tasks of a gang can start at once (scheduling/gang.hpp).
#include <gtest/gtest.h>

#include "scheduling/gang.hpp"

using namespace mothslip;

namespace {

GangNeeds gang_needs(int tasks, double cores) {
  GangNeeds out;
  out.demand = {cores, 2 * cores, 0};
  out.tasks = tasks;
  return out;
}

GangMachine machine(double cores, int zone = 0, double fetch_s = 0) {
  return {{cores, 4 * cores, 0}, zone, fetch_s};
}

int total_tasks(const std::vector<GangShare>& shares) {
  int sum = 0;
  for (const GangShare& share : shares) sum += share.tasks;
  return sum;
}

}  // namespace

TEST(GangPlaces, AllOrNone) {
  EXPECT_TRUE(find_gang_places(gang_needs(6, 2), {machine(8), machine(3)}).empty());
  const auto shares = find_gang_places(gang_needs(6, 2), {machine(8), machine(4)});
  EXPECT_EQ(total_tasks(shares), 6);
  EXPECT_TRUE(find_gang_places(gang_needs(1, 2), {}).empty());
}

TEST(GangPlaces, TogetherMeansOneZone) {
  GangNeeds needs = gang_needs(4, 2);
  EXPECT_EQ(find_gang_places(needs, {machine(4, 1), machine(4, 2)}).size(), 2u);
  needs.together = true;
  EXPECT_TRUE(find_gang_places(needs, {machine(4, 1), machine(4, 2)}).empty());
  const auto shares = find_gang_places(needs, {machine(4, 1), machine(4, 2), machine(4, 2)});
  ASSERT_EQ(shares.size(), 2u);
  EXPECT_EQ(shares[0].machine + shares[1].machine, 3u);
}

TEST(GangPlaces, ScatterMeansAtMostHalfInOneZone) {
  GangNeeds needs = gang_needs(5, 1);
  needs.max_tasks_per_zone = 3;
  EXPECT_TRUE(find_gang_places(needs, {machine(16, 1)}).empty());
  const auto shares = find_gang_places(needs, {machine(16, 1), machine(1, 2), machine(1, 2)});
  ASSERT_EQ(total_tasks(shares), 5);
  for (const GangShare& share : shares) EXPECT_LE(share.tasks, 3);
  // Tasks that are already placed count.
  needs.tasks = 2;
  needs.placed_by_zone = {{1, 3}};
  for (const GangShare& share : find_gang_places(needs, {machine(16, 1), machine(2, 2)}))
    EXPECT_EQ(share.machine, 1u);
}

TEST(GangPlaces, TogetherContradictsOneTaskPerZone) {
  GangNeeds needs = gang_needs(2, 1);
  needs.together = true;
  needs.max_tasks_per_zone = 1;
  EXPECT_TRUE(find_gang_places(needs, {machine(16, 1), machine(16, 2)}).empty());
}

TEST(GangPlaces, PrefersFewMachinesThenTheTightestFit) {
  const auto one = find_gang_places(gang_needs(4, 2), {machine(32), machine(8), machine(16), machine(4)});
  ASSERT_EQ(one.size(), 1u);
  EXPECT_EQ(one[0].machine, 1u);
  const auto two = find_gang_places(gang_needs(6, 2), {machine(4), machine(8), machine(4), machine(6)});
  ASSERT_EQ(two.size(), 2u);
  EXPECT_EQ(two[0].machine, 1u);
  EXPECT_EQ(two[1].tasks, 2);
}

TEST(GangPlaces, SlowestImageFetchDecides) {
  const auto on_cached_machines =
      find_gang_places(gang_needs(4, 2), {machine(32, 0, 5), machine(4), machine(4)});
  // Two machines that have the image start earlier than one that must fetch it.
  EXPECT_EQ(on_cached_machines.size(), 2u);
  const auto on_one_machine = find_gang_places(gang_needs(4, 2), {machine(32, 0, 5), machine(4)});
  // The gang cannot start before 5 s in any case, so one machine is best.
  ASSERT_EQ(on_one_machine.size(), 1u);
  EXPECT_EQ(on_one_machine[0].machine, 0u);
}

TEST(GangPlaces, SlotsAreLimitedByMemoryAndAccelerators) {
  EXPECT_EQ(slots({8, 3, 0}, {1, 1, 0}), 3);
  EXPECT_EQ(slots({8, 64, 2}, {1, 1, 1}), 2);
  // Rounding errors in sums of fractions must not cost a slot.
  EXPECT_EQ(slots({0.3, 1, 0}, {0.1, 0, 0}), 3);
}
