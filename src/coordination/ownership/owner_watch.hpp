// Keeps track of the records of owners and live nodes in the state service: reads them once, then watches for
// changes.
#pragma once

#include <cstdint>
#include <vector>

#include "coordination/ownership/live_nodes.hpp"
#include "coordination/ownership/shard_claims.hpp"
#include "coordination/ownership/shard_owners.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

class OwnerWatch {
 public:
  // The references must outlive the watch.
  OwnerWatch(Env& env, StateClient& state, const ShardOwners& owners, ShardClaims& claims,
             LiveNodes& live_nodes);

  // Reads all records, retrying until that succeeds, and watches for changes from then on.
  void read_all();

 private:
  void on_records(const std::vector<StateItem>& items, std::uint64_t revision);
  void watch();
  void on_watch_reply(double sent_at, const StateReply& reply);
  void on_event(const WatchEvent& event);
  void on_announcement(const std::string& node, const Json& announced);

  Env& env_;
  StateClient& state_;
  const ShardOwners& owners_;
  ShardClaims& claims_;
  LiveNodes& live_nodes_;
  std::uint64_t watched_revision_ = 0;  // all changes up to this revision have been received
  bool is_reading_ = false;
  bool is_watching_ = false;
};

}  // namespace mothslip
