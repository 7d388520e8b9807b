// The table of shard owners that are known to this node, and of the shards that it owns itself.
//
// Each entry carries the revision at which it was true: the fencing token of the owner, or the revision at
// which the shard had no owner. Information that is older than the entry is ignored.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/state/state_monitor.hpp"

namespace mothslip {

struct ShardOwner {
  std::string node;  // empty if no owner is known
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
    std::uint64_t held_token = 0;  // this node's fencing token; 0 if it does not own the shard
    bool is_claiming = false;      // a claim by this node is in progress
    // When this node sent the deletion of its owner key, if the deletion is in progress.
    std::optional<double> release_sent_at;

    [[nodiscard]] bool is_held() const { return held_token != 0; }
  };

  // `monitor` is null if this node does not monitor for lost state; otherwise it must outlive the table.
  ShardOwners(StateMonitor* monitor, Listener listener);

  void resize(int count) { shards_.resize(static_cast<std::size_t>(count)); }
  [[nodiscard]] int count() const { return static_cast<int>(shards_.size()); }
  [[nodiscard]] int held_count() const;
  [[nodiscard]] const Shard& at(int shard) const { return shards_[static_cast<std::size_t>(shard)]; }
  [[nodiscard]] Shard& at(int shard) { return shards_[static_cast<std::size_t>(shard)]; }

  // Records that, according to the state service, the shard's key at `revision` belonged to `node` or did not
  // exist (empty `node`). Returns true if that changes the entry; the shard may be available then.
  [[nodiscard]] bool update_from_state(int shard, const std::string& node, std::uint64_t revision);
  // Records a report that another process holds the shard with this fencing token. `node` is empty if only
  // the token is known. A token that is not newer than the known one is ignored.
  void update_from_report(int shard, const std::string& node, std::uint64_t fencing_token);
  // Records that this node owns the shard from now on. `log_suffix` is appended to the log line.
  void gain(int shard, const std::string& node, std::uint64_t fencing_token, const char* log_suffix);
  // Drops the shard if this node holds it. Does nothing once a loss of state has been detected, because the
  // rebuild needs the shard's state.
  void lose(int shard, const char* why);
  void lose_all(const char* why);
  // Records that this node deleted its owner key at `revision`, so that the shard has no owner.
  void release(int shard, std::uint64_t revision);

 private:
  StateMonitor* monitor_;
  Listener listener_;
  std::vector<Shard> shards_;
};

}  // namespace mothslip
