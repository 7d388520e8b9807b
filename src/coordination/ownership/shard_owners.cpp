#include "coordination/ownership/shard_owners.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

ShardOwners::ShardOwners(StateMonitor* monitor, Listener listener)
    : monitor_(monitor), listener_(std::move(listener)) {}

int ShardOwners::held_count() const {
  return static_cast<int>(
      std::count_if(shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.is_held(); }));
}

// Older information is ignored, so that this node does not lose a shard that it has just claimed: the answer
// to a claim can arrive before the watch reports earlier changes.
bool ShardOwners::update_from_state(int shard, const std::string& node, std::uint64_t revision) {
  Shard& entry = at(shard);
  if (revision < entry.owner.fencing_token) return false;
  if (monitor_ != nullptr && node == kRebuiltOwner) {
    monitor_->on_other_incarnation();
    return false;
  }
  if (entry.is_held()) {
    if (node.empty()) {
      lose(shard, "its owner key was deleted");
    } else if (revision > entry.held_token) {
      lose(shard, "another process has claimed it");
    }
  }
  const bool changed = entry.owner.node != node || entry.owner.fencing_token != revision;
  entry.owner = {node, revision};
  if (changed) listener_.owners_changed();
  return changed;
}

void ShardOwners::update_from_report(int shard, const std::string& node, std::uint64_t fencing_token) {
  if (shard < 0 || shard >= count()) return;
  Shard& entry = at(shard);
  if (fencing_token <= entry.owner.fencing_token) return;
  if (entry.is_held()) lose(shard, "a newer owner was reported");
  entry.owner = {node, fencing_token};
  listener_.owners_changed();
}

void ShardOwners::gain(int shard, const std::string& node, std::uint64_t fencing_token,
                       const char* log_suffix) {
  Shard& entry = at(shard);
  entry.held_token = fencing_token;
  entry.owner = {node, fencing_token};
  spdlog::info("shard {}: ownership gained, fencing token {}{}", shard, fencing_token, log_suffix);
  listener_.gained(shard, fencing_token);
  listener_.owners_changed();
}

void ShardOwners::lose(int shard, const char* why) {
  Shard& entry = at(shard);
  if (!entry.is_held()) return;
  if (monitor_ != nullptr && monitor_->is_state_lost()) return;
  spdlog::info("shard {}: ownership lost, fencing token {}: {}", shard, entry.held_token, why);
  entry.held_token = 0;
  listener_.lost(shard);
}

void ShardOwners::lose_all(const char* why) {
  for (int shard = 0; shard < count(); shard++) lose(shard, why);
}

void ShardOwners::release(int shard, std::uint64_t revision) {
  at(shard).owner = {"", revision};
  lose(shard, "released to its home node");
  listener_.owners_changed();
}

}  // namespace mothslip
