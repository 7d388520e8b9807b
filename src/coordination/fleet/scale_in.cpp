#include "coordination/fleet/scale_in.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mothslip {

namespace {
// A machine is cordoned only if this fraction of the recent use stays free on the other machines.
constexpr double kCordonReserveFraction = 0.2;
// Each step returns at most one idle machine, plus one per this many machines of the fleet.
constexpr std::size_t kMachinesPerIdleReturn = 30;
}  // namespace

ScaleIn::ScaleIn(const Settings& settings, const ShardReports& reports, const DemandEstimate& demand,
                 MachineInventory& inventory)
    : settings_(settings), reports_(reports), demand_(demand), inventory_(inventory) {}

void ScaleIn::update(const FleetView& view, const FleetPlan& plan) {
  reserve_ordinary(view);
  cordon_surplus(view);
  return_idle(view, plan);
}

// Reserves as many ordinary machines as the work needs that may run on ordinary machines only. Reserved
// machines start no tasks that another machine could run. Otherwise, other work would occupy all ordinary
// machines, which affects gangs in particular. Machines that are reserved already come first, then the
// largest ones.
void ScaleIn::reserve_ordinary(const FleetView& view) {
  double left = 0;
  if (demand_.has_ordinary_work()) left = demand_.ordinary_use().cores + demand_.ordinary_headroom_cores();
  std::vector<std::tuple<bool, double, std::string>> candidates;  // is not reserved yet, negative cores, name
  for (std::size_t m = 0; m < view.machine_names.size(); m++) {
    const FleetMachine& machine = view.machines[m];
    if (machine.spot || !machine.usable) continue;
    const double cores = view.types[static_cast<std::size_t>(machine.type)].capacity[0];
    candidates.emplace_back(!is_reserved(view.machine_names[m]), -cores, view.machine_names[m]);
  }
  std::sort(candidates.begin(), candidates.end());
  reserved_.clear();
  for (const auto& [is_unreserved, negative_cores, name] : candidates) {
    if (left <= 0) break;
    reserved_.insert(name);
    left += negative_cores;
  }
}

// Cordons ordinary machines, because one that keeps receiving tasks never becomes idle. A machine is cordoned
// while the other machines have room for all waiting tasks and a reserve. When more tasks wait, it receives
// tasks again.
void ScaleIn::cordon_surplus(const FleetView& view) {
  cordoned_ = reserved_;
  const double waiting = demand_.waiting_cores();
  std::vector<std::pair<double, std::size_t>> ordinary;  // negative price and index: the most expensive first
  double free = 0;
  for (std::size_t m = 0; m < view.machine_names.size(); m++) {
    const FleetMachine& machine = view.machines[m];
    const std::string& name = view.machine_names[m];
    if (reports_.machine(name) == nullptr || !machine.usable) continue;
    free += free_cores(name);
    if (!machine.spot && !is_reserved(name)) ordinary.emplace_back(-view.price_per_core(machine), m);
  }
  std::sort(ordinary.begin(), ordinary.end());
  const double reserve = kCordonReserveFraction * demand_.used_cores();
  for (const auto& [negative_price, m] : ordinary) {
    const double own_free = free_cores(view.machine_names[m]);
    if (free - own_free - waiting <= reserve) continue;
    free -= own_free;
    cordoned_.insert(view.machine_names[m]);
  }
}

// Returns the cores that are free now. The machine must be in the last summary of its shard.
double ScaleIn::free_cores(const std::string& machine_name) const {
  const MachineSummary* machine = reports_.machine(machine_name);
  return machine->rooms.empty() ? 0.0 : std::max(0.0, machine->rooms.front().room[0]);
}

// Returns idle machines that the plan does not use, the most expensive first. The number per step is a
// fraction of the fleet, so that a large fleet shrinks as fast as a small one.
void ScaleIn::return_idle(const FleetView& view, const FleetPlan& plan) {
  std::vector<std::pair<double, std::size_t>> idle;  // negative price and index: the most expensive first
  for (std::size_t m = 0; m < view.machine_names.size(); m++) {
    if (plan.planned_tasks[m] > 0 || !is_idle(view, m) || is_reserved(view.machine_names[m])) continue;
    idle.emplace_back(-view.price_per_core(view.machines[m]), m);
  }
  std::sort(idle.begin(), idle.end());
  const std::size_t max_returns = 1 + view.machine_names.size() / kMachinesPerIdleReturn;
  for (std::size_t i = 0; i < idle.size() && i < max_returns; i++) {
    const std::string& name = view.machine_names[idle[i].second];
    mark_for_return(name, inventory_.machines().at(name), "it is idle");
  }
}

// Spot machines have a longer idle time than ordinary ones: they are cheap, and their cached images save the
// next task from fetching its image.
bool ScaleIn::is_idle(const FleetView& view, std::size_t index) const {
  const MachineSummary* reported = reports_.machine(view.machine_names[index]);
  const FleetMachine& machine = view.machines[index];
  if (reported == nullptr || !machine.usable || !reported->empty) return false;
  const Tuning& tuning = settings_.tuning;
  return reported->idle_s >= (machine.spot ? tuning.idle_return_s : tuning.idle_ordinary_s);
}

}  // namespace mothslip
