// Renting: what the plan asks for, and machines for gangs that no single machine holds.
#pragma once

#include <optional>
#include <vector>

#include "coordination/fleet/demand_estimate.hpp"
#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/rental_ledger.hpp"
#include "coordination/fleet/shard_reports.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

// What scaling out goes by. All of it outlives the ScaleOut.
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

  // The leader has read its records: the wait for the shards' first summaries begins.
  void start() { started_at_ = sources_.env.now(); }
  // Rents what the plan asks for, and from time to time machines for a large gang. Nothing is rented before a
  // first look at what there is, from the cloud and from every shard.
  void rent(const FleetPlan& plan);

 private:
  // Machines of one market for a gang.
  struct GangOffer {
    FleetPlan::NewMachines machines;
    int missing = 0;          // tasks of the gang for which no shard has room in the zone
    double hourly_price = 0;  // dollars an hour for all that is missing
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
