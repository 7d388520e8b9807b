// Property tests of merging evidence after a loss of state. The generated sources each know a part of the
// history of some jobs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "recovery/evidence.hpp"
#include "recovery/loss_detector.hpp"
#include "recovery/rebuilt_records.hpp"

using namespace mothslip;
using namespace mothslip::recovery;

namespace {

constexpr int kJobCount = 6;
constexpr int kTaskCount = 8;
constexpr int kShardCount = 3;

std::string job_name(int number) { return "job-" + std::to_string(1000 + number); }

JobRecord make_job_record(int number) {
  JobRecord job_record;
  job_record.spec.ref = job_name(number);
  job_record.spec.job_class = "w";
  job_record.spec.team = "red";
  job_record.spec.task_count = kTaskCount;
  job_record.spec.cores = 1;
  job_record.spec.memory_gb = 1;
  job_record.spec.image = "img";
  job_record.spec.estimated_s = 5;
  return job_record;
}

// Generates the evidence of one source on one job. Each attempt number stands for one machine, because
// attempt numbers are unique.
JobEvidence draw_job(int number) {
  JobEvidence out;
  if (*rc::gen::arbitrary<bool>()) {
    out.record = make_job_record(number);
    out.record->cancelled = *rc::gen::arbitrary<bool>();
  }
  // A job has only one ending, so all sources that know it report the same one.
  if (*rc::gen::inRange(0, 4) == 0) out.ending = number % 2 == 0 ? JobPhase::kDone : JobPhase::kCancelled;
  out.has_stored_record = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) out.accepted_at_revision = *rc::gen::inRange<std::uint64_t>(0, 12);
  if (*rc::gen::arbitrary<bool>()) out.open_at_token = *rc::gen::inRange<std::uint64_t>(1, 9);
  out.may_have_ended = *rc::gen::inRange(0, 5) == 0;
  out.without_description = *rc::gen::inRange(0, 5) == 0;
  for (std::uint32_t task = 0; task < kTaskCount; task++) {
    const int state = *rc::gen::inRange(0, 5);
    if (state == 0) out.done.add(task);
    if (state == 1) out.delegated[*rc::gen::inRange(0, kShardCount)].add(task);
    if (state == 2) {
      const int attempt = *rc::gen::inRange(1, 5);
      out.placements[{static_cast<int>(task), "host-" + std::to_string(attempt)}] = {
          static_cast<std::uint64_t>(attempt), *rc::gen::inRange<std::uint64_t>(1, 9)};
    }
    if (state == 3) out.reported_by_worker.add(task);
  }
  return out;
}

Evidence draw_evidence() {
  Evidence out;
  out.shards = kShardCount;
  out.newest_revision = *rc::gen::inRange<std::uint64_t>(0, 1000);
  for (int shard = 0; shard < kShardCount; shard++) {
    if (*rc::gen::arbitrary<bool>())
      out.owners[shard] = {*rc::gen::inRange<std::uint64_t>(1, 9), *rc::gen::arbitrary<bool>(),
                           *rc::gen::arbitrary<bool>(), static_cast<double>(*rc::gen::inRange(-9, 9)),
                           *rc::gen::inRange<std::uint64_t>(0, 12)};
  }
  for (int number = 0; number < kJobCount; number++) {
    if (*rc::gen::arbitrary<bool>()) out.jobs[job_name(number)] = draw_job(number);
  }
  for (int machine = 1; machine < 5; machine++) {
    MachineRecord record;
    record.address = "10.1.0." + std::to_string(machine) + ":9000";
    record.machine_type = "c4";
    record.zone = "a";
    record.worker_incarnation = static_cast<std::uint64_t>(*rc::gen::inRange(1, 4));
    out.machines["host-" + std::to_string(machine)] = record;
  }
  return out;
}

std::string to_json_text(const Evidence& evidence) { return dump_json(evidence.to_json()); }

Evidence merge_all(const std::vector<Evidence>& sources) {
  Evidence out;
  for (const Evidence& source : sources) out.merge(source);
  return out;
}

