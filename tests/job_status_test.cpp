// Covers the status that users get for a job: reads of the state service begin after the request, they are
// shared and bounded, and terminal states are final.
#include "coordination/node/job_status.hpp"

#include <gtest/gtest.h>

#include "coordination/node/node_memory.hpp"
#include "recovery/loss_detector.hpp"
#include "sim/scripted_env.hpp"

using namespace mothslip;
using mothslip::sim::scripted_settings;
using mothslip::sim::ScriptedEnv;

namespace {

const std::string kJobRef = "job-000412";
const char* const kOpenJobRecord = R"({"k":"h","data":{"phase":"open"},"stamp":7})";
const char* const kCancelledJobRecord = R"({"k":"h","data":{"phase":"aborted","spread":false},"stamp":8})";
const char* const kSpreadJobRecord = R"({"k":"h","data":{"phase":"aborted","spread":true},"stamp":8})";
const char* const kMissingRecord = R"({"epoch":9})";
const char* const kDoneRecord = R"({"k":"e","data":{"phase":"done","pieces":3},"stamp":9})";

class JobStatuses : public ::testing::Test {
 protected:
  // Requests the status of the job. The finding is appended to `findings` when the read completes.
  void request_status(std::vector<JobFinding>& findings) {
    statuses_.read(kJobRef, [&findings](const JobFinding& found) { findings.push_back(found); });
  }
  static bool is_status(const JobFinding& found, JobPhase phase) {
    return found.kind == JobFinding::Kind::kStatus && found.status.phase == phase;
  }

  Settings settings_ = scripted_settings();
  ScriptedEnv env_;
  StateClient state_{env_, settings_};
  std::optional<JobFinding> owned_;
  JobStatusService statuses_{{&state_, [] { return 3; }, [this](const std::string&) { return owned_; }}};
};

}  // namespace

// The job ends while the answer "open" of an earlier read is in flight. That answer is out of date for a
// request made after the read began, so this request needs a read of its own.
TEST_F(JobStatuses, ARequestIsNotAnsweredByAnEarlierRead) {
  std::vector<JobFinding> first;
  std::vector<JobFinding> second;
  request_status(first);
  request_status(second);
  ASSERT_EQ(env_.calls.size(), 1u);
  env_.answer(200, kOpenJobRecord);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(is_status(first[0], JobPhase::kQueued));
  ASSERT_TRUE(second.empty());
  env_.answer(404, kMissingRecord);
  env_.answer(200, kDoneRecord);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_TRUE(is_status(second[0], JobPhase::kDone));
  EXPECT_EQ(second[0].status.done, 3);
}

TEST_F(JobStatuses, ConcurrentRequestsShareReadsAndWaitersAreBounded) {
  std::vector<JobFinding> findings;
  for (int i = 0; i < 200; i++) request_status(findings);
  EXPECT_EQ(env_.calls.size(), 1u);
  const auto refused_at_once = findings.size();
  EXPECT_GT(refused_at_once, 100u);
  for (const JobFinding& found : findings) EXPECT_EQ(found.kind, JobFinding::Kind::kUndecided);
  env_.answer(200, kOpenJobRecord);
  env_.answer(200, kOpenJobRecord);
  EXPECT_EQ(findings.size(), 200u);
  EXPECT_TRUE(env_.calls.empty());
  for (std::size_t i = refused_at_once; i < findings.size(); i++)
    EXPECT_TRUE(is_status(findings[i], JobPhase::kQueued));
}

TEST_F(JobStatuses, AStatusThatTheStateServiceCannotGiveIsUndecided) {
  std::vector<JobFinding> findings;
  request_status(findings);
  env_.answer(503, R"({"error":"trouble"})");
  request_status(findings);
  env_.answer(404, kMissingRecord);
  env_.answer(0, "");
  request_status(findings);
  env_.answer(200, kSpreadJobRecord);
  ASSERT_EQ(findings.size(), 3u);
  for (const JobFinding& found : findings) EXPECT_EQ(found.kind, JobFinding::Kind::kUndecided);
}

TEST_F(JobStatuses, AJobWithoutRecordsIsUnknown) {
  std::vector<JobFinding> findings;
  request_status(findings);
  env_.answer(404, kMissingRecord);
  env_.answer(404, kMissingRecord);
  ASSERT_EQ(findings.size(), 1u);
  EXPECT_EQ(findings[0].kind, JobFinding::Kind::kUnknownJob);
}

// After a terminal state was read, it is returned to users even if the shard's owner has an older status in
// memory.
TEST_F(JobStatuses, ATerminalStateIsFinal) {
  owned_ = JobFinding{JobFinding::Kind::kStatus, {JobPhase::kRunning, 1, 2}};
  EXPECT_TRUE(is_status(*statuses_.from_memory(kJobRef), JobPhase::kRunning));
  std::vector<JobFinding> findings;
  request_status(findings);
  env_.answer(200, kCancelledJobRecord);
  EXPECT_TRUE(is_status(*statuses_.from_memory(kJobRef), JobPhase::kCancelled));
  statuses_.cache_terminal(kJobRef, {JobPhase::kDone, 3, 0});
  EXPECT_TRUE(is_status(*statuses_.from_memory(kJobRef), JobPhase::kCancelled));
}

TEST_F(JobStatuses, TheCacheOfTerminalStatesIsBounded) {
  for (int i = 0; i < 20000; i++)
    statuses_.cache_terminal("job-" + std::to_string(100000 + i), {JobPhase::kDone, 1, 0});
  EXPECT_EQ(statuses_.cached_terminal("job-100000"), nullptr);
  EXPECT_NE(statuses_.cached_terminal("job-119999"), nullptr);
  EXPECT_FALSE(statuses_.from_memory("job-100000")) << "an evicted job must be read from the state service";
}

// Guards against taking a job for open because its ending was dropped from the cache: the memory says since
// which revision its terminal states are complete.
TEST_F(JobStatuses, TheMemorySaysSinceWhenItsTerminalStatesAreComplete) {
  constexpr std::size_t kCachedJobs = 5000;
  constexpr std::size_t kDroppedJobs = 3;
  constexpr std::uint64_t kFirstRevision = 100;
  recovery::LossDetector monitor(0, [](const std::string&) {});
  StateClient state(env_, settings_, {}, &monitor);
  JobStatusService statuses({&state, [] { return 3; }, [](const std::string&) { return std::nullopt; }});
  const auto cache_until = [&](std::size_t first, std::size_t last) {
    for (std::size_t i = first; i < last; i++) {
      monitor.on_peer_revision(kFirstRevision + i);
      statuses.cache_terminal("job-" + std::to_string(100000 + i), {JobPhase::kDone, 1, 0});
    }
  };
  cache_until(0, kCachedJobs);
  NodeMemory complete;
  statuses.add_to(complete);
  EXPECT_EQ(complete.terminals.size(), kCachedJobs);
  EXPECT_EQ(complete.terminals_known_since, 0u);
  cache_until(kCachedJobs, kCachedJobs + kDroppedJobs);
  NodeMemory incomplete;
  statuses.add_to(incomplete);
  EXPECT_EQ(incomplete.terminals.size(), kCachedJobs);
  EXPECT_EQ(incomplete.terminals_known_since, kFirstRevision + kDroppedJobs - 1);
}
