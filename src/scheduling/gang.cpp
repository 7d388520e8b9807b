#include "scheduling/gang.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>

namespace mothslip {

namespace {

// A machine with room for at least one task of the gang.
struct Candidate {
  std::size_t machine = 0;  // index into the machines passed to find_gang_places
  int slots = 0;            // tasks of the gang that fit the machine
  double fetch_s = 0;
  int zone = 0;
};

// An assignment of all tasks to machines.
struct PlacementOption {
  std::vector<GangShare> shares;
  double start_s = 0;  // seconds from now until the last machine has the image
  [[nodiscard]] bool is_better_than(const PlacementOption& other) const {
    return std::tuple(start_s, shares.size()) < std::tuple(other.start_s, other.shares.size());
  }
};

// Returns the earliest time, in seconds from now, at which enough candidates for all tasks have the image.
std::optional<double> earliest_start_s(std::vector<Candidate> candidates, int tasks) {
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.fetch_s < b.fetch_s; });
  for (const Candidate& candidate : candidates) {
    tasks -= candidate.slots;
    if (tasks <= 0) return candidate.fetch_s;
  }
  return std::nullopt;
}

// Uses the fewest machines among the candidates that have the image at the earliest start: those with the
// most slots first, and for the remaining tasks the machine with the fewest slots that holds all of them.
std::optional<PlacementOption> choose_fewest_machines(const std::vector<Candidate>& all, int tasks) {
  const auto start_s = earliest_start_s(all, tasks);
  if (!start_s) return std::nullopt;
  std::vector<Candidate> candidates;
  std::copy_if(all.begin(), all.end(), std::back_inserter(candidates),
               [start_s](const Candidate& candidate) { return candidate.fetch_s <= *start_s; });
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.slots > b.slots; });
  PlacementOption out;
  out.start_s = *start_s;
  for (auto it = candidates.begin(); tasks > 0; ++it) {
    if (it->slots >= tasks) {
      // The candidates are sorted by descending slots, so the last one that holds all remaining tasks is the
      // tightest fit.
      const auto first_too_small = std::find_if(
          it, candidates.end(), [tasks](const Candidate& candidate) { return candidate.slots < tasks; });
      it = std::prev(first_too_small);
    }
    const int assigned_tasks = std::min(tasks, it->slots);
    out.shares.push_back({it->machine, assigned_tasks});
    tasks -= assigned_tasks;
  }
  return out;
}

// Places at most max_tasks_per_zone tasks in each zone, on the machines that can start earliest first.
std::vector<GangShare> choose_scattered(const GangNeeds& needs, std::vector<Candidate> candidates) {
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.fetch_s != b.fetch_s ? a.fetch_s < b.fetch_s : a.slots > b.slots;
  });
  std::map<int, int> tasks_by_zone = needs.placed_by_zone;
  std::vector<GangShare> out;
  int tasks_left = needs.tasks;
  for (const Candidate& candidate : candidates) {
    const int assigned_tasks =
        std::min({tasks_left, candidate.slots, needs.max_tasks_per_zone - tasks_by_zone[candidate.zone]});
    if (assigned_tasks <= 0) continue;
    tasks_by_zone[candidate.zone] += assigned_tasks;
    tasks_left -= assigned_tasks;
    out.push_back({candidate.machine, assigned_tasks});
  }
  if (tasks_left > 0) out.clear();
  return out;
}

}  // namespace

int slots(const Resources& room, const Resources& demand) {
  constexpr double kRoundingTolerance = 1e-6;
  double min_slots = std::numeric_limits<int>::max();
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > 0)
      min_slots = std::min(min_slots, std::floor((room[r] + kRoundingTolerance) / demand[r]));
  }
  return static_cast<int>(std::max(0.0, min_slots));
}

std::vector<GangShare> find_gang_places(const GangNeeds& needs, const std::vector<GangMachine>& machines) {
  if (needs.together && needs.max_tasks_per_zone > 0 && needs.tasks > needs.max_tasks_per_zone) return {};
  std::map<int, std::vector<Candidate>> by_zone;
  for (std::size_t i = 0; i < machines.size(); i++) {
    const int slot_count = slots(machines[i].room, needs.demand);
    const int zone = needs.together || needs.max_tasks_per_zone > 0 ? machines[i].zone : 0;
    if (slot_count > 0) by_zone[zone].push_back({i, slot_count, machines[i].fetch_s, machines[i].zone});
  }
  if (!needs.together && needs.max_tasks_per_zone > 0) {
    std::vector<Candidate> all;
    for (const auto& [zone, candidates] : by_zone)
      all.insert(all.end(), candidates.begin(), candidates.end());
    return choose_scattered(needs, std::move(all));
  }
  std::optional<PlacementOption> best;
  for (const auto& [zone, candidates] : by_zone) {
    auto option = choose_fewest_machines(candidates, needs.tasks);
    if (option && (!best || option->is_better_than(*best))) best = std::move(option);
  }
  return best ? best->shares : std::vector<GangShare>();
}

}  // namespace mothslip
