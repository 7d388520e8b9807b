#include "scheduling/preemption.hpp"

#include <algorithm>

namespace mothslip {

Preemption choose_preemption(const Resources& room, const Resources& needed,
                             std::vector<PreemptionCandidate> candidates, double max_lost_core_s) {
  std::sort(candidates.begin(), candidates.end(),
            [](const PreemptionCandidate& a, const PreemptionCandidate& b) {
              return a.lost_core_s < b.lost_core_s;
            });
  Resources sum = room;
  std::size_t chosen_count = 0;
  while (!fits(needed, sum) && chosen_count < candidates.size()) {
    for (std::size_t r = 0; r < sum.size(); r++) sum[r] += candidates[chosen_count].held[r];
    chosen_count++;
  }
  if (!fits(needed, sum)) return {};
  Preemption out;
  // Drops candidates that the others make unnecessary, starting with the most expensive.
  for (std::size_t i = chosen_count; i-- > 0;) {
    Resources without = sum;
    for (std::size_t r = 0; r < sum.size(); r++) without[r] -= candidates[i].held[r];
    if (fits(needed, without)) {
      sum = without;
      continue;
    }
    out.ids.push_back(candidates[i].id);
    out.lost_core_s += candidates[i].lost_core_s;
  }
  return out.lost_core_s <= max_lost_core_s ? out : Preemption{};
}

}  // namespace mothslip
