// Tests of the limits of the state service. Limits announced in `state.next` apply to writes from the start,
// records written under larger limits are read and split, and the write rate follows a lowered limit.
#include <gtest/gtest.h>

#include "bookkeeping/records.hpp"
#include "sim/checks.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"
#include "transport/adaptive_rate.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

constexpr double kSmallValueKibibytes = 2;
constexpr int kSmallTransactionOperations = 4;

class StateLimits : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  // The cluster has capacity for hundreds of small tasks, so that records grow large.
  static Options options() {
    Options out;
    out.seed = static_cast<std::uint64_t>(GetParam());
    out.message_loss_share = 0.002;
    out.market_machines = 8;
    out.team_cpus = 150;
    out.team_max_cpus = 600;
    out.next_value_kb = kSmallValueKibibytes;
    out.next_txn_ops = kSmallTransactionOperations;
    out.next_write_rps = 20;
    out.enforces_rate_limits = true;
    return out;
  }
  static void submit_many_tasks(World& world, double first_submit_at, double run_s) {
    for (int i = 0; i < 10; i++) world.submit(plain_job(world, i, first_submit_at + 2 * i, 60, run_s, 1));
  }
  static void lower_limits(World& world) {
    world.state.lower_limits(kSmallValueKibibytes, kSmallTransactionOperations, world.options.next_write_rps);
  }
};

std::size_t largest_segment_bytes(const World& world) {
  std::size_t largest_bytes = 0;
  for (const auto& [key, value] : world.state.values()) {
    if (key.rfind("h/", 0) == 0) largest_bytes = std::max(largest_bytes, value.dump().size());
  }
  return largest_bytes;
}

void commit_record(World& world, const std::string& key, Json data) {
  Transaction txn;
  txn.put(key, std::move(data));
  world.state.handle("POST", "/commit", txn.body(), [](int status, const Json&) { EXPECT_EQ(status, 200); });
}

}  // namespace

TEST(AdaptiveRate, FallsToTheAnnouncedRateAfterRefusalAndRises) {
  AdaptiveRate rate(30, 21, 0);
  EXPECT_TRUE(rate.on_refusal(5));
  EXPECT_FALSE(rate.on_refusal(5.2));  // This refusal belongs to the same burst.
  EXPECT_DOUBLE_EQ(rate.current_rps(), 21);
  EXPECT_FALSE(rate.raise(10));  // It is too early to raise the rate again.
  EXPECT_DOUBLE_EQ(rate.current_rps(), 21);
  for (double now = 16; now < 60; now += 1) rate.raise(now);
  EXPECT_DOUBLE_EQ(rate.current_rps(), 30);
}

TEST(AdaptiveRate, StaysWhenNoLowerRateIsAnnounced) {
  AdaptiveRate rate(30, 30, 0);
  EXPECT_FALSE(rate.on_refusal(5));
  EXPECT_DOUBLE_EQ(rate.current_rps(), 30);
}

// Writers keep the smaller limits from the start. The service begins to enforce them during a takeover.
TEST_P(StateLimits, AreLoweredDuringTakeover) {
  World world(options());
  submit_many_tasks(world, 5, 40);
  world.at(60, [&world] { world.nodes.crash(1, 8); });
  world.at(62, [&world] { lower_limits(world); });
  world.faults_end_at = 75;

  world.run_until(330);

  expect_invariants_hold(world);
  EXPECT_EQ(world.state.oversized_transactions, 0);
}

// The earlier version wrote segments that are larger than later limits allow. They must stay readable, and
// no content may be lost while they are split.
TEST_P(StateLimits, LargerSegmentsOfThePreviousVersionAreSplit) {
  Options sim_options = options();
  sim_options.runs_earlier_version = true;
  World world(sim_options);
  submit_many_tasks(world, 2, 70);
  std::size_t largest_before_split_bytes = 0;
  world.at(60, [&] { largest_before_split_bytes = largest_segment_bytes(world); });
  for (int i = 0; i < 3; i++) world.at(60 + 8 * i, [&world, i] { world.nodes.upgrade(i, 2); });
  world.at(95, [&world] { lower_limits(world); });
  world.at(100, [&world] { world.nodes.crash(0, 0.3); });
  world.faults_end_at = 110;

  world.run_until(420);

  expect_invariants_hold(world);
  EXPECT_GT(largest_before_split_bytes, static_cast<std::size_t>(1024 * kSmallValueKibibytes));
  EXPECT_EQ(world.state.oversized_transactions, 0);
  for (const auto& [ref, job] : world.jobs) EXPECT_TRUE(job.user_saw_done) << ref;
}

