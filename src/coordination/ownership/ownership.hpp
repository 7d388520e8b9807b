// Who owns which shard: one lease per process, one key per shard held by it.
//
// The put that creates `parts/P` gives the shard's fencing token (its revision). Renewing the lease does not
// change that revision, so every owner's write guards `parts/P` with it: a late or deposed owner fails by
// itself.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/state/state_client.hpp"

namespace mothslip {

struct ShardOwner {
  std::string node;  // empty: nobody known
  std::uint64_t fencing_token = 0;
};

// What a node can do that earlier versions can't. Tests have nodes behave like an earlier version.
struct Capabilities {
  bool gangs = true;
};

class Ownership {
 public:
  static constexpr double kLeaseSeconds = 4.0;  // a node's lease in the state service
  struct Listener {
    std::function<void(int shard, std::uint64_t fencing_token)> gained;
    std::function<void(int shard)> lost;
    std::function<void()> owners_changed;
  };
  Ownership(Env& env, StateClient& state, const Settings& settings, Capabilities capabilities,
            Listener listener, StateMonitor* monitor = nullptr);

  void start();
  [[nodiscard]] int shard_count() const { return static_cast<int>(owners_.size()); }
  [[nodiscard]] const ShardOwner& owner(int shard) const { return owners_[static_cast<std::size_t>(shard)]; }
  [[nodiscard]] bool mine(int shard) const { return held_[static_cast<std::size_t>(shard)] != 0; }
  [[nodiscard]] int held_count() const;
  // Of the record `meta` as last read. What is written on the condition that it has not changed cannot come
  // after a rebuilding of lost records has begun.
  [[nodiscard]] std::uint64_t meta_revision() const { return meta_revision_; }
  // By our own clock, drift allowed: nobody else can own what we own before this time.
  [[nodiscard]] double valid_until() const { return valid_until_; }
  [[nodiscard]] bool valid() const { return env_.now() < valid_until_; }
  // Nobody else can own this shard now: our lease is good, and we are not giving the shard away.
  [[nodiscard]] bool exclusive(int shard) const;
  // When our lease in the state service may have ended at the earliest, by our clock.
  [[nodiscard]] double lease_end() const { return lease_end_; }
  // At that moment of our clock no other node had heard anything from the state service since the end of our
  // lease: nobody can have replaced us, or told a user anything, by then.
  // A node that is known to live has said nothing of gangs: it is of an earlier version.
  [[nodiscard]] bool earlier_version_alive() const;
  void note_unreplaced(double moment) { unreplaced_at_ = std::max(unreplaced_at_, moment); }
  // May this shard's workers be given new leases? Somebody may have replaced us without our knowing and have
  // confirmed cancellations since; the tasks must be gone within cancel_s of that, so a lease that we give
  // must end by then.
  [[nodiscard]] bool may_renew(int shard) const { return env_.now() < renew_deadline(shard); }
  // The moment of our clock from which on we may not.
  [[nodiscard]] double renew_deadline(int shard) const;
  // Anything unexpected about a shard's records: give it up and load it anew under a new fencing token.
  void restart_shard(int shard, const std::string& why);
  // Another node was heard of holding the shard with this fencing token.
  void heard(int shard, const std::string& node, std::uint64_t fencing_token);

 private:
  void read_meta();
  void write_meta();
  void open_lease();
  void renew();
  void renew_lease(double asked);
  void lease_missing();
  void give_up(int shard, std::uint64_t fencing_token, const std::string& why);
  [[nodiscard]] bool same_incarnation(const StateReply& meta);
  void renewed(double asked);
  void lease_lost(const char* why);
  void read_shards();
  void watch_shards();
  struct Sight {
    std::string node;  // empty: the key is gone
    std::string boot;
    std::uint64_t revision = 0;
  };
  void see(int shard, const Sight& sight);
  void consider(int shard);
  void announce();
  void see_node(const std::string& node, const Json& announced);
  void send_home();
  [[nodiscard]] std::vector<std::string> order_of(int shard) const;
  void claim(int shard, std::uint64_t revision);
  void lose(int shard, const char* why);
  [[nodiscard]] double claim_delay(int shard) const;

  Env& env_;
  StateClient& state_;
  const Settings& settings_;
  Capabilities capabilities_;
  Listener listener_;
  StateMonitor* monitor_;  // null: nobody watches for lost state
  std::string boot_;       // tells this process from an earlier one of the same node
  std::vector<ShardOwner> owners_;
  std::vector<std::string> owner_boots_;
  std::vector<std::uint64_t> held_;  // our fencing token, 0: not ours
  std::vector<bool> claiming_;
  struct LiveNode {
    double since = 0;    // by our clock
    bool gangs = false;  // it can run them
  };
  std::map<std::string, LiveNode> live_nodes_;  // those whose announcement is there
  std::uint64_t lease_id_ = 0;                  // 0: no lease
  double valid_until_ = 0;
  double lease_end_ = 0;
  double unreplaced_at_ = 0;          // nobody had replaced us at this moment of our clock
  std::vector<double> release_sent_;  // by shard: a deletion of our key is under way since; 0: none
  std::uint64_t watched_ = 0;
  std::uint64_t meta_revision_ = 0;
  bool reading_ = false;
  bool watching_ = false;
  bool releasing_ = false;
  bool shards_read_ = false;  // before, a shard without a known owner may well have one
};

}  // namespace mothslip
