#include "coordination/node/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace mothslip {

namespace {
constexpr double kCountersIntervalSeconds = 30.0;
}  // namespace

Node::Node(Env& env, Settings settings, Capabilities capabilities, Incarnation incarnation,
           StateMonitor* monitor)
    : env_(env),
      settings_(std::move(settings)),
      monitor_(monitor),
      state_(env_, settings_, std::move(incarnation), monitor),
      cloud_(env_, settings_),
      machine_types_(env_, state_, cloud_, settings_,
                     {[this] { restart_all_shards(); }, [this] { open_waiting_shards(); }}),
      ownership_(env_, state_, settings_, capabilities, ownership_listener(), monitor),
      budget_(settings_, ownership_, state_, cloud_),
      revisions_(env_, state_, monitor),
      user_api_(user_api_context(capabilities)),
      shard_router_(env_, settings_, ownership_, shards_),
      heartbeats_(
          {&env_, &settings_, &state_, &ownership_, &relay_, monitor, [this] { return owned_shards(); }}),
      worker_reports_({&env_, &settings_, &ownership_, &shards_, &relay_, &revisions_}),
      requests_({&user_api_, &worker_reports_, &heartbeats_, &shard_router_,
                 [this] { return machine_types_.has_types() && ownership_.shard_count() > 0; }, monitor}) {}

Node::~Node() = default;

void Node::start() {
  budget_.update();
  ownership_.start();
  machine_types_.load();
  heartbeats_.start();
  shard_router_.start();
  env_.after(kCountersIntervalSeconds, [this] { log_counters(); });
  revisions_.start();
}

void Node::on_client_request(const HttpRequest& request, const Responder& responder) {
  requests_.on_client_request(request, responder);
}

void Node::on_peer_request(const HttpRequest& request, const Responder& responder) {
  requests_.on_peer_request(request, responder);
}

std::size_t Node::max_client_connections(const Settings& settings) {
  constexpr int kOutgoingSockets = 80;  // for the state service, the cloud, other nodes and direct commands
  if (settings.max_sockets <= 0) return 0;
  const int remaining_sockets = settings.max_sockets - kOutgoingSockets - settings.max_sockets / 20;
  return static_cast<std::size_t>(std::max(settings.max_sockets / 2, remaining_sockets));
}

std::string Node::owner_address(int index) const {
  if (index < 0 || index >= ownership_.shard_count()) return "";
  return settings_.member_address(ownership_.owner(index).node);
}

// ---------------------------------------------------------------- contexts of the modules

Ownership::Listener Node::ownership_listener() {
  Ownership::Listener listener;
  listener.gained = [this](int shard, std::uint64_t fencing_token) { on_shard_gained(shard, fencing_token); };
  listener.lost = [this](int shard) { on_shard_lost(shard); };
  listener.owners_changed = [] {};
  return listener;
}

UserApi::Context Node::user_api_context(Capabilities capabilities) {
  UserApi::Context context;
  context.env = &env_;
  context.state = &state_;
  context.settings = &settings_;
  context.types = &machine_types_.types();
  context.ownership = &ownership_;
  context.find_active_shard = [this](int index) { return shards_.find_active(index); };
  context.supports_gangs = capabilities.supports_gangs;
  context.may_decide = [this] { return may_decide(); };
  return context;
}

ShardLeader::Context Node::leader_context(int shard, std::uint64_t fencing_token) {
  ShardLeader::Context context;
  context.env = &env_;
  context.state = &state_;
  context.settings = &settings_;
  context.types = &machine_types_.types();
  context.zones = &zones_;
  context.shard_count = ownership_.shard_count();
  context.call_leader = [this](int other, const std::string& path, const Json& body,
                               std::function<void(Json)> answer) {
    shard_router_.call_leader(other, path, body, std::move(answer));
  };
  context.owns_exclusively = [this, shard] { return owns_exclusively(shard); };
  context.may_renew_worker_leases = [this, shard] { return ownership_.may_renew_worker_leases(shard); };
  context.owner_change_revision = [this](int other) { return ownership_.owner(other).fencing_token; };
  // Both callbacks destroy the leader that calls them, so they run from a timer, after the leader's code has
  // returned.
  context.restart_shard = [this, shard, fencing_token](const std::string& why) {
    env_.after(0, [this, shard, fencing_token, why] {
      if (monitor_ != nullptr && monitor_->is_state_lost()) return;
      const ShardLeader* leader = shards_.find(shard);
      if (leader != nullptr && leader->fencing_token() == fencing_token) ownership_.restart_shard(shard, why);
    });
  };
  context.on_deposed = [this, shard](std::uint64_t newer_token) {
    env_.after(0, [this, shard, newer_token] { ownership_.on_owner_reported(shard, "", newer_token); });
  };
  context.on_state_contradiction = [this](const std::string& what) {
    if (monitor_ != nullptr) monitor_->on_contradiction(what);
  };
  context.on_job_ended = [this](const std::string& ref, const JobStatus& status) {
    user_api_.cache_terminal(ref, status);
  };
  return context;
}

