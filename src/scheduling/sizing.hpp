// Fleet sizing: computes how many machines of each type to rent. A pure function of the waiting tasks, the
// present machines and the prices. Times are in seconds from now, memory is in GB, prices are in dollars per
// hour.
#pragma once

#include <string>
#include <vector>

#include "scheduling/preference.hpp"

namespace mothslip {

// A machine type that the cloud offers.
struct FleetType {
  Resources capacity{};
  double hourly_price = 0;  // price of an ordinary machine
  double spot_price = 0;    // price of a spot machine
  double boot_s = 30;
  double fetch_gb_per_s = 1;
  std::vector<int> zones;
};

// A combination of type, zone and price model from which machines can be rented.
struct FleetMarket {
  int type = 0;
  int zone = 0;
  bool spot = false;
  bool refused = false;     // the cloud has refused a rental from this market recently
  int rented_machines = 0;  // machines that are already rented from this market
};

// Room that becomes free on a machine. An available_in_s of 0 means that the room is free now.
struct FleetRoom {
  double available_in_s = 0;
  Resources room{};
  bool is_preemptible = false;  // held by best-effort work, which other work may preempt
};

// A machine that is running, booting or requested from the cloud.
struct FleetMachine {
  int type = 0;  // index into the machine types
  int zone = 0;  // index of the zone
  bool spot = false;
  bool usable = true;  // false: draining, faulty or not reporting
  // Ascending by time. A booting machine has one room: its whole capacity, at the expected end of the boot.
  std::vector<FleetRoom> rooms;
};

// The waiting tasks of one job, or headroom.
struct FleetDemand {
  Resources demand{};  // demand of one task
  int count = 0;
  int rank = 0;  // urgency of the job; 0: best-effort; negative: headroom, for which no task waits
  double estimated_s = 30;
  double image_gb = 0;
  double time_left_s = 1e9;     // time until the deadline; 1e9: no deadline
  double start_within_s = 1e9;  // time within which the tasks should start; 1e9: no target
  bool spot_allowed = true;
  bool spot_only = false;           // the tasks do not justify renting an ordinary machine
  std::vector<char> allowed_types;  // by index of the type, nonzero: allowed; empty: all are allowed
  int zone = -1;                    // the only allowed zone; -1: any zone
};

// The result of plan_fleet.
struct FleetPlan {
  // Machines to rent from one market.
  struct NewMachines {
    int type = 0;
    int zone = 0;
    bool spot = false;
    int count = 0;
  };
  std::vector<NewMachines> new_machines;  // sorted by type, zone and spot
  std::vector<int> planned_tasks;         // tasks that the plan assigns to each machine given
};

// Limits on one plan.
struct FleetLimits {
  int max_machines = 5000;         // limit on the size of the whole fleet
  int max_new_machines = 150;      // limit on the machines that one plan rents
  int max_tasks_per_demand = 300;  // further tasks of a demand are ignored
};

// Assigns each waiting task, most urgent first, to the machine on which it could start earliest. If that
// start is too late for the deadline or the start target, and a new machine would start the task in time or
// much sooner, adds a machine of the cheapest market to the plan.
FleetPlan plan_fleet(const std::vector<FleetType>& types, std::vector<FleetMarket> markets,
                     std::vector<FleetMachine> machines, std::vector<FleetDemand> demands,
                     const FleetLimits& limits);

}  // namespace mothslip
