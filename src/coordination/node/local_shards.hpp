// The shards that this node owns, and the fleet manager where it owns kFleetShard.
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

  // By shard. A leader that has not loaded its records yet is among them.
  [[nodiscard]] const Leaders& leaders() const { return leaders_; }
  // The leader of the shard; null where this node does not own it.
  [[nodiscard]] ShardLeader* find(int shard) const {
    const auto it = leaders_.find(shard);
    return it == leaders_.end() ? nullptr : it->second.get();
  }
  // Likewise, but only once it knows its records.
  [[nodiscard]] ShardLeader* find_active(int shard) const {
    ShardLeader* leader = find(shard);
    return leader != nullptr && leader->active() ? leader : nullptr;
  }
  // Null where this node does not own kFleetShard.
  [[nodiscard]] Fleet* fleet() const { return fleet_.get(); }

  // Replaces an earlier leader of the shard.
  ShardLeader& open(int shard, std::unique_ptr<ShardLeader> leader) {
    leaders_[shard] = std::move(leader);
    return *leaders_[shard];
  }
  // Replaces an earlier one.
  Fleet& open_fleet(std::unique_ptr<Fleet> fleet) {
    fleet_ = std::move(fleet);
    return *fleet_;
  }
  // Ends the leader of the shard, and with that of kFleetShard the fleet manager.
  void close(int shard) {
    if (shard == kFleetShard) fleet_.reset();
    leaders_.erase(shard);
  }

 private:
  Leaders leaders_;
  std::unique_ptr<Fleet> fleet_;  // ends before the leaders
};

}  // namespace mothslip
