// Covers what a shard's leader concludes about jobs whose tasks were delegated to it: only the record of a
// cancellation or of an ending shows that such a job is cancelled, a missing job record does not.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "coordination/shard/shard_leader.hpp"
#include "sim/scripted_env.hpp"

using namespace mothslip;
using mothslip::sim::scripted_settings;
using mothslip::sim::ScriptedEnv;

namespace {

constexpr int kShard = 0;
constexpr int kHomeShard = 1;
constexpr std::uint64_t kFencingToken = 5;
constexpr std::uint64_t kJobRevision = 7;
constexpr std::uint64_t kDelegationRevision = 8;
const std::string kJobRef = "job-000412";
const std::string kJobRecordKey = keys::job_record(kHomeShard, kJobRef);
const std::string kEndingKey = keys::ending(kHomeShard, kJobRef);
const char* const kMissing = R"({"epoch":9})";
const char* const kEmptyList = R"({"items":[],"more":false,"epoch":9})";

Settings settings() {
  Settings out = scripted_settings();
  Team team;
  team.name = "red";
  out.teams = {team};
  out.tuning.recovery = true;
  return out;
}

JobRecord job_record() {
  JobRecord out;
  out.spec.ref = kJobRef;
  out.spec.job_class = "w";
  out.spec.team = "red";
  out.spec.image = "img-0";
  out.spec.memory_gb = 2;
  out.spec.estimated_s = 5;
  out.spec.task_count = 3;
  out.spec.cores = 1;
  return out;
}

Json item(const std::string& key, const Json& data, std::uint64_t revision) {
  return {{"k", key}, {"data", data}, {"stamp", revision}};
}

std::string list_of(const Json& one_item) {
  return dump_json({{"items", Json::array({one_item})}, {"more", false}, {"epoch", 9}});
}

class DelegatedJob : public ::testing::Test {
 protected:
  ShardLeader::Context context() {
    ShardLeader::Context out;
    out.env = &env_;
    out.state = &state_;
    out.settings = &settings_;
    out.types = &types_;
    out.zones = &zones_;
    out.shard_count = 2;
    out.owns_exclusively = [] { return true; };
    out.may_renew_worker_leases = [] { return true; };
    out.owner_change_revision = [](int) { return std::uint64_t{1}; };
    out.call_leader = [](int, const std::string&, const Json&, const std::function<void(Json)>&) {};
    out.restart_shard = [this](const std::string&) { restarts_++; };
    out.on_state_contradiction = [this](const std::string& what) { contradictions_.push_back(what); };
    out.on_deposed = [](std::uint64_t) {};
    out.on_job_ended = [](const std::string&, const JobStatus&) {};
    return out;
  }

  // Answers the unanswered call whose path contains `path`.
  void answer(const std::string& path, int status, const std::string& body) {
    const auto call = std::find_if(env_.calls.begin(), env_.calls.end(), [&path](const auto& each) {
      return each.request.path.find(path) != std::string::npos;
    });
    ASSERT_NE(call, env_.calls.end()) << "no call for " << path;
    const ScriptedEnv::Call found = std::move(*call);
    env_.calls.erase(call);
    found.handler({status, body});
  }
  bool is_requested(const std::string& path) const {
    return std::any_of(env_.calls.begin(), env_.calls.end(),
                       [&path](const auto& each) { return each.request.path == path; });
  }

  // Lets the leader read the delegation, and then the job records of the home shard.
  void load_delegation(const std::string& job_records) {
    DelegationRecord delegation;
    delegation.home_shard = kHomeShard;
    delegation.job_revision = kJobRevision;
    delegation.job = job_record();
    delegation.range.insert(0, 2);
    const std::string key = keys::delegations(kShard, kJobRef) + "6.1";
    leader_.load();
    answer("prefix=" + keys::job_records(kShard), 200, kEmptyList);
    answer("prefix=" + keys::progress_records(kShard), 200, kEmptyList);
    answer("prefix=" + keys::kDelegations, 200,
           list_of(item(key, delegation.to_json(), kDelegationRevision)));
    answer("prefix=" + keys::job_records(kHomeShard), 200, job_records);
  }
  // Lets the leader finish loading.
  void activate() {
    answer("prefix=" + keys::kQuotaSplits, 200, kEmptyList);
    answer("prefix=" + keys::segments(kShard), 200, kEmptyList);
    ASSERT_TRUE(leader_.active());
  }
  [[nodiscard]] JobMemory remembered() const {
    const ShardMemory memory = leader_.memory();
    return memory.jobs.size() == 1 ? memory.jobs.front() : JobMemory{};
  }

