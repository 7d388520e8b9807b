// Decides which machines are cordoned and which are returned because they are idle.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/demand_estimate.hpp"
#include "coordination/fleet/fleet_view.hpp"
#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/shard_reports.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

class ScaleIn {
 public:
  // All references must outlive this object.
  ScaleIn(const Settings& settings, const ShardReports& reports, const DemandEstimate& demand,
          MachineInventory& inventory);

  // Selects the machines that are reserved and cordoned, replacing the previous selection, and marks idle
  // machines that the plan does not use for return. `plan` must have been computed from `view`.
  void update(const FleetView& view, const FleetPlan& plan);
  // Returns true if the machine must start no tasks that another machine could run.
  [[nodiscard]] bool is_cordoned(const std::string& machine_name) const {
    return cordoned_.count(machine_name) > 0;
  }

 private:
  void reserve_ordinary(const FleetView& view);
  void cordon_surplus(const FleetView& view);
  void return_idle(const FleetView& view, const FleetPlan& plan);
  [[nodiscard]] bool is_idle(const FleetView& view, std::size_t index) const;
  [[nodiscard]] bool is_reserved(const std::string& machine_name) const {
    return reserved_.count(machine_name) > 0;
  }
  [[nodiscard]] double free_cores(const std::string& machine_name) const;

  const Settings& settings_;
  const ShardReports& reports_;
  const DemandEstimate& demand_;
  MachineInventory& inventory_;
  std::set<std::string> reserved_;  // ordinary machines kept for work that may run on ordinary machines only
  std::set<std::string> cordoned_;
};

}  // namespace mothslip
