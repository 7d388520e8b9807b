// How a team's limits are split among the shards, and how shares of them move: by one conditional write each.
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
  // A waiting task of the team, for which there is room, needs more than the quota share lets in.
  void set_shortage(int team, const Resources& needed) { short_of_[team] = needed; }
  // The split of a team that never moved is even, and has no record.
  void load(const std::vector<StateItem>& items);

  // The split of a team's limits among the shards as long as nothing has moved.
  [[nodiscard]] QuotaSplit even_split(int team) const;
  // The record of a team's split has changed.
  void on_quota_event(const Json& event);
  // A waiting task of the job does not fit into the team's quota share.
  void note_shortage(const Job& job);
  // Asks the next shard for what waiting tasks lack.
  void request_quota();
  // Another shard asks for quota.
  void on_quota_request(const QuotaRequest& request);
  // Gives away what the shard's own waiting tasks cannot use. A remainder too small for any of them goes only
  // to a shard of a lower number: two shards that each lack a little would otherwise hand it to and fro.
  bool transfer_quota(int team, int to, double cores, double gpus, bool keep_own = true);

 private:
  void set_split(int team, const QuotaSplit& split, std::uint64_t revision);
  // The record of a split; a malformed one is logged and changes nothing.
  void read_split(int team, const Json& record, std::uint64_t revision);
  [[nodiscard]] QuotaAmount transferable(int team, int to, bool keep_own) const;
  [[nodiscard]] Resources startable_demand(int team) const;
  void commit_quota(int team, const std::shared_ptr<std::string>& body, const QuotaSplit& split);
  void reload_team(int team);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  PlacementRules& rules_;
  CallbackGuard alive_;
  std::set<int> starving_teams_;       // their quota share is saved up for a job that starves
  std::map<int, Resources> short_of_;  // by team: what a waiting task needs and the quota share lacks
  std::map<int, QuotaSplit> splits_;   // by team: its record
  std::set<int> moving_;               // teams of which a part of the quota share is being given away
  int asked_for_quota_ = 0;            // the shard asked last
};

}  // namespace mothslip
