// Runs real processes on loopback addresses, deletes all records of the state service while jobs run, and
// calls mothslipctl as operators do.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include "loopback/real_cluster.hpp"
#include "sim/days.hpp"

using namespace mothslip;
using namespace mothslip::loopback;

namespace {

// These tests set no bound on the speed of the service. The test runner stops a test that waits too long.
constexpr double kNoTimeoutSeconds = 1e9;

class Loopback : public ::testing::Test {
 protected:
  void SetUp() override {
    sim::set_up_log();
    directory_ = std::filesystem::temp_directory_path() / ("mothslip-loopback-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory_);
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  static sim::Options options() {
    sim::Options out;
    out.has_external_nodes = true;
    out.message_loss_share = 0;
    out.seed = 3;
    return out;
  }
  static bool all_jobs_ended(sim::World& world) {
    return std::all_of(world.jobs.begin(), world.jobs.end(), [](const auto& item) {
      return item.second.user_saw_done || item.second.user_saw_aborted;
    });
  }
  std::filesystem::path directory_;
};

}  // namespace

TEST_F(Loopback, JobsRunOnceWhenTheStateServiceIsWiped) {
  RealCluster cluster(options(), directory_);
  sim::World& world = cluster.world();
  for (int number = 0; number < 6; number++) world.submit(sim::plain_job(world, number, 2, 4, 4 + number));
  ASSERT_TRUE(cluster.run_until([&world] { return world.starts >= 8; }, kNoTimeoutSeconds));
  world.state.clear();
  ASSERT_TRUE(cluster.run_until([&world] { return all_jobs_ended(world); }, kNoTimeoutSeconds));
  EXPECT_TRUE(world.violations.empty()) << world.summary();
  for (const auto& [ref, job] : world.jobs) {
    EXPECT_TRUE(job.user_saw_done) << ref;
    for (const auto& [task, starts] : job.starts) EXPECT_EQ(starts, 1) << ref << "/" << task;
  }
  const RealCluster::Output status = cluster.run_mothslipctl("--json recovery status");
  EXPECT_EQ(status.exit_code, 0) << status.text;
  EXPECT_EQ(parse_json(status.text).value("incarnation", 0), 2) << status.text;
  const RealCluster::Output list = cluster.run_mothslipctl("recovery unaccounted");
  EXPECT_EQ(list.exit_code, 0);
  EXPECT_EQ(list.text, "every job is accounted for\n");
}

TEST_F(Loopback, AnOperatorResolvesUnaccountedJobs) {
  RealCluster cluster(options(), directory_);
  sim::World& world = cluster.world();
  for (int number = 0; number < 3; number++) world.submit(sim::plain_job(world, number, 2, 2, 40));
  ASSERT_TRUE(cluster.run_until([&world] { return world.starts >= 4; }, kNoTimeoutSeconds));
  // All controllers restart and lose their memory, so that only the workers have information on running
  // tasks.
  world.state.clear();
  for (int node = 0; node < world.options.nodes; node++) cluster.restart_node(node);
  const auto rebuilt = [&cluster] {
    const Json status = parse_json(cluster.run_mothslipctl("--json recovery status").text);
    return status.is_object() && status.value("serving", false) && status.value("incarnation", 0) == 2;
  };
  ASSERT_TRUE(cluster.run_until(rebuilt, kNoTimeoutSeconds));
  const RealCluster::Output table = cluster.run_mothslipctl("recovery unaccounted");
  EXPECT_EQ(table.exit_code, 0) << table.text;
  const Json list = parse_json(cluster.run_mothslipctl("--json recovery unaccounted").text);
  ASSERT_FALSE(list["unaccounted"].empty());
  const std::string ref = list["unaccounted"][0]["job"];
  EXPECT_NE(table.text.find(ref), std::string::npos) << table.text;
  EXPECT_EQ(world.state.values().count("w/j/0/" + ref), 0u) << "the job's description should be lost";

  EXPECT_EQ(cluster.run_mothslipctl("recovery resolve job-999999 --as done").exit_code, 1)
      << "a job that is not unaccounted cannot be resolved";
  EXPECT_EQ(cluster.run_mothslipctl("recovery resolve " + ref + " --as lost").exit_code, 2);
  const RealCluster::Output decision = cluster.run_mothslipctl("recovery resolve " + ref + " --as done");
  EXPECT_EQ(decision.exit_code, 0) << decision.text;
  EXPECT_EQ(decision.text, ref + ": done\n");
  const Json after = parse_json(cluster.run_mothslipctl("--json recovery unaccounted").text);
  for (const Json& entry : after["unaccounted"]) EXPECT_NE(entry["job"], ref);
  ASSERT_TRUE(
      cluster.run_until([&world, &ref] { return world.jobs.at(ref).user_saw_done; }, kNoTimeoutSeconds));
}

TEST_F(Loopback, TheClientReportsThatNoControllerAnswers) {
  RealCluster cluster(options(), directory_);
  const RealCluster::Output with_other_controllers =
      cluster.run_mothslipctl("--at 127.9.9.9:1 --timeout 1 recovery status");
  EXPECT_EQ(with_other_controllers.exit_code, 0)
      << "mothslipctl should fall back to the other controllers: " << with_other_controllers.text;
  FILE* pipe = popen(MOTHSLIPCTL_PROGRAM " --at 127.9.9.9:1 --timeout 1 recovery status 2>&1", "r");
  ASSERT_NE(pipe, nullptr);
  char text[200] = {};
  ASSERT_NE(fgets(text, sizeof text, pipe), nullptr);
  EXPECT_EQ(WEXITSTATUS(pclose(pipe)), 3);
  EXPECT_STREQ(text, "mothslipctl: no controller answers\n");
}
