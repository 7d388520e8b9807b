// Claims shards that have no owner, and shards that an earlier process of this node still holds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/ownership/node_lease.hpp"
#include "coordination/ownership/shard_owners.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

// Returns the nodes in the order in which they claim a shard, its home node first. The order is the same on
// every node.
[[nodiscard]] std::vector<std::string> claim_order(const Settings& settings, int shard);

class ShardClaims {
 public:
  // `boot_id` distinguishes this process from others of the same node. The references must outlive this
  // object.
  ShardClaims(Env& env, StateClient& state, const Settings& settings, std::string boot_id,
              const NodeLease& lease, ShardOwners& owners);

  // Called once the owners of all shards have been read. No shard is claimed before that, because a shard
  // without a known owner may have one.
  void on_owners_read();
  // Called when the state service reports that at `revision` the shard's key belonged to `node`, or did not
  // exist (empty `node`).
  void on_owner_read(int shard, const std::string& node, std::uint64_t revision);
  // Claims the shard if it is available: immediately if an earlier process of this node holds it, otherwise
  // after this node's claim delay.
  void try_claim(int shard);
  void try_claim_all();

 private:
  [[nodiscard]] bool may_claim(int shard) const;
  [[nodiscard]] double claim_delay_s(int shard) const;
  void claim(int shard, std::uint64_t revision);
  void read_key(int shard, std::uint64_t lease_id);
  void on_key_read(int shard, std::uint64_t lease_id, const StateReply& reply);

  Env& env_;
  StateClient& state_;
  const Settings& settings_;
  std::string boot_id_;
  const NodeLease& lease_;
  ShardOwners& owners_;
  bool owners_read_ = false;
};

}  // namespace mothslip
