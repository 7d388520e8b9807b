#include "coordination/fleet/machine_liveness.hpp"

namespace mothslip {

namespace {
// A machine that has not booted within boot_s times this factor, plus the margin, is returned.
constexpr double kBootTimeoutFactor = 3.0;
constexpr double kBootTimeoutMarginSeconds = 10.0;
// A machine that has sent no heartbeat for this many lease durations is returned.
constexpr double kSilenceTimeoutLeases = 3;
// A machine that is missing from this many consecutive full lists counts as unlisted.
constexpr int kMinMissingLists = 2;
// The cloud's list lags behind by up to list_lag_s. A returned machine may still be listed, and a rented
// machine may still be missing, for this many lags plus the margin.
constexpr double kListLagMarginSeconds = 5.0;
constexpr double kReturnedMachineListLags = 2;
constexpr double kUnlistedMachineListLags = 3;
}  // namespace

MachineLiveness::MachineLiveness(const Env& env, const Settings& settings, const MachineTypes& types,
                                 const ShardReports& reports)
    : env_(env), settings_(settings), types_(types), reports_(reports) {}

void MachineLiveness::evaluate(MachineInventory& inventory) const {
  MachineInventory::Machines& machines = inventory.machines();
  for (auto it = machines.begin(); it != machines.end();) {
    const std::string& name = it->first;
    RentedMachine& machine = it->second;
    if (!reports_.has_recent_report(name)) {
      ++it;  // the machine may be up: the leader of its shard has not sent a summary recently
      continue;
    }
    if (is_gone(name, machine, inventory.has_full_list())) {
      it = machines.erase(it);
      continue;
    }
    if (!machine.returned && !machine.returning) {
      const char* reason = return_reason(name, machine);
      if (reason != nullptr) mark_for_return(name, machine, reason);
    }
    ++it;
  }
}

bool MachineLiveness::is_gone(const std::string& machine_name, const RentedMachine& machine,
                              bool has_full_list) const {
  const bool is_reporting = reports_.machine(machine_name) != nullptr;
  if (is_reporting || machine.missing_lists < kMinMissingLists) return false;
  const double now = env_.now();
  const double list_lag_s = settings_.list_lag_s;
  if (machine.returned) {
    // The machine is kept in the inventory while a lagging list may still contain it.
    return now - machine.returned_at > kReturnedMachineListLags * list_lag_s + kListLagMarginSeconds;
  }
  // The machine does not report and is no longer listed: it has been evicted or deleted.
  const double age_s = now - machine.rented_at;
  return age_s > kUnlistedMachineListLags * list_lag_s + kListLagMarginSeconds && has_full_list &&
         reports_.has_complete_report(machine_name);
}

const char* MachineLiveness::return_reason(const std::string& machine_name,
                                           const RentedMachine& machine) const {
  if (machine.failed) return "the cloud lists it as failed";
  const MachineSummary* reported = reports_.machine(machine_name);
  if (reported == nullptr) {
    const double age_s = env_.now() - machine.rented_at;
    const double boot_s = types_.at(machine.type).boot_s;
    const bool is_overdue = age_s > kBootTimeoutFactor * boot_s + kBootTimeoutMarginSeconds &&
                            reports_.has_complete_report(machine_name);
    return is_overdue ? "it has not reported within the boot timeout" : nullptr;
  }
  if (reported->faulty) return "it is faulty";
  // A silent machine is more likely disconnected or hung than dead, and usually recovers sooner than a new
  // machine boots (incident 0675). The list shows which machines are dead. Until then, silent machines are
  // not planned for.
  const double silence_timeout_s = kSilenceTimeoutLeases * settings_.lease_s;
  const bool is_unlisted = machine.missing_lists >= kMinMissingLists;
  if (reported->silent_s > silence_timeout_s || (reported->silent_s > settings_.lease_s && is_unlisted)) {
    return is_unlisted ? "it is silent and the cloud no longer lists it" : "it is silent";
  }
  return nullptr;
}

}  // namespace mothslip