RebuildScope draw_scope() {
  RebuildScope out;
  out.shards = kShardCount;
  for (int shard = 0; shard < kShardCount; shard++) {
    std::optional<OwnerEvidence> owner;
    if (*rc::gen::arbitrary<bool>()) {
      owner = OwnerEvidence{*rc::gen::inRange<std::uint64_t>(1, 9), true, true, 1,
                            *rc::gen::inRange<std::uint64_t>(0, 12)};
    }
    out.covered_owners.push_back(owner);
  }
  out.nothing_runs = !out.covers_all_owners();
  return out;
}

// Whether the last owner of a machine's shard has the task placed on that machine.
bool is_placed_by_last_owner(const JobEvidence& job, int task, const RebuildScope& scope) {
  return std::any_of(job.placements.begin(), job.placements.end(), [task, &scope](const auto& item) {
    const auto& [place, placement] = item;
    const auto shard = static_cast<std::size_t>(shard_of(place.second, kShardCount));
    return place.first == task && placement.owner_token >= scope.covered_owners[shard]->token;
  });
}

}  // namespace

RC_GTEST_PROP(MergedEvidence, DoesNotDependOnOrderOrRepetition, ()) {
  const Evidence a = draw_evidence();
  const Evidence b = draw_evidence();
  const Evidence c = draw_evidence();
  const std::string all = to_json_text(merge_all({a, b, c}));
  RC_ASSERT(to_json_text(merge_all({c, a, b})) == all);
  RC_ASSERT(to_json_text(merge_all({b, c, a, b, a})) == all);
  RC_ASSERT(to_json_text(merge_all({merge_all({a, b}), merge_all({b, c})})) == all);
}

RC_GTEST_PROP(MergedEvidence, RoundTripsThroughJsonInChunks, ()) {
  const Evidence whole = draw_evidence();
  const std::vector<Evidence> chunks =
      split_into_chunks(whole, static_cast<std::size_t>(*rc::gen::inRange(1, 5)));
  Evidence joined;
  for (const Evidence& chunk : chunks) {
    const auto parsed = Evidence::from_json(parse_json(to_json_text(chunk)));
    RC_ASSERT(parsed.has_value());
    joined.merge(*parsed);
  }
  RC_ASSERT(to_json_text(joined) == to_json_text(whole));
}

RC_GTEST_PROP(MergedEvidence, PreservesWhatEverySourceReports, ()) {
  const std::vector<Evidence> sources = {draw_evidence(), draw_evidence(), draw_evidence()};
  const Evidence all = merge_all(sources);
  const RebuildScope scope = draw_scope();
  for (const Evidence& source : sources) {
    for (const auto& [ref, reported] : source.jobs) {
      const JobOutcome outcome = derive_outcome(ref, all.jobs.at(ref), scope);
      // A reported ending is preserved. Only a cancelled job that still has placed tasks is not yet recorded
      // as ended.
      if (reported.ending) {
        const bool stopping = outcome.kind == JobOutcome::Kind::kOpen && outcome.cancelled;
        RC_ASSERT(outcome.kind == JobOutcome::Kind::kEnded || stopping);
        if (reported.ending == JobPhase::kDone) RC_ASSERT(outcome.ending == JobPhase::kDone);
      }
      RC_ASSERT(reported.done.isSubset(outcome.done));
      if (reported.record && reported.record->cancelled && outcome.kind == JobOutcome::Kind::kOpen)
        RC_ASSERT(outcome.cancelled);
    }
  }
}