// Processes of both versions crash and restart, so that journal segments pass from one version to the other
// and back.
TEST_P(StateLimits, SegmentsMoveBetweenVersionsInBothDirections) {
  Options sim_options = options();
  sim_options.runs_earlier_version = true;
  World world(sim_options);
  submit_many_tasks(world, 2, 60);
  world.at(40, [&world] { world.nodes.upgrade(0, 1); });
  // The shard of node 0 moves to a node of the earlier version and returns.
  world.at(58, [&world] { world.nodes.crash(0, 9); });
  world.at(60, [&world] { world.nodes.crash(1, 0.3); });
  world.at(95, [&world] { world.nodes.upgrade(1, 1); });
  world.at(96, [&world] { world.nodes.crash(2, 5); });  // Node 2 restarts with the earlier version.
  world.at(110, [&world] { world.nodes.upgrade(2, 1); });
  world.faults_end_at = 125;

  world.run_until(420);

  expect_invariants_hold(world);
  EXPECT_EQ(world.state.oversized_transactions, 0);
}

// The service lowers its limits without announcing it. Controllers must make their writes smaller, and no
// shard may be given up repeatedly.
TEST_P(StateLimits, AreLoweredWithoutAnnouncement) {
  Options sim_options = options();
  sim_options.next_value_kb = 0;
  sim_options.next_txn_ops = 0;
  sim_options.next_write_rps = 0;
  World world(sim_options);
  world.state.allows_oversized = true;
  submit_many_tasks(world, 2, 60);
  world.at(50, [&world] { world.state.lower_limits(kSmallValueKibibytes, kSmallTransactionOperations, 20); });
  world.faults_end_at = 60;

  world.run_until(420);

  expect_invariants_hold(world);
  EXPECT_GT(world.state.oversized_transactions, 0);
  EXPECT_LT(world.state.oversized_transactions, 40);
}

// Every second one of 100,000 tasks is completed. The completions do not fit into a single record of the
// allowed size.
TEST(RecordSizeLimits, ScatteredCompletionsOfHugeJobAreKept) {
  set_up_log();
  Options sim_options;
  sim_options.message_loss_share = 0;
  sim_options.nodes = 1;
  sim_options.items_per_page = 500;
  sim_options.next_value_kb = kSmallValueKibibytes;
  sim_options.next_txn_ops = kSmallTransactionOperations;
  World world(sim_options);
  UserJob job = plain_job(world, 1, 8, 100000, 30, 4);
  const std::string ref = job.ref;
  RangeSet done;
  world.at(6, [&] {
    JobRecord job_record;
    std::string reason;
    job_record.spec = *parse_job(parse_json(dump_json(job.body)), reason);
    job_record.submitted_at = 1.7e9;
    commit_record(world, keys::job_record(0, ref), job_record.to_json());
    for (int chunk = 0; chunk * 512 < 100000; chunk++) {
      RangeSet scattered;
      for (int i = chunk * 512; i < std::min(100000, (chunk + 1) * 512); i += 2) scattered.insert(i);
      done.insert(scattered);
      commit_record(world, keys::progress_chunk(0, ref, chunk), {{"done", scattered.to_text()}});
    }
    for (int i = 0; i < 100000; i += 2) job.completed.insert(i);
    world.submit(job);
    world.nodes.crash(0, 0.3);
  });

  world.run_until(150);

  EXPECT_TRUE(world.violations.empty()) << world.summary();
  const auto& starts = world.jobs.at(ref).starts;
  EXPECT_GT(starts.size(), 20u);
  for (const auto& [index, count] : starts)
    EXPECT_EQ(index % 2, 1) << "A task that had already completed was started again.";
  // Later completions must also be durable, although no single record holds all completions.
  RangeSet durable;
  for (const auto& [key, value] : world.state.values()) {
    EXPECT_LE(value.dump().size(), 1024 * kSmallValueKibibytes) << key;
    if (key.rfind("d/0/", 0) == 0) durable.insert(*RangeSet::from_text(value["done"], 100000));
    if (key.rfind("h/0/", 0) == 0 && value.contains("d") && value["d"].contains(ref))
      durable.insert(*RangeSet::from_text(value["d"][ref], 100000));
  }
  EXPECT_GT(durable.size(), done.size());
}

