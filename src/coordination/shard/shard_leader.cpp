#include "coordination/shard/shard_leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace mothslip {

namespace {
constexpr double kTickSeconds = 0.5;
// The time that the answer to a report waits for commits. Workers drop answers after 4 s, and commits rarely
// take this long.
constexpr double kMaxAnswerDelaySeconds = 1.2;
// The reports of machines without tasks are answered when there is work, or after this time. Workers wait 4 s
// for an answer, and their lease counts from the sending of the report.
constexpr double kIdleReportHoldSeconds = 2.7;
// The same for machines that have tasks and free room. The time is short because a worker reports the end of
// a task only after it has received the answer to its last report.
constexpr double kBusyReportHoldSeconds = 0.4;
constexpr std::size_t kMaxEarlyReports = 10000;  // reports held while the shard loads, one per machine
}  // namespace

ShardLeader::ShardLeader(Context context, int id, std::uint64_t fencing_token)
    : ctx_(with_identity(std::move(context), id, fencing_token)),
      model_(ctx_, {[this] { placement_.schedule_fill(); },
                    [this](int segment) { journal_.on_placement_freed(segment); },
                    [this] { journal_.on_completion_added(); }}),
      committer_(ctx_, {[this] { send_due_writes(); }, [this] { journal_.on_value_limit_reduced(); }}),
      journal_(ctx_, model_, committer_, gangs_, delegation_, delegated_jobs_, commands_),
      progress_(ctx_, model_, committer_, journal_, completion_),
      completion_(ctx_, model_, committer_, progress_, cancellation_),
      cancellation_(ctx_, model_, committer_, delegation_, commands_),
      rules_(ctx_, model_),
      placement_(ctx_, model_, committer_, journal_, rules_, gangs_, preemptor_, quotas_),
      gangs_(ctx_, model_, committer_, journal_, rules_, placement_, delegation_, quotas_, commands_),
      preemptor_(ctx_, model_, committer_, rules_, commands_),
      delegation_(ctx_, model_, committer_, journal_, rules_, gangs_, preemptor_, quotas_, commands_),
      delegated_jobs_(ctx_, delegation_),
      quotas_(ctx_, model_, committer_, rules_),
      liveness_(ctx_, model_, gangs_),
      commands_(ctx_, model_, committer_, gangs_, liveness_),
      loader_(ctx_, model_, committer_, journal_, progress_, delegation_, delegated_jobs_, quotas_,
              [this] { on_loaded(); }),
      unaccounted_tasks_(ctx_, model_, committer_, cancellation_),
      summaries_(ctx_, model_, rules_) {}

ShardLeader::~ShardLeader() = default;

ShardContext ShardLeader::with_identity(Context context, int id, std::uint64_t fencing_token) {
  context.shard = id;
  context.fencing_token = fencing_token;
  return context;
}

void ShardLeader::load() { loader_.load(); }

void ShardLeader::admit(JobRecord job_record, std::uint64_t revision) {
  loader_.admit(std::move(job_record), revision);
}

void ShardLeader::cancel(const std::string& ref, Responder responder) {
  cancellation_.cancel(ref, std::move(responder));
}

ShardSummary ShardLeader::summary() const { return summaries_.build(); }

bool ShardLeader::resolve_held(const std::string& ref, HeldDecision decision) {
  return unaccounted_tasks_.resolve(ref, decision);
}

// A terminal write that has not been answered yet may already be durable, and other nodes may have read it
// and informed users. From the moment it is sent until its outcome is certain, this leader's memory therefore
// does not show whether the job is still open.
JobFinding ShardLeader::find(const std::string& ref) const {
  const auto it = model_.jobs().find(ref);
  if (it == model_.jobs().end()) return {JobFinding::Kind::kUnknownJob, {}};
  const Job& job = *it->second;
  if (job.cancellation_confirmed) return {JobFinding::Kind::kStatus, {JobPhase::kCancelled, 0, 0}};
  if (job.cancel_requested()) return {JobFinding::Kind::kBeingCancelled, {}};
  if (const auto held = model_.unaccounted().find(ref);
      held != model_.unaccounted().end() && held->second.withholds_status())
    return {JobFinding::Kind::kUndecided, {}};
  JobStatus status{JobPhase::kQueued, job.done.size(), job.placed + job.delegated_open()};
  if (job.is_gang()) status.running = gangs_.gang_tasks_running(job);
  // Only a durable ending is reported. A completed job whose ending is not written yet is reported as
  // running.
  if (status.running > 0 || job.complete()) status.phase = JobPhase::kRunning;
  return {job.finishing ? JobFinding::Kind::kUndecided : JobFinding::Kind::kStatus, status};
}

