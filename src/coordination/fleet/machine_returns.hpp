// Returns machines to the cloud.
#pragma once

#include <string>
#include <vector>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/shard_reports.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class MachineReturns {
 public:
  // All references must outlive this object.
  MachineReturns(const Env& env, CloudClient& cloud, const Settings& settings, const ShardReports& reports,
                 MachineInventory& inventory);

  // Sends a call that returns the machines that are marked for return and drained, if a call may be made and
  // none is open. The return of a machine is requested again until the cloud confirms it.
  void send();

 private:
  [[nodiscard]] std::vector<std::string> ready_to_return() const;
  [[nodiscard]] bool may_be_returned(const std::string& machine_name, const RentedMachine& machine) const;
  void on_reply(const std::vector<std::string>& machine_names, const CloudReply& reply);

  const Env& env_;
  CloudClient& cloud_;
  const Settings& settings_;
  const ShardReports& reports_;
  MachineInventory& inventory_;
  bool is_call_open_ = false;
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