// If a rental asks for more combinations of machine type and zone than one rental record can name, it is made
// in several steps.
TEST(RecordSizeLimits, RentalOfManyMachineTypesAndZonesIsSplit) {
  set_up_log();
  Options sim_options;
  sim_options.message_loss_share = 0;
  sim_options.market_machines = 1;
  sim_options.zones.clear();
  for (int i = 0; i < 30; i++)
    sim_options.zones.push_back("hall-with-a-name-of-some-length-" + std::to_string(i));
  sim_options.team_max_cpus = 2000;
  sim_options.next_value_kb = 1;
  sim_options.next_txn_ops = 4;
  sim_options.cloud_rps = 50;
  World world(sim_options);
  world.state.lower_limits(1, 4, sim_options.write_rps);
  for (int i = 0; i < 4; i++) world.submit(plain_job(world, i, 3, 80, 15, 4));
  std::size_t largest_bytes = 0;
  world.network.on_commit = [&largest_bytes](const std::string&, const Json& txn) {
    for (const Json& change : txn["then"]) {
      if (change.contains("put") && change["put"].get<std::string>().rfind(keys::kRentals, 0) == 0)
        largest_bytes = std::max(largest_bytes, change["data"].dump().size());
    }
  };

  world.run_until(240);

  expect_invariants_hold(world);
  EXPECT_GT(largest_bytes, 600u);
  EXPECT_LE(largest_bytes, 1024u);
  EXPECT_EQ(world.state.oversized_transactions, 0);
}

// The machine types do not fit into a single record. A node that starts during an outage of the cloud must
// read them from several records.
TEST(RecordSizeLimits, MachineTypesAreReadFromSeveralRecords) {
  set_up_log();
  Options sim_options;
  sim_options.message_loss_share = 0;
  sim_options.zones.clear();
  for (int i = 0; i < 20; i++)
    sim_options.zones.push_back("hall-with-a-name-of-some-length-" + std::to_string(i));
  sim_options.next_value_kb = 1;
  sim_options.next_txn_ops = 4;
  World world(sim_options);
  world.state.lower_limits(1, 4, sim_options.write_rps);
  world.submit(plain_job(world, 1, 3, 8, 15, 4));
  world.at(40, [&world] {
    world.cloud.outage = true;
    for (int i = 0; i < world.options.nodes; i++) world.nodes.crash(i, 0.3);
  });
  world.submit(plain_job(world, 2, 50, 4, 5, 1));

  world.run_until(140);

  expect_invariants_hold(world);
  EXPECT_EQ(world.state.values().count(keys::kTypes), 0u);
  EXPECT_EQ(world.state.oversized_transactions, 0);
  for (const auto& [ref, job] : world.jobs) EXPECT_TRUE(job.user_saw_done) << ref;
}

// Unknown and repeated names are removed from a job's list of allowed machine types, which could otherwise be
// too long for a record.
TEST(RecordSizeLimits, UnknownMachineTypesAreRemoved) {
  JobSpec spec;
  MachineTypes types =
      *MachineTypes::parse(parse_json(R"({"flavours":[{"name":"c4","cores":4,"memory_gb":16}]})"));
  spec.machine_types = std::vector<std::string>{"none", "c4", "neither", "c4"};
  remove_unknown_machine_types(spec, types);
  EXPECT_EQ(*spec.machine_types, std::vector<std::string>{"c4"});
}

INSTANTIATE_TEST_SUITE_P(Seeds, StateLimits, ::testing::Range(1, 1 + seed_count()));
