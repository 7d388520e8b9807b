#include "scheduling/sizing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace mothslip {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kRunTimeSafetyFactor = 1.5;   // times the estimate: estimates are wrong by half
constexpr double kBootTimeSafetyFactor = 1.1;  // times boot_s
constexpr double kMinFetchGbPerSecond = 0.01;  // GB a second
constexpr double kPreemptionSeconds =
    5.0;  // seconds until a preempted task has made its checkpoint and ended
// Of the time that a deadline leaves: what comes after, and goes first, is not known yet.
constexpr double kUsableSlackFraction = 0.5;
constexpr double kUnusedSlotValueFraction = 0.5;  // of a machine, for room that the demand does not use
constexpr double kSpreadPenaltyFraction = 0.01;   // added to the price for each machine that the market has
constexpr double kMinStartSpeedupFactor = 1.3;    // times sooner that a new machine must start the task

bool is_allowed(const FleetDemand& demand, int type, int zone, bool spot) {
  if (spot ? !demand.spot_allowed : demand.spot_only) return false;
  if (!demand.allowed_types.empty() && demand.allowed_types[static_cast<std::size_t>(type)] == 0)
    return false;
  return demand.zone < 0 || demand.zone == zone;
}

// The largest share of the capacity that the demand takes of any resource.
double dominant_share(const Resources& demand, const Resources& capacity) {
  double share = 0;
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > 0) share = std::max(share, demand[r] / std::max(capacity[r], 1e-9));
  }
  return share;
}

// Best-effort work gives way, and is not counted on to make others give way.
bool can_preempt(const FleetDemand& demand) { return demand.rank > 0; }

// When the demand can use the room.
double usable_in_s(const FleetRoom& room, const FleetDemand& demand) {
  return room.is_preemptible && can_preempt(demand) ? std::min(room.available_in_s, kPreemptionSeconds)
                                                    : room.available_in_s;
}

void add(Resources& sum, const Resources& amount) {
  for (std::size_t r = 0; r < sum.size(); r++) sum[r] += amount[r];
}

// What the demand gets by preempting: all rooms that yield to it. nullopt: there are none.
std::optional<Resources> preemptible_room(const FleetMachine& machine, const FleetDemand& demand) {
  if (!can_preempt(demand)) return std::nullopt;
  std::optional<Resources> out;
  for (const FleetRoom& room : machine.rooms) {
    if (!room.is_preemptible) continue;
    if (!out) out = Resources{};
    add(*out, room.room);
  }
  return out;
}

// The earliest time at which the machine has this much free, in seconds from now.
double earliest_start_s(const FleetMachine& machine, const FleetDemand& demand) {
  // Rooms are kept in order of time, but for those that yield: these come in at the time of preemption.
  std::optional<Resources> preemptible = preemptible_room(machine, demand);
  Resources sum{};
  for (const FleetRoom& room : machine.rooms) {
    if (preemptible && room.available_in_s > kPreemptionSeconds) {
      add(sum, *preemptible);
      preemptible.reset();
      if (fits(demand.demand, sum)) return kPreemptionSeconds;
    }
    if (room.is_preemptible && can_preempt(demand)) continue;
    add(sum, room.room);
    if (fits(demand.demand, sum)) return room.available_in_s;
  }
  if (!preemptible) return kInfinity;
  add(sum, *preemptible);
  if (fits(demand.demand, sum)) return kPreemptionSeconds;
  return kInfinity;
}

// Takes the demand out of the rooms free by `at`, the latest first: what is free earlier stays for others. It
// comes back at `until`.
void allocate(FleetMachine& machine, const FleetDemand& demand, double start_s, double end_s) {
  Resources remaining = demand.demand;
  FleetRoom released{end_s, remaining, demand.rank == 0};
  for (auto it = machine.rooms.rbegin(); it != machine.rooms.rend(); ++it) {
    if (usable_in_s(*it, demand) > start_s) continue;
    for (std::size_t r = 0; r < remaining.size(); r++) {
      const double taken = std::min(remaining[r], it->room[r]);
      it->room[r] -= taken;
      remaining[r] -= taken;
    }
  }
  const auto position = std::upper_bound(
      machine.rooms.begin(), machine.rooms.end(), released,
      [](const FleetRoom& a, const FleetRoom& b) { return a.available_in_s < b.available_in_s; });
  machine.rooms.insert(position, released);
}

