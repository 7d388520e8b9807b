// Returns shards to their home: once a node that was away is steady, the holder deletes the shard's key and
// the home claims it.
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
  // The deletion of a held shard's key may or may not have been carried out.
  using ReleaseUnknownHandler = std::function<void(int shard, const std::string& why)>;
  // All must outlive this.
  HomeReturn(Env& env, StateClient& state, const Settings& settings, const NodeLease& lease,
             const LiveNodes& live_nodes, ShardOwners& owners, ShardClaims& claims,
             ReleaseUnknownHandler on_release_unknown);

  // From now on looks every few seconds for a shard to return; one at a time.
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
  bool releasing_ = false;
};

}  // namespace mothslip
