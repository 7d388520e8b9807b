// Covers ranges, records, validation, reports, settings, token buckets and team quotas.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "bookkeeping/ledger.hpp"
#include "bookkeeping/ranges.hpp"
#include "bookkeeping/records.hpp"
#include "coordination/node/peer_messages.hpp"
#include "protocol/messages.hpp"
#include "protocol/settings.hpp"
#include "transport/token_bucket.hpp"

using namespace mothslip;

namespace {

Json valid_job() {
  return parse_json(
      R"({"ref":"job-000412","workload":"train","owner":"vision","shape":"array","urgency":"urgent",
    "pieces":16,"cores":8.0,"accelerators":0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,"flavours":["g8"],
    "hall":null,"together":false,"scatter":false,"loaner":true,"guess_s":240.0,"snapshot_every_s":30.0,
    "snapshot_cost_s":4.0,"due_s":900.0,"later":"ignored"})");
}

const char* const kSettingsToml = R"(
node = "roost-0"
area = "a"
front = "10.0.0.1:8080"
back = "10.0.0.1:8081"
extra = 3
[[members]]
node = "roost-1"
area = "b"
address = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
zones = ["a", "b"]
skew_ms = 100.0
[[settings.teams]]
name = "vision"
cpus = 64.0
cpus_max = 300.0
gpus_max = 2.0
[[settings.teams]]
name = "guests"
cpus = 0.0
cpus_max = 0.0
[settings.workers]
report_s = 1.5
lease_s = 12.0
cancel_s = 42.0
[settings.state]
rps = 100.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 24
[settings.cloud]
rps = 2.0
list_lag_s = 3.0
)";

