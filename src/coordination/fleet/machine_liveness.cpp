#include "coordination/fleet/machine_liveness.hpp"

namespace mothslip {

namespace {
constexpr double kBootTimeoutFactor =
    3.0;  // times boot_s: a machine that has not come up by then is returned
constexpr double kBootTimeoutMarginSeconds = 10.0;  // seconds beyond that
constexpr double kSilenceTimeoutLeases = 3;         // a machine that is silent for so many leases is returned
constexpr int kMinMissingLists = 2;                 // full lists in a row without a machine: it is not there
constexpr double kListLagMarginSeconds = 5.0;       // seconds beyond the lag of the cloud's list
constexpr double kReturnedMachineListLags = 2;      // a returned machine may be listed for so many lags
constexpr double kUnlistedMachineListLags = 3;  // a machine that was rented may be missing for so many lags
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
      ++it;  // it may well be up: the leader of its shard has only not said so
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
    // Remembered while lists that lag may still show it.
    return now - machine.returned_at > kReturnedMachineListLags * list_lag_s + kListLagMarginSeconds;
  }
  // Never heard here, and not listed any more: taken or deleted.
  const double age_s = now - machine.rented_at;
  return age_s > kUnlistedMachineListLags * list_lag_s + kListLagMarginSeconds && has_full_list &&
         reports_.has_complete_report(machine_name);
}

const char* MachineLiveness::return_reason(const std::string& machine_name,
                                           const RentedMachine& machine) const {
  if (machine.failed) return "failed";
  const MachineSummary* reported = reports_.machine(machine_name);
  if (reported == nullptr) {
    const double age_s = env_.now() - machine.rented_at;
    const double boot_s = types_.at(machine.type).boot_s;
    const bool is_overdue = age_s > kBootTimeoutFactor * boot_s + kBootTimeoutMarginSeconds &&
                            reports_.has_complete_report(machine_name);
    return is_overdue ? "never came up" : nullptr;
  }
  if (reported->faulty) return "sick";
  // Silent machines are more likely cut off or hung than dead, and come back sooner than new ones boot
  // (incident 0675). Dead ones the list shows, and meanwhile silent ones are counted on for nothing.
  const double silence_timeout_s = kSilenceTimeoutLeases * settings_.lease_s;
  const bool is_unlisted = machine.missing_lists >= kMinMissingLists;
  if (reported->silent_s > silence_timeout_s || (reported->silent_s > settings_.lease_s && is_unlisted)) {
    return is_unlisted ? "taken" : "silent";
  }
  return nullptr;
}

}  // namespace mothslip
