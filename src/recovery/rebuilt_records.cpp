#include "recovery/rebuilt_records.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "protocol/names.hpp"

namespace mothslip::recovery {

namespace {

constexpr double kMaxFillFraction = 0.8;  // of the value size limit; leaves room for the owners' updates
constexpr double kQuotaStepCoresOrGpus = 0.25;  // even shares of a team's limit are multiples of this
// Bytes that a machine takes in a segment in addition to its name and its record.
constexpr std::size_t kMachineOverheadBytes = 8;

class RecordBuilder {
 public:
  RecordBuilder(const Evidence& evidence, const RebuildScope& scope, const TaskSet& stored_endings,
                const Settings& settings)
      : evidence_(evidence),
        scope_(scope),
        stored_endings_(stored_endings),
        settings_(settings),
        max_record_bytes_(static_cast<std::size_t>(kMaxFillFraction * settings.value_kb * 1024)) {}

  RebuiltRecords build() {
    for (const auto& [ref, job] : evidence_.jobs) add_job(ref, job);
    add_segments();
    add_team_limits();
    return std::move(out_);
  }

 private:
  struct ShardUsage {
    double cores = 0;
    double gpus = 0;
  };

  void add_job(const std::string& ref, const JobEvidence& job) {
    JobOutcome outcome = derive_outcome(ref, job, scope_);
    hold_tasks_on_unknown_machines(outcome);
    const int shard = shard_of(ref, scope_.shards);
    switch (outcome.kind) {
      case JobOutcome::Kind::kEnded:
        add_ending(ref, shard, job, outcome);
        return;
      case JobOutcome::Kind::kWithoutDescription:
        add_without_description(ref, shard, job);
        return;
      case JobOutcome::Kind::kOpen:
        log_unless_open_at_owner(ref, shard, job, outcome);
        add_open(ref, shard, *job.record, outcome);
        return;
    }
  }

  // A source that has a placement also has its machine. If the machine is missing nevertheless, the task must
  // not be restarted, so it is held.
  void hold_tasks_on_unknown_machines(JobOutcome& outcome) const {
    std::erase_if(outcome.placements, [this, &outcome](const auto& item) {
      const bool unknown = evidence_.machines.count(item.second.machine) == 0;
      if (unknown) outcome.held.add(static_cast<std::uint32_t>(item.first));
      return unknown;
    });
  }

  // A job that its shard's last owner had as open is the usual case. If that owner is covered but did not
  // have it, the log says which evidence the job was rebuilt from.
  void log_unless_open_at_owner(const std::string& ref, int shard, const JobEvidence& job,
                                const JobOutcome& outcome) const {
    const auto& owner = scope_.covered_owners[static_cast<std::size_t>(shard)];
    if (!owner || job.open_at_token >= owner->token) return;
    spdlog::info(
        "recovery: job {}: rebuilt as open{}, although its shard's owner did not have it; accepted at "
        "revision "
        "{} (0: not known), its owner knows all endings since revision {}, in the surviving records: {}, "
        "open "
        "at an earlier owner: {}, tasks done: {}, tasks reported by workers: {}",
        ref, outcome.may_have_ended ? " with its status withheld" : "", job.accepted_at_revision.value_or(0),
        owner->endings_known_since, job.has_stored_record, job.open_at_token > 0, job.done.cardinality(),
        job.reported_by_worker.cardinality());
  }

  void add_ending(const std::string& ref, int shard, const JobEvidence& job, const JobOutcome& outcome) {
    out_.counts.ended_jobs++;
    const auto number = job_number(ref);
    if (number && stored_endings_.contains(*number)) return;
    spdlog::info("recovery: job {}: rebuilt as {}, because {}", ref, wire_name(outcome.ending),
                 job.ending ? "a source knows its ending" : "a source has it as cancelled");
    const int task_count = job.record ? job.record->spec.task_count : 0;
    out_.other_records.push_back(
        {keys::ending(shard, ref), ending_json(wire_name(outcome.ending), task_count)});
  }

  void add_without_description(const std::string& ref, int shard, const JobEvidence& job) {
    // Evidence from a worker proves that the job was accepted, because a worker only runs tasks that a
    // controller has ordered it to start. Without such evidence the job is dropped.
    if (job.reported_by_worker.isEmpty() && job.done.isEmpty() && !job.without_description) return;
    out_.counts.unaccounted_jobs++;
    UnaccountedRecord record;
    record.all_held = true;
    record.may_have_ended = true;
    record.reason = "known from workers only: its description is lost";
    out_.other_records.push_back({keys::unaccounted(shard, ref), record.to_json()});
  }