std::string settings_error(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  try {
    parse_settings(text, "node.toml");
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST(Ranges, MatchASetOfIndicesAndSurviveTheTextForm) {
  std::mt19937 rng(7);
  RangeSet ranges;
  std::set<int> model;
  for (int step = 0; step < 3000; step++) {
    const int first = static_cast<int>(rng() % 200);
    if (rng() % 3 == 0) {
      ranges.erase(first);
      model.erase(first);
    } else {
      const int last = first + static_cast<int>(rng() % 5);
      ranges.insert(first, last);
      for (int i = first; i < last; i++) model.insert(i);
    }
    ASSERT_EQ(ranges.size(), static_cast<int>(model.size()));
    ASSERT_EQ(ranges.contains(first), model.count(first) > 0);
    ASSERT_EQ(ranges.first().value_or(-1), model.empty() ? -1 : *model.begin());
  }
  const auto restored = RangeSet::from_text(ranges.to_text(), 1000);
  ASSERT_TRUE(restored.has_value());
  EXPECT_EQ(restored->ranges(), ranges.ranges());
}

TEST(Ranges, ACompleteRangeHasAShortTextForm) {
  RangeSet all;
  for (int i = 0; i < 100000; i++) all.insert(i);
  EXPECT_EQ(all.to_text(), "0+100000");
}

TEST(Ranges, DamagedTextIsRejected) {
  for (const char* text : {"x", "0+", "1,", "-1", "0+0", "0+11", "5,5", "1+2+3", "99999999999"}) {
    EXPECT_FALSE(RangeSet::from_text(text, 10).has_value()) << text;
  }
  EXPECT_TRUE(RangeSet::from_text("", 10)->empty());
}

TEST(Records, SurviveTheRoundTrip) {
  std::string bad_field;
  JobRecord job_record{*parse_job(valid_job(), bad_field), 12.5, true};
  const auto restored_job = JobRecord::from_json(parse_json(dump_json(job_record.to_json())));
  ASSERT_TRUE(restored_job.has_value());
  EXPECT_TRUE(restored_job->cancelled);
  EXPECT_EQ(job_to_json(restored_job->spec), job_to_json(job_record.spec));

  MachineRecord machine_record{
      "10.1.0.2:9000", "g8", "a", true, 3, {{"job-2", 5, 9}, {"job-1", 0, 7}, {"job-2", 6, 10}}, {}};
  const auto restored_machine = MachineRecord::from_json(parse_json(dump_json(machine_record.to_json())));
  ASSERT_TRUE(restored_machine.has_value());
  EXPECT_EQ(restored_machine->to_json(), machine_record.to_json());
  EXPECT_EQ(restored_machine->placements.size(), 3u);
  EXPECT_FALSE(MachineRecord::from_json(parse_json(R"({"a":1})")).has_value());
}

TEST(Submission, AValidJobIsParsedInFull) {
  std::string bad_field;
  const auto spec = parse_job(valid_job(), bad_field);
  ASSERT_TRUE(spec.has_value()) << bad_field;
  EXPECT_EQ(spec->task_count, 16);
  EXPECT_EQ(spec->urgency, Urgency::kUrgent);
  EXPECT_EQ(spec->machine_types->front(), "g8");
  EXPECT_FALSE(spec->zone.has_value());
  EXPECT_DOUBLE_EQ(*spec->deadline_s, 900);
}

TEST(Submission, EachInvalidFieldIsNamed) {
  const std::vector<std::pair<std::string, Json>> invalid = {
      {"ref", "x-1"},      {"ref", "job-"},       {"ref", "job-1x"},
      {"ref", 7},          {"workload", nullptr}, {"owner", ""},
      {"shape", "daemon"}, {"urgency", "high"},   {"pieces", 0},
      {"pieces", 100001},  {"pieces", 1.5},       {"pieces", -1},
      {"cores", -1.0},     {"cores", "8"},        {"memory_gb", nullptr},
      {"pull_gb", false},  {"flavours", "g8"},    {"flavours", {1}},
      {"hall", 3},         {"together", 1},       {"loaner", nullptr},
      {"guess_s", -2},     {"due_s", "soon"},     {"snapshot_every_s", -1},
  };
  for (const auto& [field, value] : invalid) {
    Json job = valid_job();
    job[field] = value;
    std::string bad_field;
    EXPECT_FALSE(parse_job(job, bad_field).has_value()) << field << " " << value;
    EXPECT_EQ(bad_field, field);
  }
  for (const char* field : {"ref", "pieces", "cores", "bundle", "loaner", "guess_s"}) {
    Json job = valid_job();
    job.erase(field);
    std::string bad_field;
    EXPECT_FALSE(parse_job(job, bad_field).has_value()) << field;
  }
  Json job = valid_job();
  for (const char* field : {"flavours", "hall", "due_s"}) job.erase(field);
  std::string bad_field;
  EXPECT_TRUE(parse_job(job, bad_field).has_value()) << bad_field;
}

TEST(Submission, JobsThatCanNeverRunAreRejectedWithAReason) {
  const Settings settings = parse_settings(kSettingsToml, "node.toml");
  const auto types = MachineTypes::parse(parse_json(
      R"({"flavours":[{"name":"g8","cores":96,"accelerators":0,"memory_gb":768,"halls":["a"]},
                      {"name":"c4","cores":4,"memory_gb":8,"halls":["a","b"]}]})"));
  ASSERT_TRUE(types.has_value());
  const auto rejection_reason = [&](const char* field, const Json& value) {
    Json job = valid_job();
    job[field] = value;
    std::string bad_field;
    return unschedulable_reason(parse_job(job, bad_field).value(), settings, *types);
  };
  EXPECT_EQ(rejection_reason("cores", 8), "");
  EXPECT_EQ(rejection_reason("owner", "nobody"), "unknown team");
  EXPECT_EQ(rejection_reason("cores", 301), "beyond the team's limit");
  EXPECT_EQ(rejection_reason("accelerators", 3), "beyond the team's limit");
  EXPECT_EQ(rejection_reason("accelerators", 1), "fits no allowed machine type");
  // A limit of 0 means no limit. When it was enforced as 0, all jobs of guest teams were refused, and whole
  // runs failed.
  EXPECT_EQ(rejection_reason("owner", "guests"), "");
  EXPECT_EQ(rejection_reason("cores", 97), "fits no allowed machine type");
  EXPECT_EQ(rejection_reason("flavours", {"c4"}), "fits no allowed machine type");
  EXPECT_EQ(rejection_reason("hall", "b"), "fits no allowed machine type");
  EXPECT_EQ(rejection_reason("pieces", 100000U), "");
}

TEST(Reports, AreParsedOrRejectedAsAWhole) {
  const char* const valid = R"({"host":"host-000231","address":"10.1.0.232:9000","flavour":"g8","hall":"a",
    "loaner":true,"tenure":1,"tick":88,"baton":41,"warning_s":null,
    "pieces":[{"piece":"job-000412/3","try_no":2,"phase":"running"},
              {"piece":"job-000398/0","try_no":1,"phase":"exited","exit_cause":"done"}]})";
  const auto report = parse_report(parse_json(valid));
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->tasks[0].index, 3);
  EXPECT_EQ(report->tasks[1].cause, ExitCause::kDone);
  for (const auto& [field, value] :
       std::vector<std::pair<std::string, Json>>{{"host", "a b"},
                                                 {"tick", -1},
                                                 {"baton", nullptr},
                                                 {"loaner", 1},
                                                 {"pieces", {{{"piece", "job-1"}}}}}) {
    Json invalid = parse_json(valid);
    invalid[field] = value;
    EXPECT_FALSE(parse_report(invalid).has_value()) << field;
  }
}

