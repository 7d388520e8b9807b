#include "scheduling/sizing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <queue>
#include <tuple>

namespace mothslip {

namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kGuessSlack = 1.5;  // estimates are wrong by half: plan for tasks that take a little longer
constexpr double kBootSlack = 1.1;
constexpr double kPreemption = 5.0;  // until a task that is stopped for another has saved and is gone
// Of the time that a deadline leaves: what comes after, and goes first, is not known yet.
constexpr double kSlackShare = 0.5;
constexpr double kWorthWaiting = 1.3;  // a new machine must start the task this much sooner

bool allowed(const FleetDemand& demand, int type, int zone, bool spot) {
  if (spot ? !demand.spot_allowed : demand.spot_only) return false;
  if (!demand.types.empty() && demand.types[static_cast<std::size_t>(type)] == 0) return false;
  return demand.zone < 0 || demand.zone == zone;
}

double dominant(const Resources& demand, const Resources& capacity) {
  double share = 0;
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > 0) share = std::max(share, demand[r] / std::max(capacity[r], 1e-9));
  }
  return share;
}

// Best-effort work gives way, and is not counted on to make others give way.
bool preempts(const FleetDemand& demand) { return demand.rank > 0; }

// When the demand can use the room.
double usable_at(const FleetRoom& room, const FleetDemand& demand) {
  return room.yields && preempts(demand) ? std::min(room.at_s, kPreemption) : room.at_s;
}

// The earliest time at which the machine has this much free.
double earliest(const FleetMachine& machine, const FleetDemand& demand) {
  // Rooms are kept in order of time, but for those that yield.
  Resources early{};
  bool yields = false;
  for (const FleetRoom& room : machine.rooms) {
    if (!room.yields || !preempts(demand)) continue;
    yields = true;
    for (std::size_t r = 0; r < early.size(); r++) early[r] += room.room[r];
  }
  Resources sum{};
  for (const FleetRoom& room : machine.rooms) {
    if (yields && room.at_s > kPreemption) {
      for (std::size_t r = 0; r < sum.size(); r++) sum[r] += early[r];
      yields = false;
      if (fits(demand.demand, sum)) return kPreemption;
    }
    if (room.yields && preempts(demand)) continue;
    for (std::size_t r = 0; r < sum.size(); r++) sum[r] += room.room[r];
    if (fits(demand.demand, sum)) return room.at_s;
  }
  if (!yields) return kNever;
  for (std::size_t r = 0; r < sum.size(); r++) sum[r] += early[r];
  if (fits(demand.demand, sum)) return kPreemption;
  return kNever;
}

// Takes the demand out of the rooms free by `at`, the latest first: what is free earlier stays for others.
void take(FleetMachine& machine, const FleetDemand& wanted, double at, double until) {
  Resources demand = wanted.demand;
  FleetRoom back{until, demand, wanted.rank == 0};
  for (auto it = machine.rooms.rbegin(); it != machine.rooms.rend(); ++it) {
    if (usable_at(*it, wanted) > at) continue;
    for (std::size_t r = 0; r < demand.size(); r++) {
      const double taken = std::min(demand[r], it->room[r]);
      it->room[r] -= taken;
      demand[r] -= taken;
    }
  }
  const auto place = std::upper_bound(machine.rooms.begin(), machine.rooms.end(), back,
                                      [](const FleetRoom& a, const FleetRoom& b) { return a.at_s < b.at_s; });
  machine.rooms.insert(place, back);
}

// Where the tasks of one demand could start, the earliest first; among equals the machine that a task fills
// most, so that large ones stay free. Only the machine that took a task is looked at again.
class Starts {
 public:
  Starts(const std::vector<FleetType>& types, const std::vector<FleetMachine>& machines,
         const FleetDemand& demand)
      : types_(types), machines_(machines), demand_(demand) {
    for (std::size_t m = 0; m < machines.size(); m++) look(static_cast<int>(m));
  }
  struct Start {
    double at = kNever;
    double share = 0;
    int machine = -1;
    bool operator<(const Start& other) const {  // a later start is less
      if (at != other.at) return at > other.at;
      if (share != other.share) return share < other.share;
      return machine > other.machine;
    }
  };
  [[nodiscard]] Start best() const { return heap_.empty() ? Start{} : heap_.top(); }
  // The machine of the best start took a task.
  void took() {
    const int machine = heap_.top().machine;
    heap_.pop();
    look(machine);
  }
  void look(int machine) {
    const FleetMachine& each = machines_[static_cast<std::size_t>(machine)];
    if (!each.usable || !allowed(demand_, each.type, each.zone, each.spot)) return;
    const double at = earliest(each, demand_);
    if (at == kNever) return;
    heap_.push({at, dominant(demand_.demand, types_[static_cast<std::size_t>(each.type)].capacity), machine});
  }