  void add_open(const std::string& ref, int shard, const JobRecord& source_record,
                const JobOutcome& outcome) {
    out_.counts.open_jobs++;
    JobRecord job_record = source_record;
    job_record.cancelled = outcome.cancelled;
    job_record.cancelled_while_delegated =
        outcome.cancelled;  // its new owner reports it once all delegates have acknowledged it
    out_.job_records.push_back({keys::job_record(shard, ref), job_record.to_json()});
    add_progress(ref, shard, to_ranges(outcome.done));
    if (!outcome.held.isEmpty() || outcome.may_have_ended) add_held(job_record.spec, shard, outcome);
    add_placements(ref, shard, job_record, outcome);
  }

  void add_held(const JobSpec& spec, int shard, const JobOutcome& outcome) {
    out_.counts.unaccounted_jobs++;
    out_.counts.held_tasks += static_cast<int>(outcome.held.cardinality());
    UnaccountedRecord record;
    record.held = to_ranges(outcome.held);
    record.may_have_ended = outcome.may_have_ended;
    // If the ranges do not fit into one record, all tasks that are neither placed nor done are held.
    if (record.held.text_bytes() > max_record_bytes_ / 2) {
      record.held.clear();
      record.all_held = true;
    }
    record.team = spec.team;
    record.job_class = spec.job_class;
    record.reason = "its tasks may have completed before records were lost";
    out_.other_records.push_back({keys::unaccounted(shard, spec.ref), record.to_json()});
  }

  void add_progress(const std::string& ref, int shard, const RangeSet& done) {
    if (done.empty()) return;
    if (done.text_bytes() <= max_record_bytes_) {
      out_.other_records.push_back({keys::progress_record(shard, ref), ProgressRecord{done}.to_json()});
      return;
    }
    const int end = done.ranges().rbegin()->second;
    for (int number = 0; number * kTasksPerProgressChunk < end; number++) {
      const int first = number * kTasksPerProgressChunk;
      const RangeSet slice = done.slice(first, first + kTasksPerProgressChunk);
      if (slice.empty()) continue;
      out_.other_records.push_back(
          {keys::progress_chunk(shard, ref, number), ProgressRecord{slice}.to_json()});
    }
  }

  // A placement is recorded by the shard of its machine. If that is not the home shard of the job, the task
  // becomes part of a delegation to it.
  void add_placements(const std::string& ref, int home, const JobRecord& job_record,
                      const JobOutcome& outcome) {
    std::map<int, RangeSet> delegated_here;
    const int team = settings_.team_index(job_record.spec.team);
    for (const auto& [task, placement] : outcome.placements) {
      const int shard = shard_of(placement.machine, scope_.shards);
      placements_by_machine_[placement.machine].push_back({ref, task, placement.attempt});
      out_.counts.placed_tasks++;
      ShardUsage& usage = usage_[{team, shard}];
      usage.cores += job_record.spec.cores;
      usage.gpus += job_record.spec.accelerators;
      if (shard != home) delegated_here[shard].insert(task);
    }
    for (auto& [shard, tasks] : delegated_here) {
      if (job_record.spec.is_gang || job_record.spec.must_share_zone || job_record.spec.must_spread_zones)
        tasks = tasks_not_done_or_held(job_record, outcome);
      DelegationRecord record;
      record.home_shard = home;
      record.job = job_record;
      record.range = tasks;
      out_.delegations.push_back(
          {keys::delegations(shard, ref) + "rebuilt", keys::job_record(home, ref), std::move(record)});
    }
  }

  // Jobs whose tasks must be placed jointly are delegated as a whole.
  static RangeSet tasks_not_done_or_held(const JobRecord& job_record, const JobOutcome& outcome) {
    RangeSet out;
    out.insert(0, job_record.spec.task_count);
    out.erase(to_ranges(outcome.done | outcome.held));
    return out;
  }

