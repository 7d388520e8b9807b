#include "scheduling/gang.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>

namespace mothslip {

namespace {

// A machine that holds some of the gang's tasks.
struct Candidate {
  std::size_t machine = 0;  // index
  int slots = 0;            // tasks that it holds
  double fetch_s = 0;
  int zone = 0;
};

// Places for all tasks.
struct Choice {
  std::vector<GangShare> shares;
  double start_s = 0;  // from now: when the last image is there
  [[nodiscard]] bool better_than(const Choice& other) const {
    return std::tuple(start_s, shares.size()) < std::tuple(other.start_s, other.shares.size());
  }
};

// The earliest moment by which enough of the candidates have the image.
std::optional<double> earliest_start(std::vector<Candidate> candidates, int tasks) {
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.fetch_s < b.fetch_s; });
  for (const Candidate& each : candidates) {
    tasks -= each.slots;
    if (tasks <= 0) return each.fetch_s;
  }
  return std::nullopt;
}

// The fewest machines of those that start in time: the roomiest ones, and last the tightest that will do.
std::optional<Choice> choose_places(const std::vector<Candidate>& all, int tasks) {
  const auto start = earliest_start(all, tasks);
  if (!start) return std::nullopt;
  std::vector<Candidate> candidates;
  std::copy_if(all.begin(), all.end(), std::back_inserter(candidates),
               [start](const Candidate& each) { return each.fetch_s <= *start; });
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) { return a.slots > b.slots; });
  Choice out;
  out.start_s = *start;
  for (auto it = candidates.begin(); tasks > 0; ++it) {
    if (it->slots >= tasks) {
      // (They are in order of their slots: the last that holds what is left is the tightest.)
      const auto beyond =
          std::find_if(it, candidates.end(), [tasks](const Candidate& each) { return each.slots < tasks; });
      it = std::prev(beyond);
    }
    const int taken = std::min(tasks, it->slots);
    out.shares.push_back({it->machine, taken});
    tasks -= taken;
  }
  return out;
}

// At most so many in a zone: early starts first.
std::vector<GangShare> choose_scattered(const GangNeeds& needs, std::vector<Candidate> candidates) {
  std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.fetch_s != b.fetch_s ? a.fetch_s < b.fetch_s : a.slots > b.slots;
  });
  std::map<int, int> in_zone = needs.placed_by_zone;
  std::vector<GangShare> out;
  int left = needs.tasks;
  for (const Candidate& each : candidates) {
    const int taken = std::min({left, each.slots, needs.max_tasks_per_zone - in_zone[each.zone]});
    if (taken <= 0) continue;
    in_zone[each.zone] += taken;
    left -= taken;
    out.push_back({each.machine, taken});
  }
  if (left > 0) out.clear();
  return out;
}

}  // namespace

int slots(const Resources& room, const Resources& demand) {
  constexpr double kSlop = 1e-6;
  double least = std::numeric_limits<int>::max();
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > 0) least = std::min(least, std::floor((room[r] + kSlop) / demand[r]));
  }
  return static_cast<int>(std::max(0.0, least));
}

std::vector<GangShare> find_gang_places(const GangNeeds& needs, const std::vector<GangMachine>& machines) {
  if (needs.together && needs.max_tasks_per_zone > 0 && needs.tasks > needs.max_tasks_per_zone) return {};
  std::map<int, std::vector<Candidate>> by_zone;
  for (std::size_t i = 0; i < machines.size(); i++) {
    const int here = slots(machines[i].room, needs.demand);
    const int zone = needs.together || needs.max_tasks_per_zone > 0 ? machines[i].zone : 0;
    if (here > 0) by_zone[zone].push_back({i, here, machines[i].fetch_s, machines[i].zone});
  }
  if (!needs.together && needs.max_tasks_per_zone > 0) {
    std::vector<Candidate> all;
    for (const auto& [zone, candidates] : by_zone)
      all.insert(all.end(), candidates.begin(), candidates.end());
    return choose_scattered(needs, std::move(all));
  }
  std::optional<Choice> best;
  for (const auto& [zone, candidates] : by_zone) {
    auto choice = choose_places(candidates, needs.tasks);
    if (choice && (!best || choice->better_than(*best))) best = std::move(choice);
  }
  return best ? best->shares : std::vector<GangShare>();
}

}  // namespace mothslip
