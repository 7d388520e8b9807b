// Which machines are cordoned and which go back because they are idle.
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
  // The arguments outlive this object.
  ScaleIn(const Settings& settings, const ShardReports& reports, const DemandEstimate& demand,
          MachineInventory& inventory);

  // Decides anew which machines are reserved and cordoned, and marks idle ones that the plan does not count
  // on for their return. `plan` was made from `view`.
  void update(const FleetView& view, const FleetPlan& plan);
  // The machine takes nothing new that could go elsewhere.
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
  std::set<std::string> reserved_;  // ordinary machines for work that may run nowhere else
  std::set<std::string> cordoned_;
};

}  // namespace mothslip