// Where the tasks of one demand could start, the earliest first; among equals the machine that a task fills
// most, so that large ones stay free. Only the machine that took a task is
// considered again.
class StartQueue {
 public:
  StartQueue(const std::vector<FleetType>& types, const std::vector<FleetMachine>& machines,
             const FleetDemand& demand)
      : types_(types), machines_(machines), demand_(demand) {
    for (std::size_t m = 0; m < machines.size(); m++) add_machine(static_cast<int>(m));
  }
  struct Start {
    double start_s = kInfinity;                 // seconds from now
    double share = 0;                           // of the machine that a task takes
    int machine = -1;                           // index
    bool operator<(const Start& other) const {  // a later start is less
      if (start_s != other.start_s) return start_s > other.start_s;
      if (share != other.share) return share < other.share;
      return machine > other.machine;
    }
  };
  [[nodiscard]] Start best() const { return heap_.empty() ? Start{} : heap_.top(); }
  // A task was put on the machine of the best start.
  void on_task_placed() {
    const int machine = heap_.top().machine;
    heap_.pop();
    add_machine(machine);
  }
  // Puts the machine among the starts, if the demand may run there.
  void add_machine(int machine) {
    const FleetMachine& each = machines_[static_cast<std::size_t>(machine)];
    if (!each.usable || !is_allowed(demand_, each.type, each.zone, each.spot)) return;
    const double start_s = earliest_start_s(each, demand_);
    if (start_s == kInfinity) return;
    heap_.push({start_s, dominant_share(demand_.demand, types_[static_cast<std::size_t>(each.type)].capacity),
                machine});
  }

 private:
  const std::vector<FleetType>& types_;
  const std::vector<FleetMachine>& machines_;
  const FleetDemand& demand_;
  std::priority_queue<Start> heap_;
};

// The index of the market with the least price for what the `left` tasks would use of its machine, or -1;
// among equals where few machines are rented, so that they spread over zones.
int best_market(const std::vector<FleetType>& types, const std::vector<FleetMarket>& markets,
                const FleetDemand& demand, int tasks_left) {
  int best = -1;
  double best_price_per_slot = kInfinity;
  for (std::size_t i = 0; i < markets.size(); i++) {
    const FleetMarket& market = markets[i];
    if (market.refused) continue;
    if (!is_allowed(demand, market.type, market.zone, market.spot)) continue;
    const FleetType& type = types[static_cast<std::size_t>(market.type)];
    if (!fits(demand.demand, type.capacity)) continue;
    const double share = std::max(dominant_share(demand.demand, type.capacity), 1e-6);
    const double used_slots = std::min(std::floor(1 / share + 1e-6), static_cast<double>(tasks_left));
    // Room that this job leaves free is worth half: others may use it.
    const double valued_slots = used_slots + kUnusedSlotValueFraction * (1 / share - used_slots);
    const double hourly_price = market.spot ? type.spot_price : type.hourly_price;
    const double price_per_slot =
        hourly_price / valued_slots * (1 + kSpreadPenaltyFraction * market.rented_machines);
    if (price_per_slot < best_price_per_slot) {
      best_price_per_slot = price_per_slot;
      best = static_cast<int>(i);
    }
  }
  return best;
}

// What a machine that is rented for a demand would bring.
struct RentOption {
  std::size_t market = 0;  // index
  double ready_s = 0;      // until it is up and has the image
};

// One run of plan_fleet: tasks are put on machines in thought, and machines are added.
class Planner {
 public:
  Planner(const std::vector<FleetType>& types, std::vector<FleetMarket> markets,
          std::vector<FleetMachine> machines, const FleetLimits& limits)
      : types_(types),
        markets_(std::move(markets)),
        machines_(std::move(machines)),
        limits_(limits),
        planned_tasks_(machines_.size(), 0) {}

  void place(const FleetDemand& demand) {
    const double run_s = kRunTimeSafetyFactor * std::max(1.0, demand.estimated_s);
    StartQueue start_queue(types_, machines_, demand);
    for (int tasks_left = std::min(demand.count, limits_.max_tasks_per_demand); tasks_left > 0;
         tasks_left--) {
      if (!place_task(demand, tasks_left, run_s, start_queue)) break;
    }
  }

