// Which running tasks to stop so that a more urgent one gets room on their machine: a pure function.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduling/preference.hpp"

namespace mothslip {

// A task that may be stopped.
struct PreemptionCandidate {
  std::size_t id = 0;  // the caller's
  Resources held{};
  double lost_core_s = 0;  // core-seconds of work that stopping it costs
};

// The tasks to be stopped.
struct Preemption {
  std::vector<std::size_t> ids;  // to be stopped; empty: not worth it, or not possible
  double lost_core_s = 0;        // core-seconds, by all of them
};

// The tasks whose end makes `room` large enough for `needed`, taken in order of their loss, without those
// that turn out not to be needed. Nothing when more than `max_lost_core_s` would be lost.
Preemption choose_preemption(const Resources& room, const Resources& needed,
                             std::vector<PreemptionCandidate> candidates, double max_lost_core_s);

}  // namespace mothslip
