#include "coordination/fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mothslip {

namespace {
constexpr double kStepSeconds = 1.0;
constexpr double kTypesInterval = 60.0;      // seconds between two looks at the cloud's machine types
constexpr double kFirstTypesEarliest = 5.0;  // seconds after the start, drawn between the two
constexpr double kFirstTypesLatest = 15.0;
constexpr double kTypesCallReserve = 1.0;  // calls to the cloud that are left for other purposes
constexpr double kLogInterval = 10.0;      // seconds
constexpr std::size_t kMaxHints = 60;
}  // namespace

Fleet::Fleet(Context context)
    : ctx_(std::move(context)),
      reports_(*ctx_.env, *ctx_.settings, ctx_.shard_count),
      inventory_(*ctx_.env, *ctx_.cloud, *ctx_.settings, *ctx_.types, *ctx_.zones),
      rentals_({*ctx_.env, *ctx_.state, *ctx_.cloud, *ctx_.settings, *ctx_.types, *ctx_.zones}, inventory_,
               ctx_.fencing_token),
      demand_(*ctx_.settings, *ctx_.types, *ctx_.zones, reports_),
      view_builder_({*ctx_.env, *ctx_.types, *ctx_.zones, reports_, inventory_, rentals_}),
      liveness_(*ctx_.env, *ctx_.settings, *ctx_.types, reports_),
      returns_(*ctx_.env, *ctx_.cloud, *ctx_.settings, reports_, inventory_),
      scale_out_({*ctx_.env, *ctx_.types, *ctx_.zones, reports_, inventory_, demand_}, rentals_),
      scale_in_(*ctx_.settings, reports_, demand_, inventory_) {}

void Fleet::start() {
  rentals_.load([this] {
    last_step_at_ = ctx_.env->now();
    scale_out_.start();
    next_types_at_ = ctx_.env->now() + ctx_.env->uniform(kFirstTypesEarliest, kFirstTypesLatest);
    run_step();
  });
}

void Fleet::run_step() {
  const double now = ctx_.env->now();
  if (ctx_.exclusive_owner()) act(now - last_step_at_);
  last_step_at_ = now;
  ctx_.env->after(kStepSeconds, callbacks_([this] { run_step(); }));
}

void Fleet::act(double step_s) {
  demand_.follow(step_s);
  liveness_.evaluate(inventory_);
  returns_.send();
  plan();
  rentals_.drop_ended();
  inventory_.poll_list_if_due();
  const bool types_due = ctx_.env->now() >= next_types_at_;
  if (types_due && ctx_.cloud->ready(kTypesCallReserve)) refresh_types();
}

void Fleet::refresh_types() {
  next_types_at_ = ctx_.env->now() + kTypesInterval;
  ctx_.cloud->machine_types(callbacks_([this](const CloudReply& reply) {
    if (reply.status != 200) return;
    auto types = MachineTypes::parse(reply.body);
    if (types) ctx_.new_types(std::move(*types));
  }));
}

void Fleet::plan() {
  if (!rentals_.accepts_requests()) return;
  const FleetView view = view_builder_.build();
  const std::vector<FleetDemand> demands = all_demands();
  const double cores = view.total_cores();
  headroom_share_ = cores > 0 ? std::min(1.0, demand_.headroom_cores() / cores) : 0;
  const FleetPlan plan = plan_fleet(view.types, view.markets, view.machines, demands, FleetLimits{});
  log_if_due(view, demands);
  scale_out_.rent(plan);
  scale_in_.update(view, plan);
}

std::vector<FleetDemand> Fleet::all_demands() const {
  std::vector<FleetDemand> out = demand_.demands();
  for (FleetDemand& headroom : demand_.headroom_demands()) out.push_back(std::move(headroom));
  return out;
}

void Fleet::log_if_due(const FleetView& view, const std::vector<FleetDemand>& demands) {
  const double now = ctx_.env->now();
  if (now < next_log_at_) return;
  next_log_at_ = now + kLogInterval;
  int booting = 0;
  double free = 0;
  double total = 0;
  for (std::size_t m = 0; m < view.names.size(); m++) {
    const MachineSummary* machine = reports_.machine(view.names[m]);
    if (machine == nullptr) {
      booting++;
      continue;
    }
    free += machine->rooms.empty() ? 0 : machine->rooms.front().room[0];
    total += view.types[static_cast<std::size_t>(view.machines[m].type)].capacity[0];
  }
  double waiting = 0;
  for (const FleetDemand& demand : demands) {
    waiting += demand.rank < 0 ? 0 : demand.count * demand.demand[0];
  }
  spdlog::info(
      "fleet: {} up, {} not yet, {:.0f} of {:.0f} cores free; {:.0f} "
      "cores waiting, use {:.0f}",
      view.names.size() - static_cast<std::size_t>(booting), booting, free, total, waiting,
      demand_.used_cores());
}

FleetOrders Fleet::take(ShardSummary summary) {
  const ShardSummary& latest = reports_.update(std::move(summary));
  inventory_.add_reporting(latest);
  FleetOrders orders;
  orders.headroom_share = headroom_share_;
  add_machine_orders(latest, orders);
  for (const bool starving : {true, false}) {  // those first, should there be too many
    add_waiting_hints(latest.shard, starving, orders);
  }
  return orders;
}

void Fleet::add_machine_orders(const ShardSummary& summary, FleetOrders& orders) const {
  for (const MachineSummary& machine : summary.machines) {
    const auto it = inventory_.machines().find(machine.name);
    if (it == inventory_.machines().end()) continue;
    if (it->second.returned) {
      orders.removed.push_back(machine.name);
    } else if (it->second.returning) {
      orders.draining.push_back(machine.name);
    } else if (scale_in_.is_cordoned(machine.name)) {
      orders.cordoned.push_back(machine.name);
    }
  }
}

// What waits at other shards, starving or not.
void Fleet::add_waiting_hints(int shard, bool starving, FleetOrders& orders) const {
  for (const auto& [other, report] : reports_.all()) {
    if (other == shard || !reports_.is_recent(report)) continue;
    for (const DemandSummary& demand : report.summary.demands) {
      if (demand.starving != starving || orders.waiting.size() >= kMaxHints) continue;
      // Best-effort work waits for what others leave: nothing is kept for it,
      // unless it starves.
      const bool best_effort = demand.urgency == 0;
      if (best_effort && !starving) continue;
      const bool startable = !best_effort && demand_.within_limit(demand);
      orders.waiting.push_back({demand.demand, demand.urgency, demand.allows_spot, starving, startable});
    }
  }
}

}  // namespace mothslip
