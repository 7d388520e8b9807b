#include "coordination/shard/shard_leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

namespace mothslip {

namespace {
constexpr double kTick = 0.5;            // seconds
constexpr double kAnswerPatience = 1.2;  // workers drop answers after 4 s; committing rarely takes this long
// Machines without a task are answered when there is work, or this much later, in seconds. Workers wait 4 s,
// and their lease counts from when the report was sent.
constexpr double kHold = 2.7;
// One with tasks and room likewise, but shortly: ends of its tasks are reported only after the answer.
constexpr double kRoomyHold = 0.4;
constexpr std::size_t kMaxEarly = 10000;  // reports that wait while a shard loads: one a machine
}  // namespace

ShardLeader::ShardLeader(Context context, int id, std::uint64_t fencing_token)
    : ctx_(with_identity(std::move(context), id, fencing_token)),
      model_(ctx_, {[this] { placement_.schedule_fill(); },
                    [this](int segment) { journal_.note_freed_placement(segment); },
                    [this] { journal_.note_completion(); }}),
      committer_(ctx_, {[this] { send_due_writes(); }, [this] { journal_.on_values_shrunk(); }}),
      journal_(ctx_, model_, committer_, gangs_, delegation_, commands_),
      progress_(ctx_, model_, committer_, journal_, completion_),
      completion_(ctx_, model_, committer_, progress_, cancellation_),
      cancellation_(ctx_, model_, committer_, delegation_, commands_),
      rules_(ctx_, model_),
      placement_(ctx_, model_, committer_, journal_, rules_, gangs_, preemptor_, quotas_),
      gangs_(ctx_, model_, committer_, journal_, rules_, placement_, delegation_, quotas_, commands_),
      preemptor_(ctx_, model_, committer_, rules_, commands_),
      delegation_(ctx_, model_, committer_, journal_, rules_, gangs_, preemptor_, quotas_, commands_),
      quotas_(ctx_, model_, committer_, rules_),
      liveness_(ctx_, model_, gangs_),
      commands_(ctx_, model_, committer_, gangs_, liveness_),
      loader_(ctx_, model_, committer_, journal_, progress_, delegation_, quotas_, [this] { on_loaded(); }),
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

// A terminal write whose answer has not come may be durable already, and others may have read and told it. So
// from the moment it is sent until its outcome is certain memory does not tell whether the job is open.
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
  // Only a durable ending is told: a completed job that is not written yet counts as running.
  if (status.running > 0 || job.complete()) status.phase = JobPhase::kRunning;
  return {job.finishing ? JobFinding::Kind::kUndecided : JobFinding::Kind::kStatus, status};
}

void ShardLeader::on_report(Report report, bool relayed, Responder responder) {
  if (!model_.active()) {
    if (early_.size() < kMaxEarly) {
      early_.push_back({std::move(report), relayed, std::move(responder)});
    } else {
      responder.send(503, R"({"error":"loading"})", 1);
    }
    return;
  }
  model_.counters().reports++;
  if (report.fencing_token > ctx_.fencing_token) {
    // The worker obeys a newer leader: this one was deposed and has not heard of it yet.
    responder.send(503, R"({"error":"not the owner"})", 1);
    ctx_.deposed(report.fencing_token);
    return;
  }
  // Late copies of reports, even of machines long returned, are evidence of nothing. Without a token the
  // answer is dropped and renews no lease, should a worker be waiting for it after all.
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
  machine.answer_by = ctx_.env->now() + kAnswerPatience;
  placement_.fill(machine);
  const bool has_new = std::any_of(machine.placements.begin(), machine.placements.end(),
                                   [](const Placement& p) { return p.stage == Placement::Stage::kNew; });
  if (const double hold = hold_s(machine); !has_new && !relayed && hold > 0) {
    machine.report_held = true;
    machine.answer_by = ctx_.env->now() + hold;
  } else if (!has_new) {
    commands_.answer(machine);
  }
  send_due_writes();
}

// For how long a report is held for new work, in seconds. An idle machine has nothing to tell: its report is
// answered when there is work, or a little later. (Workers wait 4 s, and their lease counts from when the
// report was sent.)
double ShardLeader::hold_s(const Machine& machine) const {
  const bool nothing_to_say = machine.unmatched.empty() && machine.token_acknowledged &&
                              machine.schedulable() && ctx_.exclusive_owner();
  if (!nothing_to_say) return 0;
  if (machine.placements.empty()) return std::min(kHold, ctx_.settings->lease_s / 4);
  const bool all_seen = std::all_of(
      machine.placements.begin(), machine.placements.end(),
      [&machine](const Placement& p) { return p.seen_sequence == machine.sequence && !p.job->is_over(); });
  return machine.room[0] >= 1 && all_seen ? kRoomyHold : 0;
}