// Tasks that are neither done, placed nor held are started again. None of them may be a task that may be
// running or may have completed.
RC_GTEST_PROP(MergedEvidence, DoesNotRestartTasksThatMayRunOrHaveCompleted, ()) {
  const Evidence all = merge_all({draw_evidence(), draw_evidence()});
  const RebuildScope scope = draw_scope();
  for (const auto& [ref, job] : all.jobs) {
    const JobOutcome outcome = derive_outcome(ref, job, scope);
    if (outcome.kind != JobOutcome::Kind::kOpen || outcome.cancelled) continue;
    const auto& home_owner = scope.covered_owners[static_cast<std::size_t>(shard_of(ref, kShardCount))];
    for (std::uint32_t task = 0; task < kTaskCount; task++) {
      const bool placed = outcome.placements.count(static_cast<int>(task)) > 0;
      const int record_count =
          (placed ? 1 : 0) + (outcome.held.contains(task) ? 1 : 0) + (outcome.done.contains(task) ? 1 : 0);
      RC_ASSERT(record_count <= 1);
      const bool is_restarted = record_count == 0;
      if (!is_restarted) continue;
      RC_ASSERT(home_owner.has_value());
      RC_ASSERT(!job.may_have_ended);
      // A job that its owner does not know may have ended before the owner took over.
      // Only the last owner's open jobs are certainly open.
      const bool open_at_last_owner = job.open_at_token >= home_owner->token;
      RC_ASSERT(open_at_last_owner || job.accepted_at_revision.value_or(0) > home_owner->endings_known_since);
      RC_ASSERT(open_at_last_owner || !job.without_description);
      RC_ASSERT(scope.nothing_runs || !is_placed_by_last_owner(job, static_cast<int>(task), scope));
      for (const auto& [shard, tasks] : job.delegated)
        RC_ASSERT(!tasks.contains(task) || scope.covers_owner(shard));
    }
  }
}

namespace {

constexpr std::uint64_t kOwnerToken = 10;

// The memory of a controller that owns all shards, knows no open job, and has accepted one job.
NodeMemory memory_with_accepted_job(std::uint64_t accepted_at) {
  NodeMemory out;
  out.shard_count = kShardCount;
  for (int shard = 0; shard < kShardCount; shard++) {
    ShardMemory owned;
    owned.shard = shard;
    owned.fencing_token = kOwnerToken;
    owned.loaded = true;
    owned.lease_left_s = 3;
    out.owned.push_back(owned);
  }
  out.accepted.push_back({make_job_record(0), accepted_at});
  return out;
}

// Whether the job may have ended, if the evidence covers the owners of all shards.
bool may_have_ended(const Evidence& evidence) {
  RebuildScope scope;
  scope.shards = kShardCount;
  for (int shard = 0; shard < kShardCount; shard++) scope.covered_owners.push_back(evidence.owners.at(shard));
  const JobOutcome outcome = derive_outcome(job_name(0), evidence.jobs.at(job_name(0)), scope);
  EXPECT_EQ(outcome.kind, JobOutcome::Kind::kOpen);
  EXPECT_EQ(outcome.held.cardinality(), outcome.may_have_ended ? kTaskCount : 0u);
  return outcome.may_have_ended;
}

}  // namespace

// Guards against starting an ended job again because a controller remembers that it accepted the job.
TEST(AcceptedJob, IsOpenOnlyIfItsOwnerKnowsAllLaterEndings) {
  EXPECT_FALSE(may_have_ended(to_evidence(memory_with_accepted_job(kOwnerToken + 1))));
  EXPECT_TRUE(may_have_ended(to_evidence(memory_with_accepted_job(kOwnerToken))));
  NodeMemory memory = memory_with_accepted_job(kOwnerToken + 1);
  memory.terminals_known_since = kOwnerToken + 1;
  EXPECT_TRUE(may_have_ended(to_evidence(memory))) << "Its ending may have been dropped from the cache.";
}

