// One controller: wires the actors together and routes what comes in.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/fleet/fleet.hpp"
#include "coordination/node/node_memory.hpp"
#include "coordination/node/report_relay.hpp"
#include "coordination/node/user_api.hpp"
#include "coordination/ownership/ownership.hpp"
#include "coordination/shard/shard_leader.hpp"
#include "transport/http.hpp"

namespace mothslip {

class Node {
 public:
  // Largest request bodies: of users and workers as the protocol says; of other nodes by need. (A shard's
  // summary names all its machines, at some 180 bytes each: with 350 of them it is over 64 KiB, and turned
  // down unseen the fleet would hear nothing of the shard and rent nothing for it.)
  static constexpr std::size_t kMaxClientBody = std::size_t{64} * 1024;
  static constexpr std::size_t kMaxPeerBody = std::size_t{2} * 1024 * 1024;
  // Of the sockets, what users and workers may use: one node may have to bear everybody's.
  static std::size_t max_client_connections(const Settings& settings);

  // `monitor` is told what contradicts the state service's earlier answers; null: nobody watches for that.
  Node(Env& env, Settings settings, Capabilities capabilities = {}, Incarnation incarnation = {},
       StateMonitor* monitor = nullptr);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void start();
  // For so long from now nothing is started, and nothing told but what is final: workers are only heard, and
  // kept from losing their leases. For a process that cannot yet know whether the records it reads are
  // recent.
  void hold_back(double seconds) { decides_from_ = env_.now() + seconds; }
  void on_client_request(const HttpRequest& request, const Responder& responder);
  void on_peer_request(const HttpRequest& request, const Responder& responder);

  [[nodiscard]] const ShardLeader* shard(int index) const;
  [[nodiscard]] const StateClient& state() const { return state_; }
  [[nodiscard]] int shards() const { return ownership_.shard_count(); }
  // All that this node knows and the state service may not: taken when state was lost.
  [[nodiscard]] NodeMemory memory() const;
  void note_terminal(const std::string& ref, const JobStatus& status) {
    user_api_.note_terminal(ref, status);
  }
  // The shard, if we own it and know its records; else the address of the controller that is known to own it,
  // or nothing.
  [[nodiscard]] ShardLeader* owned_shard(int index);
  [[nodiscard]] std::string owner_address(int index) const;

 private:
  void load_types();
  void load_split_types();
  void fetch_types();
  void save_types();
  void take_types(MachineTypes types, bool save);
  void gained(int shard, std::uint64_t fencing_token);
  void lost(int shard);
  void open_shard(int shard);
  void share_calls();
  void beat();
  void tell_peers();
  void on_silence_reply(double asked, const std::shared_ptr<std::size_t>& silent_nodes,
                        const HttpReply& reply);
  void report_to_fleet();
  void ask(int shard, const std::string& path, const Json& body, std::function<void(Json)> answer);
  void on_peer(const HttpRequest& request, const Responder& responder);
  [[nodiscard]] std::string address_of(const std::string& node) const;
  void on_users(const HttpRequest& request, bool forwarded, const Responder& responder);
  // `relayed`: another node received it. Such a report is answered at once, or not at all.
  void on_hello(const HttpRequest& request, bool relayed, const Responder& responder);
  void serve_elsewhere(int index, const Report& report, const HttpRequest& request,
                       const Responder& responder);
  void relay_report(const std::string& owner, const HttpRequest& request, const Responder& responder);
  void on_beat(const HttpRequest& request, const Responder& responder);
  void log_counters();
  void probe_revision();
  void check_token(std::uint64_t token);
  [[nodiscard]] bool decides() const { return env_.now() >= decides_from_; }

  Env& env_;
  Settings settings_;
  StateMonitor* monitor_;
  bool checking_token_ = false;
  double decides_from_ = 0;
  MachineTypes types_;
  NameTable zones_;
  StateClient state_;
  CloudClient cloud_;
  Ownership ownership_;
  UserApi user_api_;
  ReportRelay relay_;
  std::map<int, std::unique_ptr<ShardLeader>> shards_;
  std::unique_ptr<Fleet> fleet_;
  std::map<int, std::uint64_t> waiting_for_types_;
};

}  // namespace mothslip
