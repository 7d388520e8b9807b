// One controller: wires its modules together. It opens a leader for each shard that it comes to own, and
// closes it when the shard is lost; everything else is left to the modules.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/node/call_budget.hpp"
#include "coordination/node/local_shards.hpp"
#include "coordination/node/machine_type_catalog.hpp"
#include "coordination/node/node_memory.hpp"
#include "coordination/node/peer_heartbeats.hpp"
#include "coordination/node/report_relay.hpp"
#include "coordination/node/request_router.hpp"
#include "coordination/node/revision_probe.hpp"
#include "coordination/node/shard_router.hpp"
#include "coordination/node/user_api.hpp"
#include "coordination/node/worker_reports.hpp"
#include "coordination/ownership/ownership.hpp"
#include "transport/http.hpp"

namespace mothslip {

class Node {
 public:
  // Largest request bodies, in bytes: of users and workers as the protocol says; of other nodes by need. (A
  // shard's summary names all its machines, at some 180 bytes each: with 350 of them it is over 64 KiB, and
  // turned down unseen the fleet would hear nothing of the shard and rent nothing for it.)
  static constexpr std::size_t kMaxClientBodyBytes = std::size_t{64} * 1024;
  static constexpr std::size_t kMaxPeerBodyBytes = std::size_t{2} * 1024 * 1024;
  // How many of the process's sockets users and workers may use: one node may have to serve all of them.
  // 0: no bound.
  static std::size_t max_client_connections(const Settings& settings);

  // `env` must outlive the node; callbacks that it still holds when the node ends must not be run (recovery
  // uses a ScopedEnv for that). `monitor` is told what contradicts the state service's earlier answers; null:
  // nobody watches for that.
  Node(Env& env, Settings settings, Capabilities capabilities = {}, Incarnation incarnation = {},
       StateMonitor* monitor = nullptr);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // To be called once, before any request is passed in.
  void start();
  // For so long from now nothing is started, and nothing told but what is final: workers are only heard, and
  // kept from losing their leases. For a process that cannot yet know whether the records it reads are
  // recent.
  void suspend_decisions(double duration_s) { decisions_resume_at_ = env_.now() + duration_s; }

  // A request that came in at the address for users and workers, and one from another controller.
  void on_client_request(const HttpRequest& request, const Responder& responder);
  void on_peer_request(const HttpRequest& request, const Responder& responder);

  // The leader of the shard, loaded or not; null where this node does not own the shard.
  [[nodiscard]] const ShardLeader* shard(int index) const { return shards_.find(index); }
  // The same, but only once it knows its records.
  [[nodiscard]] ShardLeader* owned_shard(int index) { return shards_.find_active(index); }
  // The peer address of the controller that is known to own the shard; empty where none is.
  [[nodiscard]] std::string owner_address(int index) const;
  // The number of shards in the cluster; 0: not known yet.
  [[nodiscard]] int shard_count() const { return ownership_.shard_count(); }
  [[nodiscard]] const StateClient& state() const { return state_; }
  // All that this node knows and the state service may not: taken when state was lost.
  [[nodiscard]] NodeMemory memory() const;
  // A terminal state that is durable, from before this node was started.
  void cache_terminal(const std::string& ref, const JobStatus& status) {
    user_api_.cache_terminal(ref, status);
  }

 private:
  // What the modules are given, where that takes more than references.
  [[nodiscard]] Ownership::Listener ownership_listener();
  [[nodiscard]] UserApi::Context user_api_context(Capabilities capabilities);
  [[nodiscard]] ShardLeader::Context leader_context(int shard, std::uint64_t fencing_token);
  [[nodiscard]] Fleet::Context fleet_context(std::uint64_t fencing_token);
  [[nodiscard]] std::vector<OwnedShard> owned_shards() const;

  void on_shard_gained(int shard, std::uint64_t fencing_token);
  void on_shard_lost(int shard);
  void restart_all_shards();
  void open_waiting_shards();
  void log_counters();
  [[nodiscard]] bool may_decide() const { return env_.now() >= decisions_resume_at_; }
  [[nodiscard]] bool owns_exclusively(int shard) const {
    return may_decide() && ownership_.owns_exclusively(shard);
  }

  Env& env_;
  Settings settings_;
  StateMonitor* monitor_;
  double decisions_resume_at_ = 0;  // by the clock of `env_`; before, the node is held back
  NameTable zones_;
  StateClient state_;
  CloudClient cloud_;
  MachineTypeCatalog machine_types_;
  Ownership ownership_;
  CallBudget budget_;
  RevisionProbe revisions_;
  UserApi user_api_;
  ReportRelay relay_;
  LocalShards shards_;
  ShardRouter shard_router_;
  PeerHeartbeats heartbeats_;
  WorkerReports worker_reports_;
  RequestRouter requests_;
  // Shards that were gained before any machine type was known, and their fencing tokens.
  std::map<int, std::uint64_t> shards_waiting_for_types_;
};

}  // namespace mothslip
