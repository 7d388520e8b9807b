// Scales the fleet: rents and returns machines. Only the leader of shard 0 does this. Every write is guarded
// by the fencing token of that leadership.
//
// ShardReports holds the summaries of the shards, MachineInventory the existing machines, RentalLedger the
// requests to the cloud, and DemandEstimate the demand and its variation. MachineLiveness, MachineReturns,
// ScaleOut and ScaleIn make the decisions. Fleet calls them once per second and returns orders to the shards.
#pragma once

#include <functional>
#include <vector>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/demand_estimate.hpp"
#include "coordination/fleet/fleet_view.hpp"
#include "coordination/fleet/machine_inventory.hpp"
#include "coordination/fleet/machine_liveness.hpp"
#include "coordination/fleet/machine_returns.hpp"
#include "coordination/fleet/rental_ledger.hpp"
#include "coordination/fleet/scale_in.hpp"
#include "coordination/fleet/scale_out.hpp"
#include "coordination/fleet/shard_reports.hpp"
#include "coordination/fleet/shard_summary.hpp"
#include "coordination/state/state_client.hpp"
#include "protocol/names.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class Fleet {
 public:
  // The dependencies of the fleet. The pointers must not be null, and the objects must outlive the fleet.
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    CloudClient* cloud = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    NameTable* zones = nullptr;
    std::uint64_t fencing_token = 0;  // fencing token of shard 0
    int shard_count = 1;
    // Returns true if no other node can lead shard 0 at this moment.
    std::function<bool()> owns_exclusively;
    // Receives the machine types each time that the cloud has listed them.
    std::function<void(MachineTypes)> on_new_types;
  };
  explicit Fleet(Context context);

  // Reads the recorded rentals, then starts to scale the fleet.
  void start();
  // Stores the summary of a shard and returns the orders for the machines of that shard.
  FleetOrders on_summary(ShardSummary summary);

 private:
  void run_step();
  // `step_s` is the time since the last step.
  void update_fleet(double step_s);
  void plan();
  void refresh_types();
  [[nodiscard]] std::vector<FleetDemand> all_demands() const;
  void log_if_due(const FleetView& view, const std::vector<FleetDemand>& demands);
  void add_machine_orders(const ShardSummary& summary, FleetOrders& orders) const;
  void add_waiting_hints(int shard, bool starving, FleetOrders& orders) const;

  Context ctx_;
  ShardReports reports_;
  MachineInventory inventory_;
  RentalLedger rentals_;
  DemandEstimate demand_;
  FleetViewBuilder view_builder_;
  MachineLiveness liveness_;
  MachineReturns returns_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  double headroom_share_ = 0;  // fraction of all cores to keep free, as of the last plan
  double last_step_at_ = 0;    // this and the times below are in seconds of Env::now()
  double next_types_refresh_at_ = 0;
  double next_log_at_ = 0;
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