void ShardLeader::on_report(Report report, bool relayed, Responder responder) {
  if (!model_.active()) {
    if (early_reports_.size() < kMaxEarlyReports) {
      early_reports_.push_back({std::move(report), relayed, std::move(responder)});
    } else {
      responder.send(503, R"({"error":"loading"})", 1);
    }
    return;
  }
  model_.counters().reports++;
  if (report.fencing_token > ctx_.fencing_token) {
    // The worker obeys a newer leader. This leader was deposed and did not know it yet.
    responder.send(503, R"({"error":"not the owner"})", 1);
    ctx_.on_deposed(report.fencing_token);
    return;
  }
  // Late copies of reports prove nothing, and can even come from machines that were removed long ago. The
  // answer contains no fencing token, so a worker that is still waiting for it drops it and does not renew
  // its lease.
  if (model_.is_removed(report.machine_name)) {
    responder.send(200, R"({"orders":[]})");
    return;
  }
  Machine& machine = model_.find_or_add_machine(report);
  if (!liveness_.apply_heartbeat(machine, report, false)) {
    responder.send(200, R"({"orders":[]})");
    return;
  }
  machine.answer = std::move(responder);
  machine.answer_by = ctx_.env->now() + kMaxAnswerDelaySeconds;
  placement_.fill(machine);
  const bool has_new_placement =
      std::any_of(machine.placements.begin(), machine.placements.end(),
                  [](const Placement& p) { return p.stage == Placement::Stage::kNew; });
  if (const double hold_s = report_hold_s(machine); !has_new_placement && !relayed && hold_s > 0) {
    machine.report_held = true;
    machine.answer_by = ctx_.env->now() + hold_s;
  } else if (!has_new_placement) {
    commands_.answer(machine);
  }
  send_due_writes();
}

// Returns how long the answer to a report is held back until there is new work for the machine. The leader
// has nothing to send to an idle machine, so it answers when there is work, or after a limited time (see
// kIdleReportHoldSeconds).
double ShardLeader::report_hold_s(const Machine& machine) const {
  const bool nothing_to_send = machine.unmatched.empty() && machine.token_acknowledged &&
                               machine.schedulable() && ctx_.owns_exclusively();
  if (!nothing_to_send) return 0;
  if (machine.placements.empty()) return std::min(kIdleReportHoldSeconds, ctx_.settings->lease_s / 4);
  const bool all_reported = std::all_of(
      machine.placements.begin(), machine.placements.end(),
      [&machine](const Placement& p) { return p.seen_sequence == machine.sequence && !p.job->is_over(); });
  return machine.room[0] >= 1 && all_reported ? kBusyReportHoldSeconds : 0;
}

void ShardLeader::on_loaded() {
  model_.set_active();
  std::size_t placement_count = 0;
  for (const auto& [name, machine] : model_.machines()) placement_count += machine->placements.size();
  spdlog::info(
      "shard {}: all records loaded, active under fencing token {} with {} open jobs, {} machines, {} "
      "placements",
      ctx_.shard, ctx_.fencing_token, model_.jobs().size(), model_.machines().size(), placement_count);
  loader_.watch();
  for (const auto& [name, job] : model_.jobs()) {
    if (!job->record.cancelled) continue;
    job->waiting.clear();
    if (!job->delegated_here()) cancellation_.on_cancellation_durable(job);
  }
  // If a task of a gang has no placement, it is not known whether it was lost or never placed, nor whether
  // the gang had started. The other tasks are stopped, and the whole gang starts again.
  for (const auto& [name, job] : model_.jobs()) {
    if (!job->is_gang() || job->placed == 0) continue;
    GangAttempt& attempt = job->attempt;
    attempt.placed_at = attempt.launched_at = attempt.stopping_since = ctx_.env->now();
    attempt.failed = job->placed < job->spec().task_count;
    attempt.stop_recorded = attempt.stopping;
  }
  commands_.announce_fencing_token();
  auto early_reports = std::move(early_reports_);
  early_reports_.clear();
  for (EarlyReport& each : early_reports)
    on_report(std::move(each.report), each.relayed, std::move(each.responder));
  tick();
}

