#include "scheduling/preference.hpp"

#include <algorithm>

namespace mothslip {

double fitness(const Resources& demand, const Resources& room, const Resources& weights) {
  double sum = 0;
  for (std::size_t r = 0; r < demand.size(); r++) sum += demand[r] * room[r] * weights[r];
  return sum;
}

double urgency(const Request& request, const Resources& weights) {
  double held = 0;
  for (std::size_t r = 0; r < request.held.size(); r++) held += request.held[r] * weights[r];
  return request.assigned_share * held;
}

namespace {
struct Span {
  double low = std::numeric_limits<double>::infinity();
  double high = -std::numeric_limits<double>::infinity();
  void add(double value) {
    low = std::min(low, value);
    high = std::max(high, value);
  }
  // Min-max over the listed requests; a term that is the same for all adds nothing.
  [[nodiscard]] double normal(double value) const { return high > low ? (value - low) / (high - low) : 0; }
};
}  // namespace

std::vector<double> preferences(const Resources& room, const std::vector<Request>& requests,
                                const PreferenceWeights& weights) {
  const std::size_t count = requests.size();
  std::vector<double> out(count, -std::numeric_limits<double>::infinity());
  std::vector<double> f(count);
  std::vector<double> u(count);
  std::vector<double> a(count);
  Span fs;
  Span us;
  Span as;
  double stages = 0;
  for (const Request& request : requests) stages += request.stages;
  for (std::size_t i = 0; i < count; i++) {
    if (!fits(requests[i].demand, room)) continue;
    f[i] = fitness(requests[i].demand, room, weights.resource);
    u[i] = urgency(requests[i], weights.resource);
    a[i] = stages > 0 ? (requests[i].stages + requests[i].stages_finished) / stages : 0;
    fs.add(f[i]);
    us.add(u[i]);
    as.add(a[i]);
  }
  for (std::size_t i = 0; i < count; i++) {
    if (!fits(requests[i].demand, room)) continue;
    out[i] = weights.fitness * fs.normal(f[i]) + weights.urgency * us.normal(u[i]) +
             weights.alignment * as.normal(a[i]) + weights.slack * requests[i].pressure + requests[i].bonus +
             (requests[i].local ? weights.locality : 0);
  }
  return out;
}

int choose(const Resources& room, const std::vector<Request>& requests, const PreferenceWeights& weights) {
  const std::vector<double> score = preferences(room, requests, weights);
  int best = -1;
  for (std::size_t i = 0; i < requests.size(); i++) {
    if (!fits(requests[i].demand, room)) continue;
    if (best < 0) {
      best = static_cast<int>(i);
      continue;
    }
    const Request& mine = requests[i];
    const Request& other = requests[static_cast<std::size_t>(best)];
    if (mine.nothing_placed != other.nothing_placed) {
      if (mine.nothing_placed) best = static_cast<int>(i);
    } else if (score[i] > score[static_cast<std::size_t>(best)]) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

double deadline_pressure(double time_left_s, double work_left_s) {
  if (work_left_s <= 0) work_left_s = 1;
  if (time_left_s <= work_left_s) return 1;
  return std::clamp(1 - (time_left_s - work_left_s) / (3 * work_left_s), 0.0, 1.0);
}

}  // namespace mothslip
