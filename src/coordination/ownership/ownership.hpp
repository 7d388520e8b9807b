// Who owns which shard: one lease per process, one key per shard held by it.
//
// The put that creates `parts/P` gives the shard's fencing token (its revision). Renewing the lease does not
// change that revision, so every owner's write guards `parts/P` with it: a late or deposed owner fails by
// itself.
//
// Ownership connects the collaborators that do the work: the lease (NodeLease), what is known of owners and
// nodes (ShardOwners, LiveNodes, kept up to date by OwnerWatch), the claims of free shards (ShardClaims) and
// the return of shards to their home (HomeReturn). All times are of the steady clock, in seconds.
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

// What a node can do that earlier versions can't. Tests have nodes behave like an earlier version.
struct Capabilities {
  bool supports_gangs = true;
};

class Ownership {
 public:
  static constexpr double kLeaseSeconds = NodeLease::kLeaseSeconds;  // a node's lease in the state service
  using Listener = ShardOwners::Listener;

  // `monitor`: null when nobody watches for lost state. All must outlive the ownership.
  Ownership(Env& env, StateClient& state, const Settings& settings, Capabilities capabilities,
            Listener listener, StateMonitor* monitor = nullptr);
  ~Ownership() = default;
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  void start();
  // 0 until `meta` has been read.
  [[nodiscard]] int shard_count() const { return owners_.count(); }
  [[nodiscard]] const ShardOwner& owner(int shard) const { return owners_.at(shard).owner; }
  [[nodiscard]] bool owns(int shard) const { return owners_.at(shard).held(); }
  [[nodiscard]] int held_count() const { return owners_.held_count(); }
  // Of the record `meta` as last read. What is written on the condition that it has not changed cannot come
  // after a rebuilding of lost records has begun.
  [[nodiscard]] std::uint64_t meta_revision() const { return meta_revision_; }
  // By this node's own clock, drift allowed: nobody else can own what it owns before this time.
  [[nodiscard]] double lease_valid_until() const { return lease_.valid_until(); }
  [[nodiscard]] bool is_lease_valid() const { return lease_.is_valid(); }
  // Nobody else can own this shard now: the lease is good, and the shard is not being given away.
  [[nodiscard]] bool owns_exclusively(int shard) const;
  // When this node's lease in the state service may have ended at the earliest, by its clock.
  [[nodiscard]] double earliest_lease_expiry_at() const { return lease_.earliest_expiry_at(); }
  // A node that is known to live has said nothing of gangs: it is of an earlier version.
  [[nodiscard]] bool has_live_node_without_gangs() const { return live_nodes_.has_live_node_without_gangs(); }
  // At that moment no other node had heard anything from the state service since the end of this node's
  // lease: nobody can have replaced it, or told a user anything, by then.
  void confirm_not_replaced(double confirmed_at) { lease_.confirm_not_replaced(confirmed_at); }
  // May this shard's workers be given new leases (NodeLease::renew_deadline)?
  [[nodiscard]] bool may_renew_worker_leases(int shard) const {
    return env_.now() < worker_renewal_deadline(shard);
  }
  // The moment from which on they may not.
  [[nodiscard]] double worker_renewal_deadline(int shard) const;
  // Anything unexpected about a shard's records: give it up and load it anew under a new fencing token.
  void restart_shard(int shard, const std::string& why);
  // Another node was heard of holding the shard with this fencing token.
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
  std::string boot_id_;  // tells this process from an earlier one of the same node
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
