// Scales the fleet: rents and returns machines. One node does: the leader of
// shard 0, and every write is guarded by that leadership.
//
// The work is divided: ShardReports holds what the shards say, MachineInventory
// the machines there are, RentalLedger what is asked of the cloud,
// DemandEstimate the work and how it varies; MachineLiveness, MachineReturns,
// ScaleOut and ScaleIn decide. Fleet calls them once a second and answers the
// shards.
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
  // What the fleet works with. The pointers are not null, and what they point
  // to outlives the fleet.
  struct Context {
    Env* env = nullptr;
    StateClient* state = nullptr;
    CloudClient* cloud = nullptr;
    const Settings* settings = nullptr;
    const MachineTypes* types = nullptr;
    NameTable* zones = nullptr;
    std::uint64_t fencing_token = 0;  // of shard 0
    int shard_count = 1;
    std::function<bool()> exclusive_owner;           // nobody else can lead shard 0 now
    std::function<void(MachineTypes)> on_new_types;  // the cloud's list of machine types, as last asked for
  };
  explicit Fleet(Context context);

  // Reads the recorded rentals, then begins to act.
  void start();
  // A shard tells of its machines and its waiting tasks, and hears what to do
  // with its machines.
  FleetOrders on_summary(ShardSummary summary);

 private:
  void run_step();
  // `step_s` seconds after the last step.
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
  double headroom_share_ = 0;  // of all cores: what is wanted free, as last planned
  double last_step_at_ = 0;    // times are seconds of Env::now()
  double next_types_refresh_at_ = 0;
  double next_log_at_ = 0;
  CallbackGuard callback_guard_;
};

}  // namespace mothslip
