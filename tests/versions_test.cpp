// The version in production and this version run side by side. This version reads the records and messages of
// production, and what it writes for arrays has all fields of production with values of the same kind.
// tests/samples/README.md describes the samples.
#include <gtest/gtest.h>

#include <fstream>

#include "bookkeeping/records.hpp"
#include "coordination/fleet/shard_summary.hpp"
#include "sim/checks.hpp"
#include "sim/collector.hpp"
#include "sim/days.hpp"
#include "sim/world.hpp"

using namespace mothslip;
using namespace mothslip::sim;

namespace {

Json samples() {
  std::ifstream in(std::string(SAMPLES_DIR) + "/production.json");
  return Json::parse(in);
}

// Returns whether `value` contains all fields and values of `expected`. It may contain more fields.
bool contains_all(const Json& value, const Json& expected) {
  if (expected.is_object()) {
    if (!value.is_object()) return false;
    for (const auto& [name, item] : expected.items()) {
      if (!value.contains(name) || !contains_all(value[name], item)) return false;
    }
    return true;
  }
  return value == expected;
}

// Replaces ids of jobs and machines that are used as keys by a placeholder, so that shapes can be compared.
std::string normalized_field_name(const std::string& name) {
  if (name.rfind("host-", 0) == 0) return "HOST";
  const bool is_job = name.rfind("job-", 0) == 0 || name.rfind("w/b/", 0) == 0;
  return is_job ? "JOB" : name;
}

const char* json_kind(const Json& value) {
  if (value.is_boolean()) return "flag";
  if (value.is_number()) return "number";
  if (value.is_string()) return "text";
  if (value.is_null()) return "null";
  return "list";
}

// Adds each field of the value to the shape, with the kind of value that it holds.
void add_shape(const Json& value, const std::string& path,
               std::map<std::string, std::set<std::string>>& shape) {
  if (value.is_object()) {
    for (const auto& [name, item] : value.items())
      add_shape(item, path + "." + normalized_field_name(name), shape);
  } else if (value.is_array()) {
    shape[path].insert("list");
    for (const Json& item : value) add_shape(item, path + "[]", shape);
  } else {
    shape[path].insert(json_kind(value));
  }
}

std::map<std::string, std::set<std::string>> shape_of(const Json& values) {
  std::map<std::string, std::set<std::string>> out;
  for (const Json& value : values) add_shape(value, "", out);
  return out;
}

// Submits arrays and injects faults so that every kind of record and message occurs.
void submit_array_workload(World& world) {
  submit_jobs(world, 2, 60);
  for (int i = 0; i < 4; i++) world.submit(plain_job(world, 40 + i, 5 + i, 40, 30, 1));
  for (int i = 0; i < 3; i++) {
    UserJob job = plain_job(world, 50 + i, 20 + i, 30, 40, 4);
    job.cancel_at = 50 + 6 * i;
    world.submit(job);
  }
  world.at(45, [&world] { world.network.partition_node_from_workers(1); });
  world.at(70, [&world] { world.network.heal_partitions(); });
}

}  // namespace

TEST(Versions, ProductionRecordsSurviveARoundTrip) {
  const Json records = samples()["records"];
  for (const Json& value : records["w/j"]) {
    const auto job_record = JobRecord::from_json(value);
    ASSERT_TRUE(job_record.has_value()) << value;
    EXPECT_EQ(job_record->to_json(), value);
    EXPECT_FALSE(job_record->spec.is_gang);
  }
  for (const Json& value : records["w/b"]) {
    const auto delegation = DelegationRecord::from_json(value);
    ASSERT_TRUE(delegation.has_value()) << value;
    EXPECT_EQ(delegation->to_json(), value);
  }
  for (const Json& value : records["h"]) {
    const auto segment = SegmentRecord::from_json(value);
    ASSERT_TRUE(segment.has_value()) << value;
    EXPECT_EQ(segment->to_json(), value);
  }
  for (const Json& value : records["types"]) {
    const auto types = MachineTypes::parse(value);
    ASSERT_TRUE(types.has_value()) << value;
    EXPECT_EQ(types->to_json(), value);
  }
  for (const Json& value : records["d"])
    EXPECT_TRUE(RangeSet::from_text(value["done"].get<std::string>(), 100000).has_value()) << value;
}

