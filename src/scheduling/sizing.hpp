// How many machines of which kind: a pure function from what waits, what is up and what it costs.
#pragma once

#include <string>
#include <vector>

#include "scheduling/preference.hpp"

namespace mothslip {

struct FleetType {
  Resources capacity{};
  double hourly = 0;
  double spot_price = 0;
  double boot_s = 30;
  double pull_gb_per_s = 1;
  std::vector<int> halls;
};

// A place from which machines can be rented, and whether it refused lately.
struct FleetMarket {
  int type = 0;
  int hall = 0;
  bool spot = false;
  bool refused = false;
  int rented = 0;  // machines of ours from here
};

struct FleetMachine {
  int type = 0;
  int hall = 0;
  bool spot = false;
  bool up = false;     // false: rented, not reporting yet
  Resources room{};    // what is free on it (booting: everything)
  bool usable = true;  // false: draining, sick or silent
};

// Waiting tasks of one job.
struct FleetDemand {
  Resources demand{};
  int count = 0;
  int rank = 0;
  double guess_s = 30;
  double pull_gb = 0;
  double time_left_s = 1e9;  // until the deadline; huge: none
  bool prompt = false;       // tasks are wanted at once, not only done by a deadline
  bool spot_allowed = true;
  bool spot_only = false;   // not worth an ordinary machine
  std::vector<char> types;  // allowed types, by index
  int hall = -1;            // the only hall, or -1
};

struct FleetPlan {
  struct Rent {
    int type = 0;
    int hall = 0;
    bool spot = false;
    int count = 0;
  };
  std::vector<Rent> rents;
  double unmet_cores = 0;         // demand for which no market is left
  std::vector<int> needed_rooms;  // per machine: tasks of the demand put there in thought
};

struct FleetLimits {
  int most_machines = 200;
  int most_at_once = 40;
};

FleetPlan plan_fleet(const std::vector<FleetType>& types, std::vector<FleetMarket> markets,
                     std::vector<FleetMachine> machines, std::vector<FleetDemand> demands,
                     const FleetLimits& limits);

// How many tasks of a job have to run side by side for it to be done in time.
int slots_wanted(const FleetDemand& demand, double start_delay_s);

}  // namespace mothslip
