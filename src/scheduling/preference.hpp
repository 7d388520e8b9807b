// Chooses the waiting request that a machine with free room serves next, by the preference of HaSTE-A (Yao et
// al., equations 1 and 6), with the changes that docs/design.md explains. All functions are pure. Fields
// marked "not in the paper" are additions to HaSTE-A.
#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <vector>

namespace mothslip {

// Cores, memory in GB and accelerators.
using Resources = std::array<double, 3>;

// Returns whether the room holds the demand, within a tolerance for rounding errors.
inline bool fits(const Resources& demand, const Resources& room) {
  constexpr double kRoundingTolerance = 1e-6;
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > room[r] + kRoundingTolerance) return false;
  }
  return true;
}

// Weights of the preference's terms, and of the resources within the terms.
struct PreferenceWeights {
  double fitness = 0.2;
  double urgency = 0.2;
  double alignment = 0.6;
  double slack = 0;     // weight of the deadline pressure; not in the paper
  double locality = 0;  // weight of image_is_cached; not in the paper
  Resources resource = {1, 1, 1};
};

// The waiting tasks of one job. All of them have the same demand.
struct ResourceRequest {
  Resources demand{};         // demand of one task
  double assigned_share = 0;  // placed or completed tasks, as a share of all tasks of the job
  Resources held{};           // resources of the job's placed tasks
  double stages = 1;          // number of stages of the job
  double stages_finished = 0;
  bool nothing_placed = true;
  double bonus = 0;              // summand for urgency class, guarantee and age; not in the paper
  double pressure = 0;           // deadline pressure, 0..1; not in the paper
  bool image_is_cached = false;  // the machine has the job's image; not in the paper
};

// Returns how well the demand fits the room: the weighted inner product of the two.
double fitness(const Resources& demand, const Resources& room, const Resources& weights);
// Returns the weighted sum of the resources that the job holds, times the share of its tasks that are placed
// or completed.
double urgency(const ResourceRequest& request, const Resources& weights);
// Returns the preference of each request. Requests that do not fit the room get -infinity.
std::vector<double> preferences(const Resources& room, const std::vector<ResourceRequest>& requests,
                                const PreferenceWeights& weights);
// Returns the index of the request to serve next, or -1 when none fits. Jobs without any placed task go
// first; among equals the highest preference decides.
int choose_request(const Resources& room, const std::vector<ResourceRequest>& requests,
                   const PreferenceWeights& weights);

// Returns 0 while the slack before the deadline is large, rising to 1 when the remaining work only just fits
// before the deadline or no longer fits.
double deadline_pressure(double time_left_s, double work_left_s);

}  // namespace mothslip
