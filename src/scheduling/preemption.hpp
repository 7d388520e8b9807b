// Chooses the running tasks to stop so that a more urgent task gets room on their machine. A pure function.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduling/preference.hpp"

namespace mothslip {

// A running task that may be stopped.
struct PreemptionCandidate {
  std::size_t id = 0;  // identifier chosen by the caller
  Resources held{};
  double lost_core_s = 0;  // core-seconds of work lost by stopping the task
};

// The tasks to stop.
struct Preemption {
  std::vector<std::size_t> ids;  // empty: preemption costs too much or cannot make enough room
  double lost_core_s = 0;        // core-seconds of work lost by stopping all of them
};

// Returns tasks whose end makes `room` large enough for `needed`. Candidates are added by ascending loss;
// those that turn out to be unnecessary are dropped again. Returns no tasks if more than `max_lost_core_s`
// would be lost.
Preemption choose_preemption(const Resources& room, const Resources& needed,
                             std::vector<PreemptionCandidate> candidates, double max_lost_core_s);

}  // namespace mothslip
