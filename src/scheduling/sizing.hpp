// Fleet sizing: how many machines of which type are to be rented. A pure function of what waits, what is up
// and what it costs. Times are seconds from now, memory is in GB, prices are dollars an hour.
#pragma once

#include <string>
#include <vector>

#include "scheduling/preference.hpp"

namespace mothslip {

// A machine type.
struct FleetType {
  Resources capacity{};
  double hourly_price = 0;
  double spot_price = 0;
  double boot_s = 30;
  double fetch_gb_per_s = 1;
  std::vector<int> zones;
};

// A place from which machines can be rented, and whether it refused lately.
struct FleetMarket {
  int type = 0;
  int zone = 0;
  bool spot = false;
  bool refused = false;
  int rented_machines = 0;  // machines from here
};

// Room that becomes free at some time from now (0: is free).
struct FleetRoom {
  double available_in_s = 0;
  Resources room{};
  bool is_preemptible = false;  // held by best-effort work, which is stopped for other work
};

// A machine that is up, booting or being asked for.
struct FleetMachine {
  int type = 0;  // index
  int zone = 0;  // index
  bool spot = false;
  bool usable = true;            // false: draining, faulty or silent
  std::vector<FleetRoom> rooms;  // booting: everything, at the expected time
};

// Waiting tasks of one job.
struct FleetDemand {
  Resources demand{};
  int count = 0;
  int rank = 0;  // its urgency; 0: best-effort, negative: headroom, nothing waits
  double estimated_s = 30;
  double image_gb = 0;
  double time_left_s = 1e9;     // until the deadline; huge: none
  double start_within_s = 1e9;  // tasks are wanted to start within this time; huge: does not matter
  bool spot_allowed = true;
  bool spot_only = false;           // not worth an ordinary machine
  std::vector<char> allowed_types;  // allowed types, by index; empty: all
  int zone = -1;                    // the only zone, or -1
};

struct FleetPlan {
  // So many machines of one market.
  struct NewMachines {
    int type = 0;
    int zone = 0;
    bool spot = false;
    int count = 0;
  };
  std::vector<NewMachines> new_machines;  // by type, zone and spot
  std::vector<int> planned_tasks;         // per machine: tasks of the demand put there in thought
};

// Bounds of one plan.
struct FleetLimits {
  int max_machines = 5000;         // of the fleet
  int max_new_machines = 150;      // machines rented
  int max_tasks_per_demand = 300;  // of one demand that are considered
};

// Puts the waiting tasks, most urgent first, where they could start earliest on what there is; where that is
// too late for their deadline or their wait, and a new machine would start them in time, rents the cheapest.
FleetPlan plan_fleet(const std::vector<FleetType>& types, std::vector<FleetMarket> markets,
                     std::vector<FleetMachine> machines, std::vector<FleetDemand> demands,
                     const FleetLimits& limits);

}  // namespace mothslip
