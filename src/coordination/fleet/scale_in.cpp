#include "coordination/fleet/scale_in.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mothslip {

namespace {
constexpr double kCordonReserveFraction = 0.2;      // of recent use, free on the other machines
constexpr std::size_t kMachinesPerIdleReturn = 30;  // one in so many machines may go back a step
}  // namespace

ScaleIn::ScaleIn(const Settings& settings, const ShardReports& reports, const DemandEstimate& demand,
                 MachineInventory& inventory)
    : settings_(settings), reports_(reports), demand_(demand), inventory_(inventory) {}

void ScaleIn::update(const FleetView& view, const FleetPlan& plan) {
  reserve_ordinary(view);
  cordon_surplus(view);
  return_idle(view, plan);
}

// Work that may run on ordinary machines only, gangs above all, finds them taken if other work may fill them
// too: as many as it needs take nothing that could go elsewhere. Those reserved already stay, then the
// largest.
void ScaleIn::reserve_ordinary(const FleetView& view) {
  double left = 0;
  if (demand_.has_ordinary_work()) left = demand_.ordinary_use().cores + demand_.ordinary_headroom_cores();
  std::vector<std::tuple<bool, double, std::string>> candidates;  // not reserved yet, less its cores, name
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

// An ordinary machine that always gets some task never falls idle. When the others have room for all that
// waits and a reserve without it, it takes nothing new; when work waits again, it does.
void ScaleIn::cordon_surplus(const FleetView& view) {
  cordoned_ = reserved_;
  const double waiting = demand_.waiting_cores();
  std::vector<std::pair<double, std::size_t>> ordinary;  // the dearest first
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

// Free at once, on a machine that reports.
double ScaleIn::free_cores(const std::string& machine_name) const {
  const MachineSummary* machine = reports_.machine(machine_name);
  return machine->rooms.empty() ? 0.0 : std::max(0.0, machine->rooms.front().room[0]);
}

// Idle machines that the plan does not count on go back, the dearest first, a few a step: a share of the
// fleet, so that a large one shrinks as fast as a small one.
void ScaleIn::return_idle(const FleetView& view, const FleetPlan& plan) {
  std::vector<std::pair<double, std::size_t>> idle;  // the dearest first
  for (std::size_t m = 0; m < view.machine_names.size(); m++) {
    if (plan.planned_tasks[m] > 0 || !is_idle(view, m) || is_reserved(view.machine_names[m])) continue;
    idle.emplace_back(-view.price_per_core(view.machines[m]), m);
  }
  std::sort(idle.begin(), idle.end());
  const std::size_t max_returns = 1 + view.machine_names.size() / kMachinesPerIdleReturn;
  for (std::size_t i = 0; i < idle.size() && i < max_returns; i++) {
    const std::string& name = view.machine_names[idle[i].second];
    mark_for_return(name, inventory_.machines().at(name), "idle");
  }
}

// Spot machines are cheap to keep, and what they have cached saves the next task its fetch: they are kept
// longer.
bool ScaleIn::is_idle(const FleetView& view, std::size_t index) const {
  const MachineSummary* reported = reports_.machine(view.machine_names[index]);
  const FleetMachine& machine = view.machines[index];
  if (reported == nullptr || !machine.usable || !reported->empty) return false;
  const Tuning& tuning = settings_.tuning;
  return reported->idle_s >= (machine.spot ? tuning.idle_return_s : tuning.idle_ordinary_s);
}

}  // namespace mothslip
