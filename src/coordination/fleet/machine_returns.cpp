#include "coordination/fleet/machine_returns.hpp"

#include <spdlog/spdlog.h>

namespace mothslip {

namespace {
constexpr std::size_t kMaxMachinesPerCall = 100;  // the cloud's limit
}

MachineReturns::MachineReturns(const Env& env, CloudClient& cloud, const Settings& settings,
                               const ShardReports& reports, MachineInventory& inventory)
    : env_(env), cloud_(cloud), settings_(settings), reports_(reports), inventory_(inventory) {}

void MachineReturns::send() {
  if (is_call_open_ || !cloud_.can_call()) return;
  const std::vector<std::string> machine_names = ready_to_return();
  if (machine_names.empty()) return;
  is_call_open_ = true;
  cloud_.return_machines(machine_names, callback_guard_([this, machine_names](const CloudReply& reply) {
                           on_reply(machine_names, reply);
                         }));
}

std::vector<std::string> MachineReturns::ready_to_return() const {
  std::vector<std::string> out;
  for (const auto& [name, machine] : inventory_.machines()) {
    if (out.size() >= kMaxMachinesPerCall) break;
    if (may_be_returned(name, machine)) out.push_back(name);
  }
  return out;
}

bool MachineReturns::may_be_returned(const std::string& machine_name, const RentedMachine& machine) const {
  if (!machine.returning || machine.returned || !reports_.has_recent_report(machine_name)) return false;
  // The machine is drained first, unless waiting cannot save any of its tasks.
  const MachineSummary* reported = reports_.machine(machine_name);
  if (reported == nullptr || machine.failed || reported->silent_s > settings_.lease_s) return true;
  return reported->draining && reported->empty;
}

void MachineReturns::on_reply(const std::vector<std::string>& machine_names, const CloudReply& reply) {
  is_call_open_ = false;
  // Without status 200, the call may or may not have taken effect. It is repeated until the cloud confirms
  // it.
  if (reply.status != 200) return;
  for (const std::string& machine_name : machine_names) {
    const auto it = inventory_.machines().find(machine_name);
    if (it == inventory_.machines().end()) continue;
    it->second.returned = true;
    it->second.returned_at = env_.now();
    spdlog::info("machine {} has been returned to the cloud", machine_name);
  }
}

}  // namespace mothslip