void ShardLeader::on_loaded() {
  model_.set_active();
  std::size_t placed = 0;
  for (const auto& [name, machine] : model_.machines()) placed += machine->placements.size();
  spdlog::info("shard {} active, fencing token {}: {} open jobs, {} machines, {} placements", ctx_.shard,
               ctx_.fencing_token, model_.jobs().size(), model_.machines().size(), placed);
  loader_.watch();
  for (const auto& [name, job] : model_.jobs()) {
    if (!job->record.cancelled) continue;
    job->waiting.clear();
    if (!job->delegated_here()) cancellation_.on_cancellation_durable(job);
  }
  // Whether a task that is missing was lost or never placed is not known, nor whether the gang had started:
  // the others are stopped, and all begin anew.
  for (const auto& [name, job] : model_.jobs()) {
    if (!job->is_gang() || job->placed == 0) continue;
    GangAttempt& attempt = job->attempt;
    attempt.placed_at = attempt.launched_at = attempt.stopping_since = ctx_.env->now();
    attempt.failed = job->placed < job->spec().task_count;
    attempt.stop_recorded = attempt.stopping;
  }
  commands_.announce_fencing_token();
  auto early = std::move(early_);
  early_.clear();
  for (EarlyReport& each : early) on_report(std::move(each.report), each.relayed, std::move(each.responder));
  tick();
}

// Whatever is due, the most urgent first: cancellations, the journal, endings and progress, delegations, the
// rest.
void ShardLeader::send_due_writes() {
  if (!model_.active() || sending_) return;
  sending_ = true;
  const auto room = [this](RecordCommitter::Slot slot) { return committer_.has_room(slot); };
  while (room(RecordCommitter::kCancelSlot) && cancellation_.commit_cancellations()) {
  }
  if (journal_.has_freed_placements()) journal_.release_freed();
  journal_.write_journal();
  while (room(RecordCommitter::kDoneSlot) && (completion_.commit_endings() || progress_.commit_progress())) {
  }
  while (room(RecordCommitter::kDoneSlot) && delegation_.commit_delegations()) {
  }
  while (room(RecordCommitter::kRestSlot) &&
         (completion_.commit_cancelled_cleanup() || cancellation_.record_acknowledgements() ||
          progress_.commit_discarded())) {
  }
  sending_ = false;
}

void ShardLeader::tick() {
  for (auto& [name, job] : model_.jobs()) {
    cancellation_.expire_waiters(*job);
    requeue_due(job);
  }
  std::erase_if(model_.machines(), [](const auto& item) {
    if (!item.second->removed || !item.second->placements.empty()) return false;
    spdlog::info("{} is removed", item.first);
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
  ctx_.env->after(kTick, alive_([this] { tick(); }));
}

// Tasks whose pause after a failure is over wait again.
void ShardLeader::requeue_due(const JobPtr& job) {
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

Json ShardLeader::on_peer(const std::string& path, const Json& body) {
  // A cancellation is durable already, whoever says so and however late: taking note of it needs no valid
  // lease. While records are being read, too: delegations that are not read yet are checked after they have
  // been.
  if (path == peer_paths::kJobCancelled)
    return cancellation_.on_job_cancelled(CancellationNotice::from_json(body)).to_json();
  if (!model_.active() || committer_.state_silent() || !ctx_.exclusive_owner()) return TaskReply{}.to_json();
  try {
    return dispatch(path, body);
  } catch (const MalformedMessage& error) {
    spdlog::debug("shard {}: {}", ctx_.shard, error.what());
    return {{"error", "malformed"}};
  }
}

Json ShardLeader::dispatch(const std::string& path, const Json& body) {
  if (path == peer_paths::kTaskRequest)
    return delegation_.on_task_request(TaskRequest::from_json(body)).to_json();
  if (path == peer_paths::kGangCapacity)
    return gangs_.on_gang_capacity(GangCapacityRequest::from_json(body)).to_json();
  if (path == peer_paths::kQuotaRequest) quotas_.on_quota_request(QuotaRequest::from_json(body));
  if (path == peer_paths::kGangState) gangs_.on_gang_state(GangState::from_json(body));
  return Json::object();
}

}  // namespace mothslip
