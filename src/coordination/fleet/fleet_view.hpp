// A snapshot of the fleet as the input of plan_fleet (scheduling/sizing.hpp).
#pragma once

#include <string>
#include <vector>

#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/rental_ledger.hpp"
#include "coordination/fleet/shard_reports.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

struct FleetView {
  std::vector<FleetType> types;  // by index of the machine type
  std::vector<FleetMarket> markets;
  // Machines with a name come first, followed by those of open rental requests, which have no name yet.
  std::vector<FleetMachine> machines;
  std::vector<std::string> machine_names;  // names of the first machines, by the same index

  // Returns the cores of all machines.
  [[nodiscard]] double total_cores() const;
  // Returns the price of one core of this machine in dollars per hour.
  [[nodiscard]] double price_per_core(const FleetMachine& machine) const;
};

// The inputs of the view. All of them must outlive the builder.
struct FleetSources {
  const Env& env;
  const MachineTypes& types;
  NameTable& zones;
  const ShardReports& reports;
  const MachineInventory& inventory;
  const RentalLedger& rentals;
};

class FleetViewBuilder {
 public:
  explicit FleetViewBuilder(const FleetSources& sources) : sources_(sources) {}
  [[nodiscard]] FleetView build() const;

 private:
  void add_types(FleetView& view) const;
  void add_markets(FleetView& view, int type, const MachineType& machine_type) const;
  void add_machines(FleetView& view) const;
  [[nodiscard]] FleetMachine to_fleet_machine(const std::string& name, const RentedMachine& rented,
                                              const FleetType& type) const;
  void add_requested(FleetView& view) const;

  FleetSources sources_;
};

}  // namespace mothslip
