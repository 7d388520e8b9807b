// Determines which node owns which shard. Each process has one lease, and each shard that it owns has one key
// attached to that lease.
//
// The put that creates `parts/P` has the shard's fencing token as its revision. Renewing the lease does not
// change that revision, so every write of an owner guards `parts/P` with it. The writes of a late or deposed
// owner therefore fail.
//
// Ownership connects the classes that do the work: the lease (NodeLease), the known owners and live nodes
// (ShardOwners and LiveNodes, kept up to date by OwnerWatch), the claims of free shards (ShardClaims) and the
// return of shards to their home nodes (HomeReturn). All times are of the steady clock, in seconds.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/ownership/home_return.hpp"
#include "coordination/ownership/incarnation_check.hpp"
#include "coordination/ownership/live_nodes.hpp"
#include "coordination/ownership/node_lease.hpp"
#include "coordination/ownership/owner_watch.hpp"
#include "coordination/ownership/shard_claims.hpp"
#include "coordination/ownership/shard_owners.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

// Features that nodes of earlier versions lack. Tests disable them to make a node behave like an earlier
// version.
struct Capabilities {
  bool supports_gangs = true;
};

class Ownership {
 public:
  // The term of a node's lease in the state service.
  static constexpr double kLeaseSeconds = NodeLease::kLeaseSeconds;
  using Listener = ShardOwners::Listener;

  // `monitor` is null if this node does not monitor for lost state. The references and the monitor must
  // outlive this object.
  Ownership(Env& env, StateClient& state, const Settings& settings, Capabilities capabilities,
            Listener listener, StateMonitor* monitor = nullptr);
  ~Ownership() = default;
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  void start();
  // Returns the number of shards; 0 until `meta` has been read.
  [[nodiscard]] int shard_count() const { return owners_.count(); }
  [[nodiscard]] const ShardOwner& owner(int shard) const { return owners_.at(shard).owner; }
  [[nodiscard]] bool owns(int shard) const { return owners_.at(shard).is_held(); }
  [[nodiscard]] int held_count() const { return owners_.held_count(); }
  // Returns the revision of the record `meta` as last read. A transaction that guards `meta` with it cannot
  // be executed after a rebuild of lost records has started.
  [[nodiscard]] std::uint64_t meta_revision() const { return meta_revision_; }
  // Before this time, by this node's clock with an allowance for drift, no other node can own its shards.
  [[nodiscard]] double lease_valid_until() const { return lease_.valid_until(); }
  [[nodiscard]] bool is_lease_valid() const { return lease_.is_valid(); }
  // Returns true if no other node can own this shard now: this node owns it, its lease is valid, and it is
  // not releasing the shard.
  [[nodiscard]] bool owns_exclusively(int shard) const;
  // Returns the earliest time, by this node's clock, at which its lease may have ended in the state service.
  [[nodiscard]] double earliest_lease_expiry_at() const { return lease_.earliest_expiry_at(); }
  // Returns true if a live node does not announce support for gangs because it runs an earlier version.
  [[nodiscard]] bool has_live_node_without_gangs() const { return live_nodes_.has_live_node_without_gangs(); }
  // Records that at `confirmed_at` no other node had received an answer from the state service since the end
  // of this node's lease. No node can have replaced this one, or have answered a user in its place, by then.
  void confirm_not_replaced(double confirmed_at) { lease_.confirm_not_replaced(confirmed_at); }
  // Returns true if this shard's workers may be given new leases (NodeLease::worker_renewal_deadline).
  [[nodiscard]] bool may_renew_worker_leases(int shard) const {
    return env_.now() < worker_renewal_deadline(shard);
  }
  // Returns the time from which this shard's workers may not be given new leases.
  [[nodiscard]] double worker_renewal_deadline(int shard) const;
  // Gives up a shard whose records are in an unexpected state, and claims it again, so that it is loaded
  // again under a new fencing token.
  void restart_shard(int shard, const std::string& why);
  // Records a report that another process holds the shard with this fencing token. `node` is empty if only
  // the token is known. A token that is not newer than the known one is ignored.
  void on_owner_reported(int shard, const std::string& node, std::uint64_t fencing_token);

 private:
  void read_meta();
  void on_meta(const StateReply& reply);
  void write_meta();
  void on_lease_opened();
  void announce();
  void give_up(int shard, std::uint64_t fencing_token, const std::string& why);

  Env& env_;
  StateClient& state_;
  const Settings& settings_;
  Capabilities capabilities_;
  StateMonitor* monitor_;
  std::string boot_id_;  // distinguishes this process from earlier ones of the same node
  IncarnationCheck incarnation_check_;
  NodeLease lease_;
  LiveNodes live_nodes_;
  ShardOwners owners_;
  ShardClaims claims_;
  OwnerWatch watch_;
  HomeReturn home_return_;
  std::uint64_t meta_revision_ = 0;
};

}  // namespace mothslip