 private:
  const std::vector<FleetType>& types_;
  const std::vector<FleetMachine>& machines_;
  const FleetDemand& demand_;
  std::priority_queue<Start> heap_;
};

// The market with the least price for what the tasks would use of it; where we have few machines first, so
// that they spread over zones.
int best_market(const std::vector<FleetType>& types, const std::vector<FleetMarket>& markets,
                const FleetDemand& demand, int left) {
  int best = -1;
  double best_price = kNever;
  for (std::size_t i = 0; i < markets.size(); i++) {
    const FleetMarket& market = markets[i];
    if (market.refused) continue;
    if (!allowed(demand, market.type, market.zone, market.spot)) continue;
    const FleetType& type = types[static_cast<std::size_t>(market.type)];
    if (!fits(demand.demand, type.capacity)) continue;
    const double share = std::max(dominant(demand.demand, type.capacity), 1e-6);
    const double used = std::min(std::floor(1 / share + 1e-6), static_cast<double>(left));
    // Room that this job leaves free is worth half: others may use it.
    const double worth = used + 0.5 * (1 / share - used);
    const double price = (market.spot ? type.spot_price : type.hourly) / worth * (1 + 0.01 * market.rented);
    if (price < best_price) {
      best_price = price;
      best = static_cast<int>(i);
    }
  }
  return best;
}

}  // namespace

FleetPlan plan_fleet(const std::vector<FleetType>& types, std::vector<FleetMarket> markets,
                     std::vector<FleetMachine> machines, std::vector<FleetDemand> demands,
                     const FleetLimits& limits) {
  FleetPlan plan;
  plan.needed_rooms.assign(machines.size(), 0);
  std::stable_sort(demands.begin(), demands.end(), [](const FleetDemand& a, const FleetDemand& b) {
    if (a.rank != b.rank) return a.rank > b.rank;
    return a.time_left_s < b.time_left_s;
  });
  std::map<std::tuple<int, int, bool>, int> rents;
  const std::size_t known = machines.size();
  int at_once = 0;
  for (const FleetDemand& demand : demands) {
    const double run = kGuessSlack * std::max(1.0, demand.estimated_s);
    Starts starts(types, machines, demand);
    for (int left = std::min(demand.count, limits.most_tasks); left > 0; left--) {
      const Starts::Start here = starts.best();
      const double latest = std::min(demand.start_within_s, kSlackShare * (demand.time_left_s - run));
      if (here.at > latest && static_cast<int>(machines.size()) < limits.most_machines &&
          at_once < limits.most_at_once) {
        const int at = best_market(types, markets, demand, left);
        if (at >= 0) {
          FleetMarket& market = markets[static_cast<std::size_t>(at)];
          const FleetType& type = types[static_cast<std::size_t>(market.type)];
          const double ready =
              kBootSlack * type.boot_s + demand.image_gb / std::max(0.01, type.fetch_gb_per_s);
          // Worth it when it comes in time, or when waiting here takes much longer than a new machine does.
          const bool in_time = ready <= demand.time_left_s - run && ready < here.at;
          if (in_time || kWorthWaiting * ready < here.at) {
            market.rented++;
            rents[{market.type, market.zone, market.spot}]++;
            FleetMachine fresh;
            fresh.type = market.type;
            fresh.zone = market.zone;
            fresh.spot = market.spot;
            fresh.rooms.push_back({ready, type.capacity});
            take(fresh, demand, ready, ready + run);
            machines.push_back(std::move(fresh));
            starts.look(static_cast<int>(machines.size()) - 1);
            at_once++;
            continue;
          }
        }
      }
      if (here.machine < 0) break;
      take(machines[static_cast<std::size_t>(here.machine)], demand, here.at, here.at + run);
      starts.took();
      if (static_cast<std::size_t>(here.machine) < known)
        plan.needed_rooms[static_cast<std::size_t>(here.machine)]++;
    }
  }
  for (const auto& [where, count] : rents) {
    plan.rents.push_back({std::get<0>(where), std::get<1>(where), std::get<2>(where), count});
  }
  return plan;
}

}  // namespace mothslip
