// Splits the limits of each team among the shards, and transfers quota from shard to shard. Each transfer is
// one conditional write.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_messages.hpp"
#include "coordination/shard/shard_model.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class PlacementRules;
class RecordCommitter;

class QuotaShares {
 public:
  QuotaShares(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
              PlacementRules& rules);
  // Sets the demand of a waiting task for which there is room but not enough quota in the team's share.
  void set_shortage(int team, const Resources& needed) { shortages_[team] = needed; }
  // Loads the recorded splits. A team whose quota was never transferred has an even split and no record.
  void load(const std::vector<StateItem>& items);

  // Returns the split of a team's limits that applies until the first transfer.
  [[nodiscard]] QuotaSplit even_split(int team) const;
  // Handles a change of the record of a team's split.
  void on_quota_event(const Json& event);
  // Adds the demand of a job with a waiting task that does not fit into the team's quota share.
  void add_shortage(const Job& job);
  // Asks the next shard for the quota that waiting tasks lack.
  void request_quota();
  // Handles another shard's request for quota.
  void on_quota_request(const QuotaRequest& request);
  // Transfers quota that the shard's own waiting tasks cannot use. A remainder that is too small for any of
  // them is transferred only to a shard with a lower number: two shards that each lack a little would
  // otherwise pass it back and forth. Without `keep_own`, no quota is kept for the shard's own waiting tasks.
  // Returns whether a transfer was started.
  bool transfer_quota(int team, int to, double cores, double gpus, bool keep_own = true);

 private:
  void set_split(int team, const QuotaSplit& split, std::uint64_t revision);
  // Reads the record of a split. A malformed record is logged and has no other effect.
  void read_split(int team, const Json& record, std::uint64_t revision);
  [[nodiscard]] QuotaAmount transferable_quota(int team, int to, bool keep_own) const;
  [[nodiscard]] Resources startable_demand(int team) const;
  void commit_quota(int team, const std::shared_ptr<std::string>& body, const QuotaSplit& split);
  void reload_team(int team);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  PlacementRules& rules_;
  CallbackGuard callback_guard_;
  std::set<int> starving_teams_;        // teams whose quota share is saved up for a starving job
  std::map<int, Resources> shortages_;  // by team: demand of waiting tasks that exceeds the quota share
  std::map<int, QuotaSplit> splits_;    // by team, as last recorded
  std::set<int> transferring_teams_;    // teams with a transfer in flight
  int last_shard_asked_ = 0;            // the shard that received the last quota request
};

}  // namespace mothslip
