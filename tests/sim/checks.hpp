// What every simulated day is held to at its end.
#pragma once

#include "sim/world.hpp"

namespace mothslip::sim {

// No rule broken, no accepted job forgotten or left undone, no shard without an owner, and at least half of
// every class and every team served, and the largest jobs of each class begun within four minutes.
void expect_invariants_hold(World& world);

}  // namespace mothslip::sim
