// Covers which refused transactions show that the state service has lost records.
#include "coordination/shard/record_committer.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "bookkeeping/records.hpp"
#include "sim/scripted_env.hpp"

using namespace mothslip;
using mothslip::sim::scripted_settings;
using mothslip::sim::ScriptedEnv;

namespace {

constexpr int kShard = 2;
constexpr std::uint64_t kFencingToken = 5;
constexpr std::uint64_t kRecordRevision = 7;

class RefusedTransaction : public ::testing::Test {
 protected:
  ShardContext context() {
    ShardContext out;
    out.env = &env_;
    out.state = &state_;
    out.settings = &settings_;
    out.shard = kShard;
    out.fencing_token = kFencingToken;
    out.restart_shard = [this](const std::string&) { restarts_++; };
    out.on_state_contradiction = [this](const std::string& what) { contradictions_.push_back(what); };
    return out;
  }
  // Commits a change of the record, on condition that it and `guarded` have not changed.
  void commit(const std::string& changed, const std::string& guarded = "") {
    Transaction txn = committer_.guarded_transaction();
    txn.guard(changed, kRecordRevision);
    if (!guarded.empty()) txn.guard(guarded, kRecordRevision);
    txn.put(changed, Json::object());
    committer_.commit(
        RequestPriority::kOther, RecordCommitter::kOtherSlot, txn, [](std::uint64_t) {},
        [](const std::vector<std::string>&) { return true; });
  }
  void refuse(const std::string& failed) {
    env_.answer(409, dump_json({{"failed", {failed}}, {"epoch", 40}}));
  }

  Settings settings_ = scripted_settings();
  ScriptedEnv env_;
  StateClient state_{env_, settings_};
  int restarts_ = 0;
  std::vector<std::string> contradictions_;
  const ShardContext ctx_ = context();
  RecordCommitter committer_{ctx_, {[] {}, [] {}}};
};

}  // namespace

// Restarting the shard without reporting the contradiction lost everything that its leader knew.
TEST_F(RefusedTransaction, AChangedRecordThatOnlyTheLeaderWritesShowsALoss) {
  const std::vector<std::string> records = {keys::job_record(kShard, "job-000412"),
                                            keys::progress_record(kShard, "job-000412"),
                                            keys::segment(kShard, 1)};
  for (const std::string& key : records) {
    contradictions_.clear();
    commit(key);
    refuse(key);
    EXPECT_EQ(contradictions_.size(), 1u) << key;
  }
}

TEST_F(RefusedTransaction, ARecordThatAnotherLeaderMayChangeShowsNoLoss) {
  const std::string delegation = keys::delegations(kShard, "job-000412") + "6.1";
  commit(delegation);
  refuse(delegation);
  const std::string job_elsewhere = keys::job_record(kShard + 1, "job-000413");
  commit(keys::progress_record(kShard, "job-000412"), job_elsewhere);
  refuse(job_elsewhere);

  EXPECT_TRUE(contradictions_.empty());
}

TEST_F(RefusedTransaction, ADeposedLeaderSeesNoLoss) {
  const std::string key = keys::progress_record(kShard, "job-000412");
  commit(key);
  env_.answer(409, dump_json({{"failed", {keys::shard_owner(kShard), key}}, {"epoch", 40}}));

  EXPECT_TRUE(contradictions_.empty());
  EXPECT_EQ(restarts_, 1);
}
