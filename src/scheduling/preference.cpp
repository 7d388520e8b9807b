#include "scheduling/preference.hpp"

#include <algorithm>

namespace mothslip {

namespace {
// Slack of at least this many times the remaining work means no deadline pressure.
constexpr double kZeroPressureSlackFactor = 3;
}  // namespace

double fitness(const Resources& demand, const Resources& room, const Resources& weights) {
  double sum = 0;
  for (std::size_t r = 0; r < demand.size(); r++) sum += demand[r] * room[r] * weights[r];
  return sum;
}

double urgency(const ResourceRequest& request, const Resources& weights) {
  double held = 0;
  for (std::size_t r = 0; r < request.held.size(); r++) held += request.held[r] * weights[r];
  return request.assigned_share * held;
}

namespace {
// The range of one term's values over all requests that fit.
struct TermRange {
  double low = std::numeric_limits<double>::infinity();
  double high = -std::numeric_limits<double>::infinity();
  void add(double value) {
    low = std::min(low, value);
    high = std::max(high, value);
  }
  // Scales the value to 0..1 within the range. Returns 0 for a term that is equal for all requests, so that
  // the term does not contribute.
  [[nodiscard]] double normalized(double value) const {
    return high > low ? (value - low) / (high - low) : 0;
  }
};
}  // namespace

std::vector<double> preferences(const Resources& room, const std::vector<ResourceRequest>& requests,
                                const PreferenceWeights& weights) {
  const std::size_t count = requests.size();
  std::vector<double> out(count, -std::numeric_limits<double>::infinity());
  std::vector<double> fitnesses(count);
  std::vector<double> urgencies(count);
  std::vector<double> alignments(count);
  TermRange fitness_range;
  TermRange urgency_range;
  TermRange alignment_range;
  double stages = 0;
  for (const ResourceRequest& request : requests) stages += request.stages;
  for (std::size_t i = 0; i < count; i++) {
    if (!fits(requests[i].demand, room)) continue;
    fitnesses[i] = fitness(requests[i].demand, room, weights.resource);
    urgencies[i] = urgency(requests[i], weights.resource);
    alignments[i] = stages > 0 ? (requests[i].stages + requests[i].stages_finished) / stages : 0;
    fitness_range.add(fitnesses[i]);
    urgency_range.add(urgencies[i]);
    alignment_range.add(alignments[i]);
  }
  for (std::size_t i = 0; i < count; i++) {
    if (!fits(requests[i].demand, room)) continue;
    out[i] = weights.fitness * fitness_range.normalized(fitnesses[i]) +
             weights.urgency * urgency_range.normalized(urgencies[i]) +
             weights.alignment * alignment_range.normalized(alignments[i]) +
             weights.slack * requests[i].pressure + requests[i].bonus +
             (requests[i].image_is_cached ? weights.locality : 0);
  }
  return out;
}

int choose_request(const Resources& room, const std::vector<ResourceRequest>& requests,
                   const PreferenceWeights& weights) {
  const std::vector<double> score = preferences(room, requests, weights);
  int best = -1;
  for (std::size_t i = 0; i < requests.size(); i++) {
    if (!fits(requests[i].demand, room)) continue;
    if (best < 0) {
      best = static_cast<int>(i);
      continue;
    }
    const ResourceRequest& request = requests[i];
    const ResourceRequest& best_request = requests[static_cast<std::size_t>(best)];
    if (request.nothing_placed != best_request.nothing_placed) {
      if (request.nothing_placed) best = static_cast<int>(i);
    } else if (score[i] > score[static_cast<std::size_t>(best)]) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

double deadline_pressure(double time_left_s, double work_left_s) {
  if (work_left_s <= 0) work_left_s = 1;
  if (time_left_s <= work_left_s) return 1;
  return std::clamp(1 - (time_left_s - work_left_s) / (kZeroPressureSlackFactor * work_left_s), 0.0, 1.0);
}

}  // namespace mothslip
