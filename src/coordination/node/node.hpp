// One controller. Connects its modules: it opens a leader for each shard that it gains and closes the leader
// when the shard is lost. The modules do everything else.
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
  // The largest request bodies that are accepted. The protocol sets the limit for users and workers. The
  // limit for other nodes is larger because the summary of a shard names all its machines, at some 180 bytes
  // each: with 350 machines it exceeds 64 KiB. If such a summary were rejected, the fleet would receive
  // nothing from the shard and rent nothing for it.
  static constexpr std::size_t kMaxClientBodyBytes = std::size_t{64} * 1024;
  static constexpr std::size_t kMaxPeerBodyBytes = std::size_t{2} * 1024 * 1024;
  // Returns the number of sockets that users and workers may use; 0 means no limit. The number is large
  // because one node may have to serve all users and workers.
  static std::size_t max_client_connections(const Settings& settings);

  // `env` must outlive the node. Callbacks that `env` still holds when the node is destroyed must not be run
  // (recovery uses a ScopedEnv for that). `monitor` is notified of everything that contradicts earlier
  // answers of the state service. It is null if this node does not monitor for lost state.
  Node(Env& env, Settings settings, Capabilities capabilities = {}, Incarnation incarnation = {},
       StateMonitor* monitor = nullptr);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Must be called once, before the first request is passed to the node.
  void start();
  // For this time, the node starts nothing and reports only terminal states to users. It still accepts
  // workers' reports and renews their leases. This is for a process that cannot know yet whether the records
  // that it reads are recent.
  void suspend_decisions(double duration_s) { decisions_resume_at_ = env_.now() + duration_s; }

  // Handle requests that arrived at the client address (users and workers) and at the peer address (other
  // controllers).
  void on_client_request(const HttpRequest& request, const Responder& responder);
  void on_peer_request(const HttpRequest& request, const Responder& responder);

  // Returns the leader of the shard, even if it has not loaded its records yet; null if this node does not
  // own the shard.
  [[nodiscard]] const ShardLeader* shard(int index) const { return shards_.find(index); }
  // Like `shard`, but also null until the leader has loaded its records.
  [[nodiscard]] ShardLeader* owned_shard(int index) { return shards_.find_active(index); }
  // Returns the peer address of the known owner of the shard; empty if no owner is known.
  [[nodiscard]] std::string owner_address(int index) const;
  // Returns the number of shards in the cluster; 0 until it is known.
  [[nodiscard]] int shard_count() const { return ownership_.shard_count(); }
  [[nodiscard]] const StateClient& state() const { return state_; }
  // Returns everything that this node knows and the state service may not. It is collected after state was
  // lost.
  [[nodiscard]] NodeMemory memory() const;
  // Caches a durable terminal state that was reached before this node was started.
  void cache_terminal(const std::string& ref, const JobStatus& status) {
    user_api_.cache_terminal(ref, status);
  }

 private:
  // Build what the modules need, if it is more than references.
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
  double decisions_resume_at_ = 0;  // by the clock of `env_`; until then, decisions are suspended
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
  // Shards that were gained before any machine type was known, with their fencing tokens.
  std::map<int, std::uint64_t> shards_waiting_for_types_;
};

}  // namespace mothslip