// Guards against starting a task again because an earlier owner of its machine's shard, which was isolated,
// still had it placed there: the machine then reports that it does not have the task.
TEST(PlacedTask, IsPlacedOnlyIfTheLastOwnerHasItPlaced) {
  constexpr int kTask = 3;
  const std::string machine = "host-1";
  const int shard = shard_of(machine, kShardCount);
  const auto memory_of_owner = [&machine, shard](std::uint64_t token, bool has_placement) {
    NodeMemory out = memory_with_accepted_job(kOwnerToken);
    ShardMemory& owned = out.owned[static_cast<std::size_t>(shard)];
    owned.fencing_token = token;
    if (has_placement) owned.machines[machine].placements = {{job_name(0), kTask, 7}};
    return out;
  };
  const auto merged_outcome = [](const std::vector<Evidence>& sources) {
    const Evidence all = merge_all(sources);
    RebuildScope scope;
    scope.shards = kShardCount;
    for (int each = 0; each < kShardCount; each++) scope.covered_owners.push_back(all.owners.at(each));
    return derive_outcome(job_name(0), all.jobs.at(job_name(0)), scope);
  };
  const Evidence earlier = to_evidence(memory_of_owner(kOwnerToken, true));
  const Evidence last_without = to_evidence(memory_of_owner(kOwnerToken + 1, false));
  const Evidence last_with = to_evidence(memory_of_owner(kOwnerToken + 1, true));
  EXPECT_TRUE(merged_outcome({earlier, last_without}).placements.empty());
  EXPECT_TRUE(merged_outcome({last_without, earlier}).held.contains(kTask));
  EXPECT_EQ(merged_outcome({earlier, last_with}).placements.count(kTask), 1u);
}

// A second acceptance, by a state service that had lost the first, does not show that the job never ran.
TEST(AcceptedJob, CountsFromItsFirstAcceptance) {
  const Evidence first = to_evidence(memory_with_accepted_job(kOwnerToken - 1));
  const Evidence second = to_evidence(memory_with_accepted_job(kOwnerToken + 5));
  EXPECT_TRUE(may_have_ended(merge_all({first, second})));
  EXPECT_TRUE(may_have_ended(merge_all({second, first})));
}

// Guards against starting a job again that an earlier rebuild could not account for: its user has submitted
// it again, because its description was lost, and its owner has not read that yet.
TEST(AcceptedJob, MayHaveEndedIfAnEarlierRebuildHeldItForLackOfADescription) {
  NodeMemory memory = memory_with_accepted_job(kOwnerToken + 1);
  for (ShardMemory& owned : memory.owned) owned.without_description = {job_name(0)};
  EXPECT_TRUE(may_have_ended(to_evidence(memory)));
}

// Controllers of an earlier version say neither when they accepted a job nor since when they know all
// endings.
TEST(AcceptedJob, MayHaveEndedIfAnEarlierVersionReportsIt) {
  const Json current = to_evidence(memory_with_accepted_job(kOwnerToken + 1)).to_json();
  Json from_earlier_acceptor = current;
  from_earlier_acceptor["jobs"][job_name(0)].erase("accepted_at");
  Json from_earlier_owner = current;
  for (Json& owner : from_earlier_owner["owners"]) owner.erase(5);
  for (const Json& message : {from_earlier_acceptor, from_earlier_owner}) {
    const auto evidence = Evidence::from_json(parse_json(dump_json(message)));
    ASSERT_TRUE(evidence.has_value());
    EXPECT_TRUE(may_have_ended(*evidence));
  }
  EXPECT_FALSE(may_have_ended(*Evidence::from_json(parse_json(dump_json(current)))));
}

// Each placed task is in exactly one journal segment, which belongs to the shard of its machine, and the
// quota of its team covers its cores.
RC_GTEST_PROP(RebuiltRecords, HoldEveryPlacementOnceWithinTheTeamLimit, ()) {
  Settings settings;
  settings.value_kb = 1;
  settings.teams = {{"red", 8, kJobCount * kTaskCount, 0, 0}};
  const Evidence all = merge_all({draw_evidence(), draw_evidence()});
  RebuildScope scope;
  scope.shards = kShardCount;
  scope.covered_owners.assign(kShardCount, OwnerEvidence{1, true, true, 1, 1});
  const RebuiltRecords records = rebuild_records(all, scope, {}, settings);
  int placed = 0;
  double quota_cores = 0;
  for (const RecordWrite& record : records.other_records) {
    RC_ASSERT(dump_json(record.data).size() <= 1024);
    if (record.key.rfind(keys::kQuotaSplits, 0) == 0) {
      for (const Json& cores : record.data["c"]) quota_cores += cores.get<double>();
    }
    if (record.key.rfind("h/", 0) != 0) continue;
    const auto segment = SegmentRecord::from_json(record.data);
    RC_ASSERT(segment.has_value());
    for (const auto& [name, machine] : segment->machines) {
      placed += static_cast<int>(machine.placements.size());
      RC_ASSERT(record.key.rfind(keys::segments(shard_of(name, kShardCount)), 0) == 0);
    }
  }
  RC_ASSERT(placed == records.counts.placed_tasks);
  // Without a quota record, a limit is split evenly.
  RC_ASSERT(quota_cores == kJobCount * kTaskCount || (quota_cores == 0 && placed == 0));
}

