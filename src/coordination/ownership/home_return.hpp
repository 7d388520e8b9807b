// Returns shards to their home nodes. Once a home node has been back for long enough, the node that holds its
// shard deletes the owner key of the shard, and the home node claims it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/ownership/live_nodes.hpp"
#include "coordination/ownership/node_lease.hpp"
#include "coordination/ownership/shard_claims.hpp"
#include "coordination/ownership/shard_owners.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

class HomeReturn {
 public:
  // Called when it is unknown whether the deletion of a held shard's owner key was carried out.
  using ReleaseUnknownHandler = std::function<void(int shard, const std::string& why)>;
  // The references must outlive this object.
  HomeReturn(Env& env, StateClient& state, const Settings& settings, const NodeLease& lease,
             const LiveNodes& live_nodes, ShardOwners& owners, ShardClaims& claims,
             ReleaseUnknownHandler on_release_unknown);

  // Starts to check every few seconds for a shard to return. Returns one shard at a time.
  void start();

 private:
  void check();
  [[nodiscard]] bool should_return(int shard) const;
  void release(int shard);
  void on_released(int shard, std::uint64_t fencing_token, const StateReply& reply);

  Env& env_;
  StateClient& state_;
  const Settings& settings_;
  const NodeLease& lease_;
  const LiveNodes& live_nodes_;
  ShardOwners& owners_;
  ShardClaims& claims_;
  ReleaseUnknownHandler on_release_unknown_;
  bool is_releasing_ = false;
};

}  // namespace mothslip
