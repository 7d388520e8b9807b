// The checks that every simulated scenario must pass at its end.
#pragma once

#include "sim/world.hpp"

namespace mothslip::sim {

// Expects that no rule is violated, every accepted job is known to its user and has ended, every shard has
// an owner, at least half of the tasks of every class and team are completed, and the largest jobs of each
// class start within four minutes.
void expect_invariants_hold(World& world);

}  // namespace mothslip::sim
