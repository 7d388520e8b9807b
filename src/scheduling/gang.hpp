// Finds machines on which all tasks of a gang can start at the same time. All functions are pure.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "scheduling/preference.hpp"

namespace mothslip {

// A machine that is allowed to run tasks of the gang.
struct GangMachine {
  Resources room{};
  int zone = 0;
  double fetch_s = 0;  // time until the machine has the image; 0: the image is cached
};

// The tasks of a gang that must be placed in one step.
struct GangNeeds {
  Resources demand{};  // demand of one task
  int tasks = 0;
  bool together = false;              // all tasks must run in one zone
  int max_tasks_per_zone = 0;         // limit on the gang's tasks in each zone; 0: no limit
  std::map<int, int> placed_by_zone;  // tasks of the gang that are already placed
};

// The tasks that are assigned to one machine.
struct GangShare {
  std::size_t machine = 0;  // index into the machines passed to find_gang_places
  int tasks = 0;
};

// Returns how many tasks with this demand fit the room.
int slots(const Resources& room, const Resources& demand);

// Returns machines for all tasks, or an empty list if not all of them can be placed. A gang starts when the
// last of its machines has the image, and runs at the speed of its slowest machine. Therefore the earliest
// start is preferred, then the fewest machines, then the machines that are left with the least room.
std::vector<GangShare> find_gang_places(const GangNeeds& needs, const std::vector<GangMachine>& machines);

}  // namespace mothslip
