// Which waiting request a machine with free room takes next: HaSTE-A's preference (Yao et al., equations
// 1 and 6), with the changes that docs/design.md explains. Pure functions. What is marked "added" is not in
// the paper.
#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <vector>

namespace mothslip {

// Cores, memory in GB and accelerators.
using Resources = std::array<double, 3>;

// Whether the room holds the demand, rounding errors aside.
inline bool fits(const Resources& demand, const Resources& room) {
  constexpr double kRoundingTolerance = 1e-6;
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > room[r] + kRoundingTolerance) return false;
  }
  return true;
}

// Weights of the terms of the preference, and of the resources within them.
struct PreferenceWeights {
  double fitness = 0.2;
  double urgency = 0.2;
  double alignment = 0.6;
  double slack = 0;     // added: of the deadline pressure
  double locality = 0;  // added: of an image that is there already
  Resources resource = {1, 1, 1};
};

// One job's waiting tasks, as one request.
struct ResourceRequest {
  Resources demand{};
  double assigned_share = 0;  // tasks placed or done, of all
  Resources held{};           // by its tasks that are placed
  double stages = 1;          // of this job
  double stages_finished = 0;
  bool nothing_placed = true;
  double bonus = 0;              // added: urgency class and guarantee
  double pressure = 0;           // added: deadline pressure, 0..1
  bool image_is_cached = false;  // added: the machine has the image already
};

// How well the demand fits the room: their weighted inner product.
double fitness(const Resources& demand, const Resources& room, const Resources& weights);
// What the job holds, weighted by the share of its tasks that are placed or done.
double urgency(const ResourceRequest& request, const Resources& weights);
// Preference of every request; requests that do not fit get -infinity.
std::vector<double> preferences(const Resources& room, const std::vector<ResourceRequest>& requests,
                                const PreferenceWeights& weights);
// Index of the request to serve next, or -1: one of which nothing is placed goes first, then the preference.
int choose_request(const Resources& room, const std::vector<ResourceRequest>& requests,
                   const PreferenceWeights& weights);

// 0 while there is plenty of time, 1 when the remaining work only just fits before the deadline.
double deadline_pressure(double time_left_s, double work_left_s);

}  // namespace mothslip
