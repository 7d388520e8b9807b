// The leaders of the shards that this node owns, and the fleet manager if it owns kFleetShard.
#pragma once

#include <map>
#include <memory>

#include "coordination/fleet/fleet.hpp"
#include "coordination/shard/shard_leader.hpp"

namespace mothslip {

// The owner of this shard manages the fleet.
inline constexpr int kFleetShard = 0;

class LocalShards {
 public:
  using Leaders = std::map<int, std::unique_ptr<ShardLeader>>;

  // Returns the leaders by shard, including those that have not loaded their records yet.
  [[nodiscard]] const Leaders& leaders() const { return leaders_; }
  // Returns the leader of the shard; null if this node does not own the shard.
  [[nodiscard]] ShardLeader* find(int shard) const {
    const auto it = leaders_.find(shard);
    return it == leaders_.end() ? nullptr : it->second.get();
  }
  // Like `find`, but also null until the leader has loaded its records.
  [[nodiscard]] ShardLeader* find_active(int shard) const {
    ShardLeader* leader = find(shard);
    return leader != nullptr && leader->active() ? leader : nullptr;
  }
  // Returns null if this node does not own kFleetShard.
  [[nodiscard]] Fleet* fleet() const { return fleet_.get(); }

  // Replaces any earlier leader of the shard.
  ShardLeader& open(int shard, std::unique_ptr<ShardLeader> leader) {
    leaders_[shard] = std::move(leader);
    return *leaders_[shard];
  }
  // Replaces any earlier fleet manager.
  Fleet& open_fleet(std::unique_ptr<Fleet> fleet) {
    fleet_ = std::move(fleet);
    return *fleet_;
  }
  // Destroys the leader of the shard and, for kFleetShard, the fleet manager.
  void close(int shard) {
    if (shard == kFleetShard) fleet_.reset();
    leaders_.erase(shard);
  }

 private:
  Leaders leaders_;
  std::unique_ptr<Fleet> fleet_;  // destroyed before the leaders
};

}  // namespace mothslip