TEST(LossDetector, IgnoresDelayedAnswers) {
  int losses = 0;
  LossDetector detector(0, [&losses](const std::string&) { losses++; });
  detector.on_revision(0, 10);
  detector.on_revision(10, 10);  // The revision has not changed.
  detector.on_peer_revision(15);
  // The request was sent before the peer reported revision 15, so the answer may be older.
  detector.on_revision(10, 12);
  EXPECT_EQ(losses, 0);
  EXPECT_FALSE(detector.is_state_lost());
  detector.on_revision(15, 14);
  EXPECT_EQ(losses, 1);
  EXPECT_TRUE(detector.is_state_lost());
  detector.on_other_incarnation();
  EXPECT_EQ(losses, 1) << "The loss must be reported only once.";
}

TEST(Incarnation, KeysAndRevisionsAreTranslatedBothWays) {
  Incarnation second;
  second.number = 2;
  second.prefix = "r/2-77/";
  second.token_offset = 1000;
  second.earlier_prefixes = {""};
  const KeySpace space(second);
  EXPECT_EQ(space.stored_key("w/j/0/job-1"), "r/2-77/w/j/0/job-1");
  EXPECT_EQ(space.logical_key("r/2-77/w/j/0/job-1"), "w/j/0/job-1");
  EXPECT_EQ(space.stored_key("meta"), "meta") << "All incarnations share the key `meta`.";
  EXPECT_EQ(space.stored_key("/e/0/job-1"), "e/0/job-1") << "A leading slash makes a key absolute.";
  EXPECT_EQ(space.ending_keys(0, "job-1"), (std::vector<std::string>{"e/0/job-1", "/e/0/job-1"}));
  const std::string body = R"({"guards":[{"k":"a","stamp":0},{"k":"b","stamp":1005},{"k":"c","stamp":7}],)"
                           R"("then":[{"put":"a","data":1},{"delete":"b"}]})";
  const Json stored = parse_json(space.stored_body(body));
  EXPECT_EQ(stored["guards"][0]["stamp"], 0)
      << "Stamp 0 requires that the key does not exist, in every incarnation.";
  EXPECT_EQ(stored["guards"][1]["stamp"], 5);
  EXPECT_GT(stored["guards"][2]["stamp"], 1'000'000)
      << "A stamp of an earlier incarnation must match no revision.";
  EXPECT_EQ(stored["then"][1]["delete"], "r/2-77/b");
  Json answer = parse_json(R"({"epoch":9,"failed":["r/2-77/a"],"items":[{"k":"r/2-77/b","stamp":4}]})");
  space.translate_reply(answer);
  EXPECT_EQ(answer["epoch"], 1009);
  EXPECT_EQ(answer["failed"][0], "a");
  EXPECT_EQ(answer["items"][0]["stamp"], 1004);
}

TEST(Incarnation, OnlyTheFirstMetaHasTheFormThatEarlierVersionsWrite) {
  MetaRecord meta;
  meta.shards = 3;
  EXPECT_EQ(meta.to_json(), (Json{{"parts", 3}, {"form", 2}}));
  meta.target_incarnation = 2;
  EXPECT_EQ(meta.to_json()["form"], 3);
  EXPECT_TRUE(MetaRecord::from_json(meta.to_json())->is_rebuilding());
  meta.incarnation = {2, "r/2-1/", 99, {""}};
  EXPECT_FALSE(MetaRecord::from_json(meta.to_json())->is_rebuilding());
  EXPECT_EQ(MetaRecord::from_json(meta.to_json())->incarnation, meta.incarnation);
  EXPECT_FALSE(MetaRecord::from_json(Json{{"parts", 3}, {"form", 4}}));
}