Fleet::Context Node::fleet_context(std::uint64_t fencing_token) {
  Fleet::Context context;
  context.env = &env_;
  context.state = &state_;
  context.cloud = &cloud_;
  context.settings = &settings_;
  context.types = &machine_types_.types();
  context.zones = &zones_;
  context.fencing_token = fencing_token;
  context.shard_count = ownership_.shard_count();
  context.owns_exclusively = [this] { return owns_exclusively(kFleetShard); };
  // The update may restart shards and thus destroy the fleet manager, so it runs from a timer, after the code
  // of the caller has returned.
  context.on_new_types = [this](MachineTypes types) {
    env_.after(0, [this, types = std::move(types)]() mutable { machine_types_.update(std::move(types)); });
  };
  return context;
}

std::vector<OwnedShard> Node::owned_shards() const {
  std::vector<OwnedShard> owned;
  for (const auto& [index, leader] : shards_.leaders()) owned.push_back({index, leader->fencing_token()});
  return owned;
}

// ---------------------------------------------------------------- shards

void Node::on_shard_gained(int shard, std::uint64_t fencing_token) {
  budget_.update();
  if (!machine_types_.has_types()) {
    shards_waiting_for_types_[shard] = fencing_token;
    return;
  }
  shards_
      .open(shard, std::make_unique<ShardLeader>(leader_context(shard, fencing_token), shard, fencing_token))
      .load();
  if (shard == kFleetShard) shards_.open_fleet(std::make_unique<Fleet>(fleet_context(fencing_token))).start();
  heartbeats_.send();
}

void Node::on_shard_lost(int shard) {
  shards_waiting_for_types_.erase(shard);
  shards_.close(shard);
  budget_.update();
}

// Machine types are identified by their index in the list, so leaders and the fleet manager must restart to
// use the new list.
void Node::restart_all_shards() {
  for (int shard = 0; shard < ownership_.shard_count(); shard++)
    ownership_.restart_shard(shard, "the list of the cloud's machine types has changed");
}

void Node::open_waiting_shards() {
  const auto waiting = std::exchange(shards_waiting_for_types_, {});
  for (const auto& [shard, fencing_token] : waiting) {
    if (ownership_.owns(shard)) on_shard_gained(shard, fencing_token);
  }
}

// ---------------------------------------------------------------- memory and counters

NodeMemory Node::memory() const {
  NodeMemory out;
  out.shard_count = ownership_.shard_count();
  const double lease_left_s = ownership_.earliest_lease_expiry_at() - env_.now();
  for (const auto& [index, leader] : shards_.leaders()) {
    if (!ownership_.owns(index)) continue;
    ShardMemory memory;
    if (leader->active()) memory = leader->memory();
    memory.shard = index;
    memory.fencing_token = leader->fencing_token();
    memory.loaded = leader->active();
    memory.lease_left_s = lease_left_s;
    memory.worker_renewal_left_s = ownership_.worker_renewal_deadline(index) - env_.now();
    out.owned.push_back(std::move(memory));
  }
  user_api_.add_to(out);
  return out;
}

void Node::log_counters() {
  const auto& calls = state_.counters();
  spdlog::info(
      "state service: {} calls sent with {} write operations, {} requests refused by this node, {} calls "
      "answered with 429, {} unanswered",
      calls.calls, calls.writes, calls.refused_locally, calls.too_many_requests, calls.unanswered);
  for (const auto& [index, leader] : shards_.leaders()) {
    const auto& counters = leader->counters();
    spdlog::info(
        "shard {}: worker reports {}, launches {}, image fetches {}, relaunches {}, tasks completed {}, "
        "tasks delegated {}, tasks received {}, tasks returned {}, errors {}, preemptions {}, placements "
        "freed by lease expiry {}, by a new worker incarnation {}, by machine removal {}, journal writes "
        "{} with {} changes, delegations {}, quota transfers {}, jobs ended {}",
        index, counters.reports, counters.launches, counters.image_fetches, counters.relaunches,
        counters.completions, counters.tasks_delegated, counters.tasks_received, counters.tasks_returned,
        counters.errors, counters.preempted, counters.freed_by_lease, counters.freed_by_incarnation,
        counters.freed_by_removal, counters.journal_writes, counters.journal_changes, counters.delegations,
        counters.quota_transfers, counters.endings);
  }
  env_.after(kCountersIntervalSeconds, [this] { log_counters(); });
}

}  // namespace mothslip
