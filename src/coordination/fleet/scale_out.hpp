// Rents the machines of the plan, and machines for gangs that no single machine can hold.
#pragma once

#include <optional>
#include <vector>

#include "coordination/fleet/demand_estimate.hpp"
#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/rental_ledger.hpp"
#include "coordination/fleet/shard_reports.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

// The inputs of ScaleOut. All of them must outlive it.
struct ScaleOutSources {
  const Env& env;
  const MachineTypes& types;
  NameTable& zones;
  const ShardReports& reports;
  const MachineInventory& inventory;
  const DemandEstimate& demand;
};

class ScaleOut {
 public:
  ScaleOut(const ScaleOutSources& sources, RentalLedger& rentals);

  // Starts the wait for the first summaries of the shards. Called once the rental records have been read.
  void start() { started_at_ = sources_.env.now(); }
  // Rents the machines of the plan and, at intervals, machines for a large gang. Rents nothing until
  // the cloud has sent a full list and either every shard has sent a summary or that wait has timed out.
  void rent(const FleetPlan& plan);

 private:
  // Machines of one market that could be rented for a gang.
  struct GangOffer {
    FleetPlan::NewMachines machines;
    int missing = 0;          // tasks of the gang for which the best shard has no room in the zone
    double hourly_price = 0;  // dollars per hour for machines that hold all missing tasks
    [[nodiscard]] bool is_better_than(const GangOffer& other) const {
      return std::pair(missing, hourly_price) < std::pair(other.missing, other.hourly_price);
    }
  };

  [[nodiscard]] bool knows_all_machines() const;
  [[nodiscard]] const DemandSummary* oldest_large_gang() const;
  [[nodiscard]] bool is_large_gang(const DemandSummary& demand) const;
  [[nodiscard]] std::optional<FleetPlan::NewMachines> machines_for(const DemandSummary& gang) const;
  [[nodiscard]] std::optional<GangOffer> offer_for(const DemandSummary& gang, int type, int zone, bool spot,
                                                   int missing) const;
  [[nodiscard]] int missing_slots(const DemandSummary& gang, int zone) const;
  [[nodiscard]] std::vector<int> slots_by_shard(const DemandSummary& gang, int zone) const;
  [[nodiscard]] bool allows(const DemandSummary& gang, int type, int zone, bool spot) const;

  ScaleOutSources sources_;
  RentalLedger& rentals_;
  double started_at_ = 0;
  double next_gang_rental_at_ = 0;
};

}  // namespace mothslip
