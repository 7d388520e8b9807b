// Which waiting request a machine with free room takes next: HaSTE-A's preference (Yao et al., equations
// 1 and 6), with the changes that docs/design.md explains. Pure functions.
#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <vector>

namespace mothslip {

// Cores, memory and accelerators.
using Resources = std::array<double, 3>;

inline bool fits(const Resources& demand, const Resources& room) {
  constexpr double kSlop = 1e-6;
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > room[r] + kSlop) return false;
  }
  return true;
}

struct PreferenceWeights {
  double fitness = 0.2;
  double urgency = 0.2;
  double alignment = 0.6;
  double slack = 0;     // ours
  double locality = 0;  // ours
  Resources resource = {1, 1, 1};
};

// One job's waiting tasks, as one request.
struct Request {
  Resources demand{};
  double assigned_share = 0;  // tasks placed or done, of all
  Resources held{};           // by its tasks that are placed
  double stages = 1;          // of this job
  double stages_finished = 0;
  bool nothing_placed = true;
  double bonus = 0;     // urgency class and guarantee (ours)
  double pressure = 0;  // deadline pressure, 0..1 (ours)
  bool local = false;   // the machine has the image already (ours)
};

double fitness(const Resources& demand, const Resources& room, const Resources& weights);
double urgency(const Request& request, const Resources& weights);
// Preference of every request; requests that do not fit get -infinity.
std::vector<double> preferences(const Resources& room, const std::vector<Request>& requests,
                                const PreferenceWeights& weights);
// The request to serve next, or -1.
int choose(const Resources& room, const std::vector<Request>& requests, const PreferenceWeights& weights);

// 0 while there is plenty of time, 1 when the remaining work only just fits before the deadline.
double deadline_pressure(double time_left_s, double work_left_s);

}  // namespace mothslip
