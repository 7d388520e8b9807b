// Covers which answers of the state service reach the node once an answer has shown that records were lost.
#include "coordination/state/state_client.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "coordination/state/state_monitor.hpp"
#include "sim/scripted_env.hpp"

using namespace mothslip;
using mothslip::sim::scripted_settings;
using mothslip::sim::ScriptedEnv;

namespace {

constexpr std::uint64_t kNewestRevision = 37;
const char* const kAnswerBeforeLoss = R"({"epoch":37})";
const char* const kAnswerAfterLoss = R"({"epoch":35})";
const char* const kConflictAfterLoss = R"({"failed":["w/j/1/job-000109"],"epoch":35})";

// Detects a loss only by a lower revision.
class Monitor final : public StateMonitor {
 public:
  [[nodiscard]] std::uint64_t newest_revision() const override { return kNewestRevision; }
  [[nodiscard]] bool is_state_lost() const override { return is_lost_; }
  void on_revision(std::uint64_t newest_when_sent, std::uint64_t revision) override {
    is_lost_ |= revision < newest_when_sent;
  }
  void on_peer_revision(std::uint64_t) override {}
  void on_contradiction(const std::string&) override {}
  void on_other_incarnation() override {}

 private:
  bool is_lost_ = false;
};

constexpr std::uint64_t kRevisionAfterLoss = 35;
const std::string kKey = "w/j/1/job-000109";  // exists
const std::string kMissingKey = "none";

class AnswersAfterStateLoss : public ::testing::Test {
 protected:
  StateHandler append_outcome() {
    return [this](const StateReply& reply) { outcomes_.push_back(reply.outcome); };
  }
  // Answers the oldest unanswered call, a read of this key, as the service does at this revision.
  void answer_read_of(const std::string& key, std::uint64_t revision) {
    const Json record = {{"k", key}, {"data", Json::object()}, {"stamp", 7}, {"hold", 3}};
    const std::string& path = env_.calls.front().request.path;
    if (path == "/keys?prefix=" + key + "&most=1") {
      Json item = record;
      item.erase("hold");
      env_.answer(200, dump_json({{"items", Json::array({item})}, {"more", true}, {"epoch", revision}}));
    } else if (path == "/keys/" + key && key == kMissingKey) {
      env_.answer(404, dump_json({{"epoch", revision}}));
    } else if (path == "/keys/" + key) {
      env_.answer(200, dump_json(record));
    } else {
      FAIL() << "not a read of " << key << ": " << path;
    }
  }
  void commit() {
    Transaction txn;
    txn.guard("w/j/1/job-000109", 36);
    txn.put("h/0/1", Json::object());
    state_.commit(RequestPriority::kLaunch, txn, append_outcome());
  }

  Settings settings_ = scripted_settings();
  ScriptedEnv env_;
  Monitor monitor_;
  StateClient state_{env_, settings_, {}, &monitor_};
  std::vector<Outcome> outcomes_;
};

}  // namespace

// The failed guard shows only that the record was lost. It was taken for a cancellation (review/1).
TEST_F(AnswersAfterStateLoss, ARefusalThatShowsTheLossIsNotReported) {
  commit();
  env_.answer(409, kConflictAfterLoss);

  EXPECT_TRUE(monitor_.is_state_lost());
  EXPECT_EQ(outcomes_, std::vector<Outcome>{Outcome::kUnknown});
}

TEST_F(AnswersAfterStateLoss, AMissingRecordIsNotReported) {
  state_.get(RequestPriority::kCancel, "parts/1", append_outcome());
  env_.answer(404, kAnswerAfterLoss);

  EXPECT_EQ(outcomes_, std::vector<Outcome>{Outcome::kUnknown});
}

// Calls that were in flight when the loss was detected, and calls until the node is suspended.
TEST_F(AnswersAfterStateLoss, LaterAnswersAreNotReported) {
  state_.get(RequestPriority::kCancel, "parts/1", append_outcome());
  state_.get(RequestPriority::kCancel, "e/1/job-000109", append_outcome());
  state_.get(RequestPriority::kCancel, "w/j/1/job-000109", append_outcome());
  env_.answer(404, kAnswerAfterLoss);
  env_.answer(404, kAnswerBeforeLoss);
  env_.answer(200, R"({"k":"w/j/1/job-000109","data":{},"stamp":7})");

  EXPECT_EQ(outcomes_, (std::vector<Outcome>{Outcome::kUnknown, Outcome::kUnknown, Outcome::kUnknown}));
}

// The service restores an earlier form of a record. That it exists was taken for proof that it is current
// (review/3).
TEST_F(AnswersAfterStateLoss, ARestoredRecordIsNotReported) {
  state_.get(RequestPriority::kCancel, kKey, append_outcome());
  answer_read_of(kKey, kRevisionAfterLoss);

  EXPECT_TRUE(monitor_.is_state_lost());
  EXPECT_EQ(outcomes_, std::vector<Outcome>{Outcome::kUnknown});
}

TEST_F(AnswersAfterStateLoss, ARestoredRecordIsNotReportedWithItsLease) {
  state_.get_with_lease(RequestPriority::kLease, kKey, append_outcome());
  answer_read_of(kKey, kRevisionAfterLoss);
  ASSERT_TRUE(outcomes_.empty()) << "The answer shows no revision, so it is not reported yet.";
  answer_read_of(kMissingKey, kRevisionAfterLoss);

  EXPECT_EQ(outcomes_, std::vector<Outcome>{Outcome::kUnknown});
}

