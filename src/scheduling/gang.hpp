// Where the tasks of a gang can start all at once: a pure function.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "scheduling/preference.hpp"

namespace mothslip {

// A machine that may take tasks of the gang.
struct GangMachine {
  Resources room{};
  int zone = 0;
  double fetch_s = 0;  // seconds until it has the image; 0: it has it
};

// The tasks of a gang that are to be placed together.
struct GangNeeds {
  Resources demand{};  // of a task
  int tasks = 0;
  bool together = false;              // all in one zone
  int max_tasks_per_zone = 0;         // at most so many of the gang in a zone; 0: any number
  std::map<int, int> placed_by_zone;  // tasks of the gang that are placed already
};

// The tasks that one machine gets.
struct GangShare {
  std::size_t machine = 0;  // index into the machines that were given
  int tasks = 0;
};

// How many tasks of this size the room holds.
int slots(const Resources& room, const Resources& demand);

// Places for all tasks, or none. A gang starts when its last image is there and runs at the speed of its
// slowest machine: places that start early come first, then few machines, then those that are left with
// least.
std::vector<GangShare> find_gang_places(const GangNeeds& needs, const std::vector<GangMachine>& machines);

}  // namespace mothslip
