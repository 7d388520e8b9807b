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
constexpr double kRunTimeSafetyFactor = 1.5;   // multiplies estimated run times, which are off by half
constexpr double kBootTimeSafetyFactor = 1.1;  // multiplies the type's boot_s
constexpr double kMinFetchGbPerSecond = 0.01;  // lower bound that avoids division by zero
// Time until a preempted task has written its checkpoint and ended.
constexpr double kPreemptionSeconds = 5.0;
// Fraction of a deadline's slack that may be spent waiting. The rest is reserved, because later arrivals that
// are scheduled first are not known yet.
constexpr double kUsableSlackFraction = 0.5;
// Value of a slot that the demand leaves unused, as a fraction of a used slot.
constexpr double kUnusedSlotValueFraction = 0.5;
// Increase of a market's price for each machine that is already rented from it.
constexpr double kSpreadPenaltyFraction = 0.01;
// A new machine that is not ready in time for the deadline is rented only if waiting for the present machines
// takes more than this many times as long.
constexpr double kMinStartSpeedupFactor = 1.3;

bool is_allowed(const FleetDemand& demand, int type, int zone, bool spot) {
  if (spot ? !demand.spot_allowed : demand.spot_only) return false;
  if (!demand.allowed_types.empty() && demand.allowed_types[static_cast<std::size_t>(type)] == 0)
    return false;
  return demand.zone < 0 || demand.zone == zone;
}

// Returns the largest share of the capacity that the demand takes of any resource.
double dominant_share(const Resources& demand, const Resources& capacity) {
  double share = 0;
  for (std::size_t r = 0; r < demand.size(); r++) {
    if (demand[r] > 0) share = std::max(share, demand[r] / std::max(capacity[r], 1e-9));
  }
  return share;
}

// Best-effort work and headroom do not preempt other tasks.
bool can_preempt(const FleetDemand& demand) { return demand.rank > 0; }

// Returns the time, in seconds from now, at which the demand can use the room.
double usable_in_s(const FleetRoom& room, const FleetDemand& demand) {
  return room.is_preemptible && can_preempt(demand) ? std::min(room.available_in_s, kPreemptionSeconds)
                                                    : room.available_in_s;
}

void add(Resources& sum, const Resources& amount) {
  for (std::size_t r = 0; r < sum.size(); r++) sum[r] += amount[r];
}

// Returns the sum of all rooms that the demand can preempt; nullopt: there are none.
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

// Returns the earliest time, in seconds from now, at which the machine has room for one task of the demand;
// infinity: never.
double earliest_start_s(const FleetMachine& machine, const FleetDemand& demand) {
  // Rooms are sorted by time. Preemptible rooms are the exception: all of them count as available
  // after kPreemptionSeconds.
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

// Subtracts one task's demand from the rooms that are usable by `start_s`, latest first, so that room that is
// free earlier remains for other tasks. The room becomes free again at `end_s`.
void allocate(FleetMachine& machine, const FleetDemand& demand, double start_s, double end_s) {
  Resources remaining = demand.demand;
  FleetRoom released{end_s, remaining, demand.rank == 0};
  for (auto it = machine.rooms.rbegin(); it != machine.rooms.rend(); ++it) {
    if (usable_in_s(*it, demand) > start_s) continue;
    for (std::size_t r = 0; r < remaining.size(); r++) {
      const double used_amount = std::min(remaining[r], it->room[r]);
      it->room[r] -= used_amount;
      remaining[r] -= used_amount;
    }
  }
  const auto position = std::upper_bound(
      machine.rooms.begin(), machine.rooms.end(), released,
      [](const FleetRoom& a, const FleetRoom& b) { return a.available_in_s < b.available_in_s; });
  machine.rooms.insert(position, released);
}

// Orders the machines by the time at which a task of one demand could start there, earliest first. Among
// equals the machine with the largest share taken by a task comes first, so that large machines stay free.
// After a placement only the machine that received the task is evaluated again.
class StartQueue {
 public:
  StartQueue(const std::vector<FleetType>& types, const std::vector<FleetMachine>& machines,
             const FleetDemand& demand)
      : types_(types), machines_(machines), demand_(demand) {
    for (std::size_t m = 0; m < machines.size(); m++) add_machine(static_cast<int>(m));
  }
  struct Start {
    double start_s = kInfinity;                 // seconds from now
    double share = 0;                           // dominant share of the machine that a task takes
    int machine = -1;                           // index into the machines
    bool operator<(const Start& other) const {  // the heap's top is the greatest, so a later start is less
      if (start_s != other.start_s) return start_s > other.start_s;
      if (share != other.share) return share < other.share;
      return machine > other.machine;
    }
  };
  [[nodiscard]] Start best() const { return heap_.empty() ? Start{} : heap_.top(); }
  // Evaluates the machine of the best start again, after a task was placed on it.
  void on_task_placed() {
    const int machine = heap_.top().machine;
    heap_.pop();
    add_machine(machine);
  }
  // Adds the machine to the queue if the demand may run there and fits at some time.
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

// Returns the index of the market with the lowest price per slot for the `tasks_left` tasks, or -1. Each
// machine already rented from a market raises its price slightly, so that the machines spread over zones.
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
    // Slots that this job leaves unused count half, because other jobs may use them.
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

// A machine that could be rented for a demand.
struct RentOption {
  std::size_t market = 0;  // index into the markets
  double ready_s = 0;      // time until the machine has booted and fetched the image
};

// The state of one plan_fleet call: it assigns tasks to machines in the plan only, and adds rented machines.
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
  // Returns false if the task fits no present machine and no new one is rented. The other tasks of the demand
  // cannot be placed either then.
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

  // Returns a machine of the best market if it is worth renting: if it is ready in time for the deadline and
  // sooner than the present machines, or if the task would start much later on the present machines.
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

  // Adds a new machine to the plan and assigns the task to it.
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
  std::vector<FleetMachine> machines_;  // the machines given, followed by the rented ones
  const FleetLimits& limits_;
  std::vector<int> planned_tasks_;                          // by index of the machines given
  std::map<std::tuple<int, int, bool>, int> new_machines_;  // machine count by type, zone and spot
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