  [[nodiscard]] FleetPlan plan() const {
    FleetPlan out;
    out.planned_tasks = planned_tasks_;
    for (const auto& [market, count] : new_machines_) {
      const auto [type, zone, spot] = market;
      out.new_machines.push_back({type, zone, spot, count});
    }
    return out;
  }

 private:
  // False when the task fits nowhere: then the others of the demand don't either.
  bool place_task(const FleetDemand& demand, int tasks_left, double run_s, StartQueue& start_queue) {
    const StartQueue::Start best_start = start_queue.best();
    const double latest_start_s =
        std::min(demand.start_within_s, kUsableSlackFraction * (demand.time_left_s - run_s));
    if (best_start.start_s > latest_start_s && may_rent()) {
      const auto option = worthwhile_rental(demand, tasks_left, run_s, best_start.start_s);
      if (option) {
        rent(*option, demand, run_s, start_queue);
        return true;
      }
    }
    if (best_start.machine < 0) return false;
    const auto index = static_cast<std::size_t>(best_start.machine);
    allocate(machines_[index], demand, best_start.start_s, best_start.start_s + run_s);
    start_queue.on_task_placed();
    if (index < planned_tasks_.size()) planned_tasks_[index]++;
    return true;
  }

  [[nodiscard]] bool may_rent() const {
    return static_cast<int>(machines_.size()) < limits_.max_machines &&
           new_machine_count_ < limits_.max_new_machines;
  }

  // The best market's machine, if it is worth it: when it comes in time, or when waiting for the present
  // machines takes much longer than a new one does.
  [[nodiscard]] std::optional<RentOption> worthwhile_rental(const FleetDemand& demand, int tasks_left,
                                                            double run_s, double start_here_s) const {
    const int market = best_market(types_, markets_, demand, tasks_left);
    if (market < 0) return std::nullopt;
    const auto index = static_cast<std::size_t>(market);
    const FleetType& type = types_[static_cast<std::size_t>(markets_[index].type)];
    const double fetch_s = demand.image_gb / std::max(kMinFetchGbPerSecond, type.fetch_gb_per_s);
    const double ready_s = kBootTimeSafetyFactor * type.boot_s + fetch_s;
    const bool in_time = ready_s <= demand.time_left_s - run_s && ready_s < start_here_s;
    if (!in_time && kMinStartSpeedupFactor * ready_s >= start_here_s) return std::nullopt;
    return RentOption{index, ready_s};
  }

  // Adds the machine, with the task on it.
  void rent(const RentOption& option, const FleetDemand& demand, double run_s, StartQueue& start_queue) {
    FleetMarket& market = markets_[option.market];
    market.rented_machines++;
    new_machines_[{market.type, market.zone, market.spot}]++;
    FleetMachine new_machine;
    new_machine.type = market.type;
    new_machine.zone = market.zone;
    new_machine.spot = market.spot;
    new_machine.rooms.push_back({option.ready_s, types_[static_cast<std::size_t>(market.type)].capacity});
    allocate(new_machine, demand, option.ready_s, option.ready_s + run_s);
    machines_.push_back(std::move(new_machine));
    start_queue.add_machine(static_cast<int>(machines_.size()) - 1);
    new_machine_count_++;
  }

  const std::vector<FleetType>& types_;
  std::vector<FleetMarket> markets_;
  std::vector<FleetMachine> machines_;  // those given, then those rented
  const FleetLimits& limits_;
  std::vector<int> planned_tasks_;                          // by index of the machines given
  std::map<std::tuple<int, int, bool>, int> new_machines_;  // machines, by type, zone and spot
  int new_machine_count_ = 0;
};

}  // namespace

FleetPlan plan_fleet(const std::vector<FleetType>& types, std::vector<FleetMarket> markets,
                     std::vector<FleetMachine> machines, std::vector<FleetDemand> demands,
                     const FleetLimits& limits) {
  std::stable_sort(demands.begin(), demands.end(), [](const FleetDemand& a, const FleetDemand& b) {
    if (a.rank != b.rank) return a.rank > b.rank;
    return a.time_left_s < b.time_left_s;
  });
  Planner planner(types, std::move(markets), std::move(machines), limits);
  for (const FleetDemand& demand : demands) planner.place(demand);
  return planner.plan();
}

}  // namespace mothslip
