#include "coordination/fleet/machine_liveness.hpp"

namespace mothslip {

namespace {
constexpr double kBootLost = 3.0;        // times boot_s: a machine that has not come up by then is returned
constexpr double kBootMargin = 10.0;     // seconds beyond that
constexpr double kSilentLeases = 3;      // a machine that is silent for so many leases is returned
constexpr int kMissingLists = 2;         // full lists in a row without a machine: it is not there
constexpr double kListMargin = 5.0;      // seconds beyond the lag of the cloud's list
constexpr double kListLagsReturned = 2;  // a returned machine may be listed for so many lags
constexpr double kListLagsUnlisted = 3;  // a machine that was rented may be missing for so many lags
}  // namespace

MachineLiveness::MachineLiveness(const Env& env, const Settings& settings, const MachineTypes& types,
                                 const ShardReports& reports)
    : env_(env), settings_(settings), types_(types), reports_(reports) {}

void MachineLiveness::evaluate(MachineInventory& inventory) const {
  MachineInventory::Machines& machines = inventory.machines();
  for (auto it = machines.begin(); it != machines.end();) {
    const std::string& name = it->first;
    RentedMachine& machine = it->second;
    if (!reports_.heard_of(name)) {
      ++it;  // it may well be up: the leader of its shard has only not said so
      continue;
    }
    if (is_gone(name, machine, inventory.list_complete())) {
      it = machines.erase(it);
      continue;
    }
    if (!machine.returned && !machine.returning) {
      const char* reason = return_reason(name, machine);
      if (reason != nullptr) start_return(name, machine, reason);
    }
    ++it;
  }
}

bool MachineLiveness::is_gone(const std::string& machine_name, const RentedMachine& machine,
                              bool list_complete) const {
  const bool reporting = reports_.machine(machine_name) != nullptr;
  if (reporting || machine.missing < kMissingLists) return false;
  const double now = env_.now();
  const double lag = settings_.list_lag_s;
  if (machine.returned) {
    // Remembered while lists that lag may still show it.
    return now - machine.returned_at > kListLagsReturned * lag + kListMargin;
  }
  // Never heard here, and not listed any more: taken or deleted.
  const double age = now - machine.rented_at;
  return age > kListLagsUnlisted * lag + kListMargin && list_complete && reports_.knows_all_of(machine_name);
}

const char* MachineLiveness::return_reason(const std::string& machine_name,
                                           const RentedMachine& machine) const {
  if (machine.failed) return "failed";
  const MachineSummary* reported = reports_.machine(machine_name);
  if (reported == nullptr) {
    const double age = env_.now() - machine.rented_at;
    const double boot_s = types_.at(machine.type).boot_s;
    const bool late = age > kBootLost * boot_s + kBootMargin && reports_.knows_all_of(machine_name);
    return late ? "never came up" : nullptr;
  }
  if (reported->faulty) return "sick";
  // Silent machines are more likely cut off or hung than dead, and come back sooner than new ones boot
  // (incident 0675). Dead ones the list shows, and meanwhile silent ones are counted on for nothing.
  const double patience_s = kSilentLeases * settings_.lease_s;
  const bool unlisted = machine.missing >= kMissingLists;
  if (reported->silent_s > patience_s || (reported->silent_s > settings_.lease_s && unlisted)) {
    return unlisted ? "taken" : "silent";
  }
  return nullptr;
}

}  // namespace mothslip