  void add_segments() {
    std::map<int, SegmentRecord> segments;  // by shard: the segment that is being filled
    std::map<int, int> segment_numbers;
    std::map<int, std::size_t> segment_bytes;
    for (auto& [name, placements] : placements_by_machine_) {
      const auto machine_item = evidence_.machines.find(name);
      if (machine_item == evidence_.machines.end()) continue;
      MachineRecord machine = machine_item->second;
      machine.placements = std::move(placements);
      const int shard = shard_of(name, scope_.shards);
      const std::size_t needed_bytes =
          name.size() + dump_json(machine.to_json()).size() + kMachineOverheadBytes;
      if (segment_bytes[shard] + needed_bytes > max_record_bytes_ && !segments[shard].machines.empty()) {
        out_.other_records.push_back(
            {keys::segment(shard, ++segment_numbers[shard]), segments[shard].to_json()});
        segments[shard] = {};
        segment_bytes[shard] = 0;
      }
      segments[shard].machines.emplace(name, std::move(machine));
      segment_bytes[shard] += needed_bytes;
    }
    for (const auto& [shard, segment] : segments)
      out_.other_records.push_back({keys::segment(shard, segment_numbers[shard] + 1), segment.to_json()});
  }

  // Each shard gets its current usage plus an even share of the rest of the team's limit. A team without
  // placed tasks needs no record, because its limit is split evenly.
  void add_team_limits() {
    for (int team = 0; team < static_cast<int>(settings_.teams.size()); team++) {
      const std::vector<ShardUsage> shard_usages = usage_by_shard(team);
      ShardUsage total;
      for (const ShardUsage& each : shard_usages) {
        total.cores += each.cores;
        total.gpus += each.gpus;
      }
      if (total.cores == 0 && total.gpus == 0) continue;
      const Team& limits = settings_.teams[static_cast<std::size_t>(team)];
      const QuotaSplitRecord record = make_quota_split(limits, shard_usages, total);
      out_.other_records.push_back({keys::quota_split(team), record.to_json()});
    }
  }

  [[nodiscard]] std::vector<ShardUsage> usage_by_shard(int team) {
    std::vector<ShardUsage> out;
    out.reserve(static_cast<std::size_t>(scope_.shards));
    for (int shard = 0; shard < scope_.shards; shard++) out.push_back(usage_[{team, shard}]);
    return out;
  }

  [[nodiscard]] QuotaSplitRecord make_quota_split(const Team& limits,
                                                  const std::vector<ShardUsage>& shard_usages,
                                                  const ShardUsage& total) const {
    const double even_cores = even_share(limits.cpus_max - total.cores);
    const double even_gpus = even_share(limits.gpus_max - total.gpus);
    QuotaSplitRecord out;
    for (const ShardUsage& each : shard_usages) {
      out.cores.push_back(each.cores + even_cores);
      out.gpus.push_back(each.gpus + even_gpus);
    }
    // The first shard gets the rounding remainder, so that the team keeps its full limit.
    const ShardUsage& first = shard_usages.front();
    out.cores.front() = first.cores + remainder_of(limits.cpus_max, total.cores, even_cores);
    out.gpus.front() = first.gpus + remainder_of(limits.gpus_max, total.gpus, even_gpus);
    return out;
  }

  [[nodiscard]] double even_share(double unused) const {
    return std::max(0.0, std::floor(unused / scope_.shards / kQuotaStepCoresOrGpus) * kQuotaStepCoresOrGpus);
  }

  // Returns how much of a limit is left for the first shard once all others have their even share.
  [[nodiscard]] double remainder_of(double limit, double used, double even) const {
    return std::max(0.0, limit - used - even * (scope_.shards - 1));
  }

  const Evidence& evidence_;
  const RebuildScope& scope_;
  const TaskSet& stored_endings_;
  const Settings& settings_;
  std::size_t max_record_bytes_;
  RebuiltRecords out_;
  std::map<std::string, std::vector<PlacementRecord>> placements_by_machine_;  // by machine
  std::map<std::pair<int, int>, ShardUsage> usage_;                            // by team and shard
};

}  // namespace

std::optional<std::uint32_t> job_number(const std::string& ref) {
  constexpr std::size_t kPrefixBytes = 4;  // "job-"
  std::uint32_t out = 0;
  const char* end = ref.data() + ref.size();
  if (ref.size() <= kPrefixBytes) return std::nullopt;
  const auto [last, error] = std::from_chars(ref.data() + kPrefixBytes, end, out);
  if (error != std::errc() || last != end) return std::nullopt;
  return out;
}

RebuiltRecords rebuild_records(const Evidence& evidence, const RebuildScope& scope,
                               const TaskSet& stored_endings, const Settings& settings) {
  return RecordBuilder(evidence, scope, stored_endings, settings).build();
}

}  // namespace mothslip::recovery
