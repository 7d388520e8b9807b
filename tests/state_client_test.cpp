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

class AnswersAfterStateLoss : public ::testing::Test {
 protected:
  StateHandler append_outcome() {
    return [this](const StateReply& reply) { outcomes_.push_back(reply.outcome); };
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
