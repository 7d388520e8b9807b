#include "recovery/rebuild.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "coordination/ownership/ownership.hpp"

namespace mothslip::recovery {

namespace {
// A controller that has just terminated restarts within a few seconds and then replies with empty evidence.
constexpr double kMemoryCollectionTimeoutSeconds = 15.0;
constexpr double kReportCollectionTimeoutSeconds = 3.0;
constexpr double kRetryDelaySeconds = 0.5;
// Fraction of the state service's request limits, of which other controllers use little during a rebuild.
constexpr double kStoreRateFraction = 0.8;
constexpr double kSafetyMarginSeconds = 2.0;  // for messages in transit and clock differences
// Maximum drift between two steady clocks, as a fraction of the elapsed time. It is twice the drift that the
// protocol allows and must be no less than the drift that Ownership assumes.
constexpr double kMaxClockDriftFraction = 0.001;
// Distance of the new tokens from the highest known one. An unknown owner can have issued far fewer in the
// meantime.
constexpr std::uint64_t kTokenGap = std::uint64_t{1} << 30U;
}  // namespace

const char* phase_name(RebuildPhase phase) {
  switch (phase) {
    case RebuildPhase::kGathering:
      return "gathering";
    case RebuildPhase::kWaiting:
      return "waiting";
    case RebuildPhase::kReading:
      return "reading";
    case RebuildPhase::kWriting:
      return "writing";
    case RebuildPhase::kPublishing:
      return "publishing";
  }
  return "";
}

Rebuild::Rebuild(Env& env, const Settings& settings, Plan plan, Handlers handlers)
    : env_(env),
      store_(env_, settings),
      settings_(settings),
      plan_(std::move(plan)),
      handlers_(std::move(handlers)),
      started_at_(env.now()),
      collector_(env_, settings, plan_.meta.target_incarnation) {
  store_.set_share(kStoreRateFraction);
}

void Rebuild::start() {
  spdlog::warn("recovery: this controller leads the rebuild of the records as incarnation {}",
               plan_.meta.target_incarnation);
  gather();
}

RebuildStatus Rebuild::status() const {
  RebuildStatus out;
  out.phase = phase_name(phase_);
  out.elapsed_s = env_.now() - started_at_;
  out.missing_controllers = unresponsive_;
  out.open_jobs = counts_.open_jobs;
  out.ended_jobs = counts_.ended_jobs;
  out.unaccounted_jobs = counts_.unaccounted_jobs;
  if (phase_ == RebuildPhase::kWaiting)
    out.remaining_wait_s = std::max(0.0, all_tasks_stopped_at() - env_.now());
  if (writer_) out.records = RebuildStatus::Records{writer_->total_records(), writer_->written_records()};
  return out;
}

void Rebuild::gather() {
  phase_ = RebuildPhase::kGathering;
  collector_.collect(kMemoryCollectionTimeoutSeconds,
                     [this](const EvidenceCollector::Result& result) { on_gathered(result); });
}

void Rebuild::merge_evidence(const Evidence& peer_evidence) {
  evidence_.merge(peer_evidence);
  evidence_.merge(plan_.own_evidence());
  evidence_.shards = plan_.meta.shards;
}

void Rebuild::on_gathered(const EvidenceCollector::Result& result) {
  merge_evidence(result.evidence);
  unresponsive_ = result.unresponsive;
  scope_ = make_scope(result);
  if (scope_.covers_all_owners()) {
    spdlog::info(
        "recovery: received the evidence of the owners of all {} shards; reading the surviving records",
        scope_.shards);
    read_records();
  } else {
    wait_until_nothing_runs();
  }
}

// The memory of an owner is complete for its shard unless a later owner existed whose evidence is missing.
// There cannot have been one if the owner's lease was still valid, or if every process that could have
// claimed the shard has been running since before that lease ended and has not claimed it.
RebuildScope Rebuild::make_scope(const EvidenceCollector::Result& result) const {
  RebuildScope out;
  out.shards = plan_.meta.shards;
  out.covered_owners.resize(static_cast<std::size_t>(out.shards));
  double shortest_uptime_s = plan_.process_uptime_s;
  for (const double uptime_s : result.uptimes_s) shortest_uptime_s = std::min(shortest_uptime_s, uptime_s);
  for (const auto& [shard, owner] : evidence_.owners) {
    if (shard < 0 || shard >= out.shards || !owner.loaded) continue;
    const bool no_later_owner_possible =
        result.unresponsive.empty() && shortest_uptime_s > kSafetyMarginSeconds - owner.lease_left_s;
    if (owner.had_lease || no_later_owner_possible)
      out.covered_owners[static_cast<std::size_t>(shard)] = owner;
  }
  return out;
}

// No controller makes decisions after the end of its lease, which is at most `kLeaseSeconds` after this
// rebuild was recorded. No controller renews a worker's lease beyond `cancel_s` after the end of its own. By
// then every task has stopped, and every machine has a new worker incarnation or no longer exists.
double Rebuild::all_tasks_stopped_at() const {
  return started_at_ + (Ownership::kLeaseSeconds + settings_.cancel_s) * (1 + kMaxClockDriftFraction) +
         kSafetyMarginSeconds;
}

void Rebuild::wait_until_nothing_runs() {
  phase_ = RebuildPhase::kWaiting;
  const double wait_s = std::max(0.0, all_tasks_stopped_at() - env_.now());
  spdlog::warn(
      "recovery: the evidence of some shard owners is missing; waiting {:.0f} s until every task that may "
      "still run has stopped",
      wait_s);
  scope_.nothing_runs = true;
  env_.after(wait_s, [this] {
    // Collects what workers have reported in the meantime.
    collector_.collect(kReportCollectionTimeoutSeconds, [this](const EvidenceCollector::Result& result) {
      merge_evidence(result.evidence);
      read_records();
    });
  });
}

void Rebuild::read_records() {
  phase_ = RebuildPhase::kReading;
  read_surviving_records(
      store_, plan_.meta.incarnation, evidence_,
      [this](std::optional<SurvivingRecords> surviving) { on_records_read(std::move(surviving)); });
}

void Rebuild::on_records_read(std::optional<SurvivingRecords> surviving) {
  if (!surviving) {
    env_.after(kRetryDelaySeconds, [this] { read_records(); });
    return;
  }
  write_records(*surviving);
}

Incarnation Rebuild::make_incarnation(std::uint64_t newest_revision) const {
  Incarnation out;
  out.number = plan_.meta.target_incarnation;
  out.prefix = "r/" + std::to_string(out.number) + "-" + plan_.nonce + "/";
  out.token_offset = newest_revision + kTokenGap;
  const auto add = [&out](const std::string& prefix) {
    std::vector<std::string>& all = out.earlier_prefixes;
    if (std::find(all.begin(), all.end(), prefix) == all.end()) all.push_back(prefix);
  };
  for (const Incarnation* previous : {&plan_.meta.incarnation, &std::as_const(plan_.last_incarnation)}) {
    for (const std::string& prefix : previous->earlier_prefixes) add(prefix);
    add(previous->prefix);
  }
  return out;
}

void Rebuild::write_records(const SurvivingRecords& surviving) {
  phase_ = RebuildPhase::kWriting;
  const std::uint64_t newest_revision =
      std::max({surviving.evidence.newest_revision, surviving.revision, plan_.last_incarnation.token_offset,
                plan_.meta.incarnation.token_offset});
  RebuiltRecords records = rebuild_records(surviving.evidence, scope_, surviving.endings, settings_);
  counts_ = records.counts;
  next_meta_ = plan_.meta;
  next_meta_.incarnation = make_incarnation(newest_revision);
  spdlog::warn(
      "recovery: writing the rebuilt records: {} open jobs, {} tasks placed, {} jobs unaccounted with {} "
      "tasks held, {} ended jobs",
      counts_.open_jobs, counts_.placed_tasks, counts_.unaccounted_jobs, counts_.held_tasks,
      counts_.ended_jobs);
  writer_ = std::make_unique<RecordWriter>(
      env_, store_, settings_, RecordWriter::Target{next_meta_.incarnation, plan_.leader_revision},
      std::move(records));
  writer_->write([this](bool written) {
    if (written) {
      publish();
    } else {
      handlers_.deposed();
    }
  });
}

void Rebuild::publish() {
  phase_ = RebuildPhase::kPublishing;
  Transaction transaction;
  transaction.guard(keys::kMeta, plan_.meta_revision);
  transaction.guard(kLeaderKey, plan_.leader_revision);
  transaction.put(keys::kMeta, next_meta_.to_json());
  transaction.remove(kLeaderKey);
  store_.commit(RequestPriority::kLease, transaction,
                [this](const StateReply& reply) { on_publish_reply(reply); });
}

void Rebuild::on_publish_reply(const StateReply& reply) {
  if (reply.ok()) {
    spdlog::warn("recovery: published incarnation {}, {:.1f} s after the rebuild started",
                 next_meta_.incarnation.number, env_.now() - started_at_);
    handlers_.published(next_meta_);
  } else if (reply.outcome == Outcome::kRefused) {
    env_.after(kRetryDelaySeconds, [this] { publish(); });
  } else {
    handlers_.deposed();  // or published by an earlier attempt without a reply; `meta` shows which
  }
}

}  // namespace mothslip::recovery