// Sends all writes that are due, the most urgent first: cancellations, the journal, endings and progress,
// delegations, and then the rest.
void ShardLeader::send_due_writes() {
  if (!model_.active() || sending_writes_) return;
  sending_writes_ = true;
  const auto has_room = [this](RecordCommitter::Slot slot) { return committer_.has_room(slot); };
  while (has_room(RecordCommitter::kCancelSlot) && cancellation_.commit_cancellations()) {
  }
  if (journal_.has_freed_placements()) journal_.release_freed_placements();
  journal_.write_journal();
  while (has_room(RecordCommitter::kCompletionSlot) &&
         (completion_.commit_endings() || progress_.commit_progress())) {
  }
  while (has_room(RecordCommitter::kCompletionSlot) && delegation_.commit_delegations()) {
  }
  while (has_room(RecordCommitter::kOtherSlot) &&
         (completion_.commit_cancelled_cleanup() || cancellation_.record_acknowledgements() ||
          progress_.commit_discarded())) {
  }
  sending_writes_ = false;
}

void ShardLeader::tick() {
  for (auto& [name, job] : model_.jobs()) {
    cancellation_.expire_waiters(*job);
    requeue_due_tasks(job);
  }
  std::erase_if(model_.machines(), [](const auto& item) {
    if (!item.second->removed || !item.second->placements.empty()) return false;
    spdlog::info("machine {}: removed from the shard, no placement is left on it", item.first);
    return true;
  });
  for (auto& [name, machine] : model_.machines()) {
    if (!machine->answer.answered() && ctx_.env->now() >= machine->answer_by) commands_.answer(*machine);
    liveness_.expire_lease(*machine);
  }
  commands_.announce_fencing_token();
  gangs_.maintain();
  preemptor_.detect_best_effort();
  preemptor_.preempt();
  send_due_writes();
  cancellation_.retry_cancellations();
  if (ctx_.shard_count > 1) {
    delegation_.request_tasks();
    quotas_.request_quota();
  }
  ctx_.env->after(kTickSeconds, callback_guard_([this] { tick(); }));
}

// Makes tasks wait again whose backoff after a failure is over.
void ShardLeader::requeue_due_tasks(const JobPtr& job) {
  const double now = ctx_.env->now();
  for (std::size_t i = 0; i < job->backoff.size();) {
    if (job->backoff[i].first > now) {
      i++;
      continue;
    }
    const int index = job->backoff[i].second;
    job->backoff.erase(job->backoff.begin() + static_cast<std::ptrdiff_t>(i));
    model_.requeue(job, index, 0);
  }
}

void ShardLeader::apply(const FleetOrders& orders) {
  const std::set<std::string> draining(orders.draining.begin(), orders.draining.end());
  const std::set<std::string> cordoned(orders.cordoned.begin(), orders.cordoned.end());
  for (auto& [name, machine] : model_.machines()) {
    machine->draining = draining.count(name) > 0;
    machine->cordoned = cordoned.count(name) > 0;
  }
  preemptor_.set_headroom_share(orders.headroom_share);
  model_.set_demand_elsewhere(orders.waiting);
  for (const std::string& name : orders.removed) {
    const auto it = model_.machines().find(name);
    if (it != model_.machines().end()) model_.remove_machine(*it->second);
  }
  send_due_writes();
}

Json ShardLeader::on_peer_request(const std::string& path, const Json& body) {
  // A notified cancellation is already durable, whichever node sends the notice and however late it arrives,
  // so acknowledging it does not require a valid lease. It is also acknowledged while records are being
  // loaded: delegations that have not been read yet are checked after loading.
  if (path == peer_paths::kJobCancelled)
    return cancellation_.on_job_cancelled(CancellationNotice::from_json(body)).to_json();
  if (!model_.active() || committer_.is_state_service_unresponsive() || !ctx_.owns_exclusively())
    return TaskReply{}.to_json();
  try {
    return dispatch(path, body);
  } catch (const MalformedMessage& error) {
    spdlog::debug("shard {}: rejected a malformed request of another shard: {}", ctx_.shard, error.what());
    return {{"error", "malformed"}};
  }
}

Json ShardLeader::dispatch(const std::string& path, const Json& body) {
  if (path == peer_paths::kTaskRequest)
    return delegation_.on_task_request(TaskRequest::from_json(body)).to_json();
  if (path == peer_paths::kGangCapacity)
    return gangs_.on_gang_capacity_request(GangCapacityRequest::from_json(body)).to_json();
  if (path == peer_paths::kQuotaRequest) quotas_.on_quota_request(QuotaRequest::from_json(body));
  if (path == peer_paths::kGangState) gangs_.on_gang_state(GangState::from_json(body));
  return Json::object();
}

}  // namespace mothslip