TEST(Versions, ProductionMessagesSurviveARoundTrip) {
  const Json messages = samples()["messages"];
  for (const Json& message : messages["/peer/summary"]) {
    const auto summary = ShardSummary::from_json(message["request"]["body"]);
    ASSERT_TRUE(summary.has_value()) << message;
    EXPECT_TRUE(contains_all(summary->to_json(), message["request"]["body"])) << summary->to_json();
    if (message["status"] != 200) continue;
    EXPECT_TRUE(contains_all(FleetOrders::from_json(message["answer"]).to_json(), message["answer"]))
        << message;
  }
  for (const Json& message : messages["/peer/hello"])
    EXPECT_TRUE(parse_report(message["request"]).has_value()) << message;
}

// This version writes every field that production writes for arrays, with the same kind of value.
TEST(Versions, ArrayRecordsAndMessagesKeepTheProductionFields) {
  set_up_log();
  Options sim_options;
  sim_options.seed = 7;
  World world(sim_options);
  Collector collector(world);
  submit_array_workload(world);

  world.run_until(330);

  expect_invariants_hold(world);
  const Json production = samples();
  const auto expect_same = [](const std::string& subject, const Json& production_values,
                              const Json& current_values) {
    const auto shape = shape_of(current_values);
    for (const auto& [field, kinds] : shape_of(production_values)) {
      ASSERT_TRUE(shape.count(field) > 0) << subject << " lacks the field " << field;
      for (const std::string& kind : kinds)
        EXPECT_TRUE(shape.at(field).count(kind) > 0)
            << subject << field << " never holds a value of kind " << kind;
    }
  };
  for (const auto& [kind, values] : production["records"].items())
    expect_same(kind, values, collector.records[kind]);
  for (const auto& [path, values] : production["messages"].items())
    expect_same(path, values, collector.messages[path]);
}

namespace {

class Upgrade : public ::testing::TestWithParam<int> {
 protected:
  void SetUp() override { set_up_log(); }
  static Options options() {
    Options out;
    out.seed = static_cast<std::uint64_t>(GetParam());
    out.runs_earlier_version = true;
    out.next_value_kb = 2;
    out.next_txn_ops = 4;
    out.next_write_rps = 20;
    out.market_machines = 6;
    out.team_cpus = 100;
    out.team_max_cpus = 300;
    return out;
  }
};

}  // namespace

// Shards, delegations, quota shares, relayed reports and cancellations pass between the two versions in both
// directions, while processes of both versions crash, restart with the same version, or are partitioned.
TEST_P(Upgrade, FaultsDuringARollingUpgrade) {
  World world(options());
  submit_jobs(world, 2, 100);
  for (int i = 0; i < 6; i++) world.submit(plain_job(world, 40 + i, 5 + 12 * i, 40, 25, 1));
  world.at(40, [&world] { world.nodes.upgrade(0, 2); });
  world.at(46, [&world] { world.nodes.crash(1, 0.3); });  // restarts with the earlier version
  world.at(50, [&world] { world.network.partition_node(0, true); });
  world.at(62, [&world] { world.network.heal_partitions(); });
  world.at(66, [&world] { world.network.partition_node_from_workers(2); });
  world.at(75, [&world] { world.nodes.upgrade(1, 0.3); });
  world.at(80, [&world] {
    for (int i = 0; i < 3; i++) world.nodes.crash(i, 0.3 + i);  // two of the new version and one of the old
  });
  world.at(90, [&world] { world.network.heal_partitions(); });
  world.at(95, [&world] { world.nodes.upgrade(2, 8); });
  world.at(100, [&world] { world.state.lower_limits(2, 4, 20); });
  world.faults_end_at = 115;

  world.run_until(360);

  expect_invariants_hold(world);
  EXPECT_EQ(world.state.oversized_transactions, 0);
}

// An upgrade stops half way, and both versions keep serving jobs side by side.
TEST_P(Upgrade, MixedVersionsKeepServing) {
  World world(options());
  submit_jobs(world, 2, 140);
  world.at(40, [&world] { world.nodes.upgrade(1, 2); });
  world.at(70, [&world] { world.nodes.crash(1, 9); });
  world.at(110, [&world] { world.nodes.crash(0, 9); });
  world.faults_end_at = 125;

  world.run_until(360);

  expect_invariants_hold(world);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Upgrade, ::testing::Range(1, 1 + seed_count()));
