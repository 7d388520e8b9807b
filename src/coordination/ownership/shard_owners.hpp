// Who owns which shard, as far as this node knows, and which shards it owns itself.
//
// Facts about a shard's owner are dated by the revision at which they held: the fencing token of the owner,
// or the revision at which there was none. What is older than what is known already changes nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/state/state_monitor.hpp"

namespace mothslip {

struct ShardOwner {
  std::string node;  // empty: nobody known
  std::uint64_t fencing_token = 0;
};

class ShardOwners {
 public:
  struct Listener {
    std::function<void(int shard, std::uint64_t fencing_token)> gained;
    std::function<void(int shard)> lost;
    std::function<void()> owners_changed;
  };
  struct Shard {
    ShardOwner owner;
    std::uint64_t held_token = 0;           // this node's fencing token; 0: the shard is not its own
    bool claiming = false;                  // a claim is under way
    std::optional<double> release_sent_at;  // since when a deletion of this node's key has been under way

    [[nodiscard]] bool held() const { return held_token != 0; }
  };

  // `monitor`: null when nobody watches for lost state; it must outlive the table.
  ShardOwners(StateMonitor* monitor, Listener listener);

  void resize(int count) { shards_.resize(static_cast<std::size_t>(count)); }
  [[nodiscard]] int count() const { return static_cast<int>(shards_.size()); }
  [[nodiscard]] int held_count() const;
  [[nodiscard]] const Shard& at(int shard) const { return shards_[static_cast<std::size_t>(shard)]; }
  [[nodiscard]] Shard& at(int shard) { return shards_[static_cast<std::size_t>(shard)]; }

  // The state service said that at `revision` the shard's key belonged to `node` (empty: was not there). True
  // when that is news; the shard may be free to be claimed then.
  [[nodiscard]] bool update_from_state(int shard, const std::string& node, std::uint64_t revision);
  // Another node was heard of holding the shard with this fencing token.
  void update_from_report(int shard, const std::string& node, std::uint64_t fencing_token);
  // This node owns the shard from now on; `how` goes to the log.
  void gain(int shard, const std::string& node, std::uint64_t fencing_token, const char* how);
  // Drops the shard, if it is held. (Not once state is known to be lost: what it knows is needed to rebuild.)
  void lose(int shard, const char* why);
  void lose_all(const char* why);
  // This node has deleted its key, at that revision: the shard has no owner.
  void release(int shard, std::uint64_t revision);

 private:
  StateMonitor* monitor_;
  Listener listener_;
  std::vector<Shard> shards_;
};

}  // namespace mothslip
