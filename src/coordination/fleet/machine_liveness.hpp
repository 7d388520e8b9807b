// Which machines go back for what is known of them: failed ones, those that never came up and those that are
// faulty or silent.
#pragma once

#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/shard_reports.hpp"

namespace mothslip {

class MachineLiveness {
 public:
  // The arguments outlive this object.
  MachineLiveness(const Env& env, const Settings& settings, const MachineTypes& types,
                  const ShardReports& reports);

  // Marks the machines that are to be returned, and forgets those that are gone for certain. Nothing is
  // concluded about machines of a shard whose leader has sent no summary lately.
  void evaluate(MachineInventory& inventory) const;

 private:
  [[nodiscard]] bool is_gone(const std::string& machine_name, const RentedMachine& machine,
                             bool has_full_list) const;
  // Why the machine has to go back; null when it need not.
  [[nodiscard]] const char* return_reason(const std::string& machine_name,
                                          const RentedMachine& machine) const;

  const Env& env_;
  const Settings& settings_;
  const MachineTypes& types_;
  const ShardReports& reports_;
};

}  // namespace mothslip
