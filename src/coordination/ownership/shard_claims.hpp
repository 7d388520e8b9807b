// Takes shards that have no owner, and those that an earlier process of this node still holds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/ownership/node_lease.hpp"
#include "coordination/ownership/shard_owners.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

// The nodes in the order in which they take a shard: its home first. The same on every node.
[[nodiscard]] std::vector<std::string> claim_order(const Settings& settings, int shard);

class ShardClaims {
 public:
  // `boot` tells this process from others of the same node. All must outlive the claims.
  ShardClaims(Env& env, StateClient& state, const Settings& settings, std::string boot_id,
              const NodeLease& lease, ShardOwners& owners);

  // The owners of all shards have been read. Before, nothing is claimed: a shard without a known owner may
  // well have one.
  void on_owners_read();
  // The state service said that at `revision` the shard's key belonged to `node` (empty: was not there).
  void on_owner_read(int shard, const std::string& node, std::uint64_t revision);
  // Claims the shard if it is to be had, at once or after this node's turn.
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
