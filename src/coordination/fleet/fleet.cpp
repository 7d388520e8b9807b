#include "coordination/fleet/fleet.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mothslip {

namespace {
constexpr double kStepIntervalSeconds = 1.0;
constexpr double kTypesRefreshIntervalSeconds = 60.0;
// The first refresh of the machine types takes place at a random time in this interval after the start.
constexpr double kMinFirstTypesRefreshSeconds = 5.0;
constexpr double kMaxFirstTypesRefreshSeconds = 15.0;
// A refresh of the machine types leaves this many calls to the cloud for other purposes.
constexpr double kReservedCloudCalls = 1.0;
constexpr double kLogIntervalSeconds = 10.0;

constexpr std::size_t kMaxWaitingHints = 60;
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
    next_types_refresh_at_ =
        ctx_.env->now() + ctx_.env->uniform(kMinFirstTypesRefreshSeconds, kMaxFirstTypesRefreshSeconds);
    run_step();
  });
}

void Fleet::run_step() {
  const double now = ctx_.env->now();
  if (ctx_.owns_exclusively()) update_fleet(now - last_step_at_);
  last_step_at_ = now;
  ctx_.env->after(kStepIntervalSeconds, callback_guard_([this] { run_step(); }));
}

void Fleet::update_fleet(double step_s) {
  demand_.update(step_s);
  liveness_.evaluate(inventory_);
  returns_.send();
  plan();
  rentals_.remove_ended_records();
  inventory_.poll_list_if_due();
  const bool types_due = ctx_.env->now() >= next_types_refresh_at_;
  if (types_due && ctx_.cloud->can_call(kReservedCloudCalls)) refresh_types();
}

void Fleet::refresh_types() {
  next_types_refresh_at_ = ctx_.env->now() + kTypesRefreshIntervalSeconds;
  ctx_.cloud->list_machine_types(callback_guard_([this](const CloudReply& reply) {
    if (reply.status != 200) return;
    auto types = MachineTypes::parse(reply.body);
    if (types) ctx_.on_new_types(std::move(*types));
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
  next_log_at_ = now + kLogIntervalSeconds;
  int booting = 0;
  double free = 0;
  double total = 0;
  for (std::size_t m = 0; m < view.machine_names.size(); m++) {
    const MachineSummary* machine = reports_.machine(view.machine_names[m]);
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
      "fleet: {} machines are up, {} are booting, {:.0f} of {:.0f} cores are free; tasks with {:.0f} "
      "cores wait, smoothed use is {:.0f} cores",
      view.machine_names.size() - static_cast<std::size_t>(booting), booting, free, total, waiting,
      demand_.used_cores());
}

FleetOrders Fleet::on_summary(ShardSummary summary) {
  const ShardSummary& latest = reports_.update(std::move(summary));
  inventory_.add_reporting(latest);
  FleetOrders orders;
  orders.headroom_share = headroom_share_;
  add_machine_orders(latest, orders);
  for (const bool starving : {true, false}) {  // hints of starving jobs first: the number of hints is limited
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

// Adds hints for the tasks that wait at other shards, either of starving jobs or of the others.
void Fleet::add_waiting_hints(int shard, bool starving, FleetOrders& orders) const {
  for (const auto& [other, report] : reports_.all()) {
    if (other == shard || !reports_.is_recent(report)) continue;
    for (const DemandSummary& demand : report.summary.demands) {
      if (demand.starving != starving || orders.waiting.size() >= kMaxWaitingHints) continue;
      // Best-effort work uses the room that other work leaves. No room is kept for it unless it starves.
      const bool best_effort = demand.urgency == 0;
      if (best_effort && !starving) continue;
      const bool startable = !best_effort && demand_.is_within_team_limit(demand);
      orders.waiting.push_back({demand.demand, demand.urgency, demand.allows_spot, starving, startable});
    }
  }
}

}  // namespace mothslip
