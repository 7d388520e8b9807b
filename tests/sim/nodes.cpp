#include "sim/nodes.hpp"

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"
#include "sim/addresses.hpp"
#include "sim/world.hpp"

namespace mothslip::sim {

namespace {

// The earlier version does not support announced limits, so these are applied for the current version only.
void apply_next_limits(const Options& options, Settings& out) {
  if (options.next_value_kb > 0) out.value_kb = std::min(out.value_kb, options.next_value_kb);
  if (options.next_txn_ops > 0) out.txn_ops = std::min(out.txn_ops, options.next_txn_ops);
  if (options.next_write_rps > 0) out.next_write_rps = options.next_write_rps;
}

Settings settings_for(int node, const Options& options, bool runs_earlier_version) {
  Settings out;
  out.node = node_name(node);
  out.area = "a";
  out.client_address = client_address_of(node);
  out.peer_address = peer_address_of(node);
  for (int i = 0; i < options.nodes; i++) {
    if (i != node) out.members.push_back({node_name(i), "a", peer_address_of(i)});
  }
  out.cloud = kCloudAddress;
  out.state = kStateAddress;
  out.zones = options.zones;
  out.teams = {{"red", options.team_cpus, options.team_max_cpus, 0, 0},
               {"blue", options.team_cpus, options.team_max_cpus, 0, 0}};
  out.report_s = options.report_s;
  out.lease_s = options.lease_s;
  out.cancel_s = kMaxCancelSeconds;
  out.gang_wait_s = options.gang_wait_s;
  out.gang_peer_s = options.gang_peer_s;
  out.state_rps = out.next_state_rps = options.state_rps;
  out.state_write_rps = out.next_write_rps = options.write_rps;
  out.txn_ops = options.txn_ops;
  out.value_kb = options.value_kb;
  if (!runs_earlier_version) apply_next_limits(options, out);
  out.tuning.recovery = options.recovery && !runs_earlier_version;
  out.cloud_rps = options.cloud_rps;
  out.list_lag_s = 3;
  return out;
}

}  // namespace

// ---------------------------------------------------------------- a node's environment

NodeEnv::NodeEnv(World& world, int index, double clock_rate, double skew_s)
    : world_(world), index_(index), clock_rate_(clock_rate), skew_s_(skew_s) {}
double NodeEnv::now() const { return 1000 + world_.now * clock_rate_; }
double NodeEnv::wall_time() const { return 1.7e9 + world_.now + skew_s_; }
std::uint64_t NodeEnv::random() { return world_.rng(); }

TimerId NodeEnv::after(double delay_s, std::function<void()> action) {
  const TimerId id = next_++;
  world_.in(std::max(0.0, delay_s) / clock_rate_,
            [this, id, token = std::weak_ptr<bool>(alive_), action = std::move(action)]() mutable {
              if (token.expired()) return;
              world_.nodes.run_or_defer(index_, [this, id, action = std::move(action)] {
                if (cancelled_.erase(id) == 0) action();
              });
            });
  return id;
}

void NodeEnv::call(HttpCall request, ReplyHandler handler) {
  world_.network.send(
      node_name(index_), request,
      [this, token = std::weak_ptr<bool>(alive_), handler = std::move(handler)](HttpReply reply) {
        if (token.expired()) return;
        // The deferred events of a frozen node are discarded with its process.
        world_.nodes.run_or_defer(index_, [handler, reply = std::move(reply)] { handler(reply); });
      });
}

// ---------------------------------------------------------------- processes

Nodes::Nodes(World& world) : world_(world), processes_(static_cast<std::size_t>(world.options.nodes)) {
  for (Process& each : processes_) each.runs_earlier_version = world.options.runs_earlier_version;
}

void Nodes::start(int index) {
  Process& started = process(index);
  started.settings = settings_for(index, world_.options, started.runs_earlier_version);
  started.env = std::make_unique<NodeEnv>(world_, index, world_.uniform(kSlowestClockRate, kFastestClockRate),
                                          world_.uniform(-0.1, 0.1));
  started.node = std::make_unique<recovery::Controller>(*started.env, started.settings,
                                                        Capabilities{!started.runs_earlier_version});
  started.node->start();
}

void Nodes::crash(int index, double restart_after_s) {
  Process& killed = process(index);
  if (!killed.node) return;
  killed.node.reset();
  killed.env.reset();
  killed.is_frozen = false;
  killed.deferred.clear();
  world_.in(restart_after_s, [this, index] { start(index); });
}

void Nodes::upgrade(int index, double restart_after_s) {
  process(index).runs_earlier_version = false;
  crash(index, restart_after_s);
}

void Nodes::freeze(int index, double for_s) {
  Process& process_to_freeze = process(index);
  if (!process_to_freeze.node || process_to_freeze.is_frozen) return;
  process_to_freeze.is_frozen = true;
  world_.in(for_s, [&process_to_freeze] {
    if (!process_to_freeze.is_frozen) return;  // the process ended in the meantime
    process_to_freeze.is_frozen = false;
    const auto deferred = std::move(process_to_freeze.deferred);
    process_to_freeze.deferred.clear();
    for (const auto& action : deferred) action();
  });
}

void Nodes::kill_all() {
  for (Process& each : processes_) {
    each.node.reset();
    each.deferred.clear();
  }
}

void Nodes::run_or_defer(int index, std::function<void()> action) {
  Process& receiver = process(index);
  if (receiver.is_frozen) {
    receiver.deferred.push_back(std::move(action));
  } else {
    action();
  }
}

bool Nodes::is_up(const std::string& address) const {
  const auto found = node_at(address, world_.options.nodes);
  return !found || processes_[static_cast<std::size_t>(found->index)].node != nullptr;
}

int Nodes::owner_of(int shard) const {
  const auto it = world_.state.values().find(keys::shard_owner(shard));
  return it == world_.state.values().end() ? -1 : node_index(it->second["node"].get<std::string>());
}

}  // namespace mothslip::sim
