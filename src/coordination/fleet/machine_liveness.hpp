// Decides which machines are returned because they have failed, have not booted in time, or are faulty or
// silent.
#pragma once

#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/shard_reports.hpp"

namespace mothslip {

class MachineLiveness {
 public:
  // All references must outlive this object.
  MachineLiveness(const Env& env, const Settings& settings, const MachineTypes& types,
                  const ShardReports& reports);

  // Marks the machines to be returned and removes those that certainly no longer exist from the inventory.
  // Machines of a shard whose leader has not sent a summary recently are left unchanged.
  void evaluate(MachineInventory& inventory) const;

 private:
  [[nodiscard]] bool is_gone(const std::string& machine_name, const RentedMachine& machine,
                             bool has_full_list) const;
  // Returns the reason to return the machine, or null if there is none.
  [[nodiscard]] const char* return_reason(const std::string& machine_name,
                                          const RentedMachine& machine) const;

  const Env& env_;
  const Settings& settings_;
  const MachineTypes& types_;
  const ShardReports& reports_;
};

}  // namespace mothslip
