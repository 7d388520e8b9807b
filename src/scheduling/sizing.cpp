#include "scheduling/sizing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

namespace mothslip {

int slots_wanted(const FleetDemand& demand, double start_delay_s) {
  if (demand.prompt) return demand.count;
  const double each = std::max(1.0, demand.guess_s);
  // Estimates are wrong by half: plan as if tasks took longer than said.
  const double room = (demand.time_left_s - start_delay_s) / (1.3 * each);
  const int waves = static_cast<int>(std::floor(std::clamp(room, 1.0, 1000.0)));
  return (demand.count + waves - 1) / waves;
}

namespace {

bool allowed(const FleetDemand& demand, int type, int hall, bool spot) {
  if (spot && !demand.spot_allowed) return false;
  if (!demand.types.empty() && demand.types[static_cast<std::size_t>(type)] == 0) return false;
  return demand.hall < 0 || demand.hall == hall;
}

double dominant(const Resources& demand, const Resources& capacity) {
  double share = 0;
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > 0) share = std::max(share, demand[r] / std::max(capacity[r], 1e-9));
  }
  return share;
}

int put(Resources& room, const Resources& demand, int count) {
  int placed = 0;
  while (placed < count && fits(demand, room)) {
    for (std::size_t r = 0; r < room.size(); r++) room[r] -= demand[r];
    placed++;
  }
  return placed;
}

}  // namespace

FleetPlan plan_fleet(const std::vector<FleetType>& types, std::vector<FleetMarket> markets,
                     std::vector<FleetMachine> machines, std::vector<FleetDemand> demands,
                     const FleetLimits& limits) {
  FleetPlan plan;
  plan.needed_rooms.assign(machines.size(), 0);
  // Big tasks first within a rank: they have the fewest places to go.
  std::sort(demands.begin(), demands.end(), [](const FleetDemand& a, const FleetDemand& b) {
    if (a.rank != b.rank) return a.rank > b.rank;
    return a.demand > b.demand;
  });
  std::map<std::tuple<int, int, bool>, int> rents;
  int machine_count = static_cast<int>(machines.size());
  int at_once = 0;
  const std::size_t known = machines.size();
  for (const FleetDemand& demand : demands) {
    double boot = 60;
    for (const FleetType& type : types) boot = std::min(boot, type.boot_s);
    int left = slots_wanted(demand, boot);
    for (std::size_t m = 0; m < machines.size() && left > 0; m++) {
      FleetMachine& machine = machines[m];
      if (!machine.usable || !allowed(demand, machine.type, machine.hall, machine.spot)) continue;
      const int placed = put(machine.room, demand.demand, left);
      left -= placed;
      if (m < known) plan.needed_rooms[m] += placed;
    }
    while (left > 0 && machine_count < limits.most_machines && at_once < limits.most_at_once) {
      // The market with the least price for what the tasks would use of it; fewer of ours first, so that
      // machines spread over zones.
      int best = -1;
      double best_price = std::numeric_limits<double>::infinity();
      for (std::size_t i = 0; i < markets.size(); i++) {
        const FleetMarket& market = markets[i];
        if (demand.spot_only && !market.spot) continue;
        if (market.refused || !allowed(demand, market.type, market.hall, market.spot)) continue;
        const FleetType& type = types[static_cast<std::size_t>(market.type)];
        if (!fits(demand.demand, type.capacity)) continue;
        const double share = dominant(demand.demand, type.capacity);
        const double per_machine = std::floor(1 / std::max(share, 1e-6) + 1e-6);
        const double used = std::min(per_machine, static_cast<double>(left));
        // Room that this job leaves free is worth half: others may use it.
        const double worth = used + 0.5 * (1 / std::max(share, 1e-6) - used);
        const double price =
            (market.spot ? type.spot_price : type.hourly) / worth * (1 + 0.01 * market.rented);
        if (price < best_price) {
          best_price = price;
          best = static_cast<int>(i);
        }
      }
      if (best < 0) break;
      FleetMarket& market = markets[static_cast<std::size_t>(best)];
      market.rented++;
      rents[{market.type, market.hall, market.spot}]++;
      FleetMachine fresh;
      fresh.type = market.type;
      fresh.hall = market.hall;
      fresh.spot = market.spot;
      fresh.room = types[static_cast<std::size_t>(market.type)].capacity;
      left -= put(fresh.room, demand.demand, left);
      machines.push_back(fresh);
      machine_count++;
      at_once++;
    }
    plan.unmet_cores += left * demand.demand[0];
  }
  for (const auto& [where, count] : rents) {
    plan.rents.push_back({std::get<0>(where), std::get<1>(where), std::get<2>(where), count});
  }
  return plan;
}

}  // namespace mothslip