TEST(Orders, CarryTheTokenAndTheSession) {
  const Json body = parse_json(orders_body(41, 2, {{Order::Verb::kStop, "job-1/0", 7, 10}}));
  EXPECT_EQ(body, parse_json(R"({"baton":41,"tenure":2,"orders":[
    {"verb":"stop","piece":"job-1/0","try_no":7,"wind_down_s":10.0}]})"));
}

TEST(Settings, UnknownFieldsAreIgnoredAndInvalidOnesNamed) {
  const Settings settings = parse_settings(kSettingsToml, "node.toml");
  EXPECT_EQ(settings.members.front().address, "10.0.0.2:8081");
  EXPECT_DOUBLE_EQ(settings.skew_s, 0.1);
  EXPECT_EQ(settings_error(kSettingsToml, "node = \"roost-0\"", ""), "node.toml: node: missing");
  EXPECT_EQ(settings_error(kSettingsToml, "rps = 100.0", "rps = \"fast\""),
            "node.toml: settings.state.rps: must be a number");
  EXPECT_EQ(settings_error(kSettingsToml, "cpus_max = 300.0", ""),
            "node.toml: settings.teams[0].cpus_max: missing");
  EXPECT_EQ(settings_error(kSettingsToml, "10.0.0.1:8080", "localhost:8080"),
            "node.toml: front: must be a numeric IPv4 address with a port");
  EXPECT_NE(settings_error(kSettingsToml, "area = \"a\"", "area = "), "");
  EXPECT_THROW(load_settings("no/such/file.toml", ""), SettingsError);
}

TEST(Settings, TuningIsReadFromAnIniFile) {
  Tuning tuning;
  parse_tuning("[fleet]\nidle_return_s = 12\n[preference]\nslack=0.5\n", "mothslip.ini", tuning);
  EXPECT_DOUBLE_EQ(tuning.idle_return_s, 12);
  EXPECT_DOUBLE_EQ(tuning.weight_slack, 0.5);
  EXPECT_THROW(parse_tuning("[fleet]\nheadroom = lots\n", "mothslip.ini", tuning), SettingsError);
}

TEST(TokenBucket, EnforcesItsRateAndAdmitsAnOversizedCostWhenFull) {
  TokenBucket bucket(10, 10, 0);
  for (int i = 0; i < 10; i++) {
    ASSERT_TRUE(bucket.can_take(1, 0, 0));
    bucket.take(1, 0);
  }
  EXPECT_FALSE(bucket.can_take(1, 0, 0));
  EXPECT_NEAR(bucket.wait_s(1, 0, 0), 0.1, 1e-9);
  EXPECT_TRUE(bucket.can_take(1, 0, 0.11));
  EXPECT_TRUE(bucket.can_take(25, 0, 100))
      << "a cost above the burst size is admitted when the bucket is full";
  bucket.take(25, 100);
  EXPECT_FALSE(bucket.can_take(1, 0, 101)) << "the excess cost must be paid back first";
  EXPECT_TRUE(bucket.can_take(1, 0, 101.7));
}

TEST(Teams, PlacedTasksCountTowardsTheLimit) {
  TeamLedger ledger({{"t", 8, 16, 0, 0}});
  const Resources four_cores = {4, 1, 0};
  EXPECT_FALSE(ledger.within_quota(0, four_cores)) << "no task is within the quota before the quota is set";
  ledger.set_quota(0, 16, 0, 1);
  EXPECT_EQ(ledger.tasks_within(0, four_cores), 4);
  for (int i = 0; i < 4; i++) {
    EXPECT_TRUE(ledger.within_quota(0, four_cores));
    EXPECT_EQ(ledger.within_guarantee(0, four_cores), i < 2);
    ledger.add(0, four_cores);
  }
  EXPECT_FALSE(ledger.within_quota(0, four_cores));
  EXPECT_FALSE(ledger.within_quota(0, {0, 0, 1}))
      << "a team without accelerator quota may not use accelerators";
  ledger.remove(0, four_cores);
  EXPECT_TRUE(ledger.within_quota(0, four_cores));
}

TEST(ForwardedRequest, ContainsTheNewestRevisionIfItIsKnown) {
  EXPECT_EQ(forwarded_path("/v2/runs/job-1", 0), "/v2/runs/job-1");
  EXPECT_EQ(forwarded_path("/v2/runs/job-1", 412), "/v2/runs/job-1?revision=412");
  EXPECT_EQ(forwarded_revision("revision=412"), 412u);
}

TEST(ForwardedRequest, AQueryWithoutAReadableRevisionHasNone) {
  for (const char* query :
       {"", "revision=", "revision=-1", "revision=4x", "other=4", "revision=99999999999999999999999"})
    EXPECT_EQ(forwarded_revision(query), 0u) << query;
}