TEST_F(AnswersAfterStateLoss, ASuccessfulCommitIsReported) {
  commit();
  env_.answer(200, kAnswerAfterLoss);

  EXPECT_TRUE(monitor_.is_state_lost());
  EXPECT_EQ(outcomes_, std::vector<Outcome>{Outcome::kOk});
}

TEST_F(AnswersAfterStateLoss, WithoutALossAnswersAreReportedAsGiven) {
  commit();
  state_.get(RequestPriority::kCancel, "parts/1", append_outcome());
  env_.answer(409, R"({"failed":["w/j/1/job-000109"],"epoch":37})");
  env_.answer(404, kAnswerBeforeLoss);

  EXPECT_FALSE(monitor_.is_state_lost());
  EXPECT_EQ(outcomes_, (std::vector<Outcome>{Outcome::kConflict, Outcome::kMissing}));
}

namespace {

// A client that looks for lost records, in calm.
class Reads : public AnswersAfterStateLoss {
 protected:
  StateHandler keep_reply() {
    return [this](const StateReply& reply) { reply_ = reply; };
  }
  // Answers the oldest unanswered call with this list of keys.
  void answer_list(const std::vector<std::string>& keys) {
    Json items = Json::array();
    for (const std::string& key : keys) items.push_back({{"k", key}, {"data", {{"of", key}}}, {"stamp", 7}});
    env_.answer(200, dump_json({{"items", items}, {"more", false}, {"epoch", kNewestRevision}}));
  }

  StateReply reply_;
};

}  // namespace

TEST_F(Reads, ARecordIsReadWithTheRevisionOfTheServiceInOneCall) {
  state_.get(RequestPriority::kAccept, kKey, keep_reply());
  ASSERT_EQ(env_.calls.size(), 1u);
  answer_list({kKey});

  EXPECT_TRUE(env_.calls.empty());
  EXPECT_TRUE(reply_.has_data());
  EXPECT_EQ(reply_.data()["of"], kKey);
  EXPECT_EQ(reply_.item_revision(), 7u);
  EXPECT_EQ(reply_.revision(), kNewestRevision);
}

TEST_F(Reads, ARecordIsMissingIfOnlyALongerKeyExists) {
  state_.get(RequestPriority::kAccept, kKey, keep_reply());
  answer_list({kKey + "1"});
  EXPECT_EQ(reply_.outcome, Outcome::kMissing);
  EXPECT_EQ(reply_.revision(), kNewestRevision);

  state_.get(RequestPriority::kAccept, kKey, keep_reply());
  answer_list({});
  EXPECT_EQ(reply_.outcome, Outcome::kMissing);
}

// An answer that is no list says nothing about the record, and one without a revision cannot be compared.
TEST_F(Reads, AnAnswerWithoutItemsOrRevisionIsUnknown) {
  for (const char* answer : {"{}", R"({"items":[]})", R"({"items":3,"epoch":37})", R"({"epoch":37})"}) {
    state_.get(RequestPriority::kAccept, kKey, keep_reply());
    env_.answer(200, answer);
    EXPECT_EQ(reply_.outcome, Outcome::kUnknown) << answer;
  }
}

TEST_F(Reads, ARecordIsReadWithItsLeaseAndThenTheRevision) {
  state_.get_with_lease(RequestPriority::kLease, kKey, keep_reply());
  answer_read_of(kKey, kNewestRevision);
  answer_read_of(kMissingKey, kNewestRevision);

  EXPECT_TRUE(reply_.ok());
  EXPECT_EQ(reply_.lease_id(), 3u);
}

// A team may have any name, and its name is part of a key.
TEST_F(Reads, AKeyThatAQueryWouldChangeIsReadByItselfAndThenTheRevision) {
  for (const std::string key : {"w/q/a&b", "w/q/a+b", "w/q/a%20b", "w/q/a#b"}) {
    state_.get(RequestPriority::kOther, key, keep_reply());
    answer_read_of(key, kNewestRevision);
    ASSERT_EQ(env_.calls.size(), 1u);
    EXPECT_EQ(env_.calls.front().request.path, "/keys/none");
    answer_read_of(kMissingKey, kNewestRevision);
    EXPECT_TRUE(reply_.has_data()) << key;
  }
}

// Nothing changes for controllers that do not look for lost records.
TEST(ReadsWithoutMonitor, ARecordIsReadByItsKey) {
  const Settings settings = scripted_settings();
  ScriptedEnv env;
  StateClient state(env, settings);
  state.get(RequestPriority::kAccept, kKey, [](const StateReply&) {});
  state.get_with_lease(RequestPriority::kAccept, kKey, [](const StateReply&) {});

  ASSERT_EQ(env.calls.size(), 2u);
  for (const ScriptedEnv::Call& call : env.calls) EXPECT_EQ(call.request.path, "/keys/" + kKey);
}

// Keys of earlier incarnations are read like those of the current one.
TEST_F(Reads, AnEndingOfAnEarlierIncarnationIsFound) {
  const Incarnation incarnation{2, "r/2-5/", 1000, {""}};
  StateClient state(env_, settings_, incarnation, &monitor_);
  const std::string key = "/e/1/job-000109";
  state.get(RequestPriority::kAccept, key, keep_reply());
  ASSERT_EQ(env_.calls.front().request.path, "/keys?prefix=e/1/job-000109&most=1");
  answer_list({"e/1/job-000109"});

  EXPECT_TRUE(reply_.has_data());
  EXPECT_EQ(reply_.revision(), 1000 + kNewestRevision);
}