  Settings settings_ = settings();
  ScriptedEnv env_;
  StateClient state_{env_, settings_};
  MachineTypes types_;
  NameTable zones_;
  int restarts_ = 0;
  std::vector<std::string> contradictions_;
  ShardLeader leader_{context(), kShard, kFencingToken};
};

}  // namespace

TEST_F(DelegatedJob, AMissingRecordAtLoadIsNotACancellation) {
  load_delegation(kEmptyList);

  EXPECT_FALSE(remembered().record.cancelled) << "The job record may be lost.";
  answer(kJobRecordKey, 404, kMissing);
  answer(kEndingKey, 404, kMissing);

  EXPECT_EQ(contradictions_.size(), 1u);
  EXPECT_EQ(remembered().record.spec.ref, kJobRef);
  EXPECT_FALSE(remembered().record.cancelled);
  EXPECT_EQ(restarts_, 0) << "A restart would lose what this leader knows.";
}

TEST_F(DelegatedJob, AJobThatIsDoneAtLoadIsNotCancelled) {
  load_delegation(kEmptyList);
  answer(kJobRecordKey, 404, kMissing);
  answer(kEndingKey, 200, dump_json(item(kEndingKey, ending_json("done", 3), 9)));

  EXPECT_TRUE(contradictions_.empty());
  EXPECT_FALSE(remembered().record.cancelled);
  EXPECT_EQ(remembered().done.size(), 2);
}

TEST_F(DelegatedJob, AnEndingShowsACancellation) {
  load_delegation(kEmptyList);
  answer(kJobRecordKey, 404, kMissing);
  answer(kEndingKey, 200, dump_json(item(kEndingKey, ending_json("aborted", 3), 9)));

  EXPECT_TRUE(contradictions_.empty());
  EXPECT_TRUE(remembered().record.cancelled);
}

TEST_F(DelegatedJob, ACancelledRecordAtLoadIsACancellation) {
  JobRecord record = job_record();
  record.cancelled = true;
  load_delegation(list_of(item(kJobRecordKey, record.to_json(), kJobRevision + 2)));

  EXPECT_TRUE(remembered().record.cancelled);
  EXPECT_FALSE(is_requested("/keys/" + kJobRecordKey)) << "The list has shown it.";
}

// While the outcome of a read is not certain, the job is neither taken for cancelled nor for lost.
TEST_F(DelegatedJob, AnUnansweredReadDecidesNothing) {
  load_delegation(kEmptyList);
  answer(kJobRecordKey, 503, "");

  EXPECT_TRUE(contradictions_.empty());
  EXPECT_FALSE(remembered().record.cancelled);
}

TEST_F(DelegatedJob, ADeletedRecordInTheWatchIsNotACancellation) {
  load_delegation(list_of(item(kJobRecordKey, job_record().to_json(), kJobRevision)));
  activate();
  const Json event = {{"delete", kJobRecordKey}, {"stamp", 12}};
  answer("/changes", 200, dump_json({{"epoch", 12}, {"events", Json::array({event})}}));

  EXPECT_FALSE(remembered().record.cancelled);
  answer(kJobRecordKey, 404, kMissing);
  answer(kEndingKey, 200, dump_json(item(kEndingKey, ending_json("done", 3), 12)));
  EXPECT_TRUE(contradictions_.empty());
  EXPECT_FALSE(remembered().record.cancelled);
}
