#include "coordination/shard/shard_leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace mothslip {

namespace {
constexpr double kTick = 0.5;
constexpr double kAnswerPatience = 1.2;  // workers drop answers after 4 s; committing rarely takes this long
// Machines without a task are answered when there is work, or this much later. Workers wait 4 s, and their
// lease counts from when the report was sent.
constexpr double kHold = 2.7;
// One with tasks and room likewise, but shortly: ends of its tasks are reported only after the answer.
constexpr double kRoomyHold = 0.4;
constexpr double kSilentAfter = 1.5;
constexpr double kLeaseMargin = 1.0;
constexpr double kDrift = 0.002;
constexpr int kMaxIneffectiveLaunches =
    3;  // launches sent in vain, one report after the other: not a lost answer
constexpr std::size_t kReturned = 10000;  // remembered
constexpr std::size_t kMaxEarly = 10000;  // reports that wait while a shard loads: one a machine
constexpr double kDirectSeconds = 3.0;
// So long a user waits for a cancellation; the next try finds it made.
constexpr double kCancelPatience = 2.0;
constexpr int kOnlyHere = 2;         // jobs
constexpr double kFirstPause = 5.0;  // between two tries of a job that fails on every machine
constexpr double kLongestPause = 60.0;
constexpr int kRaiseAtOnce = 16;
constexpr int kUnaccountedRetrySeconds = 10;  // until an operator has decided
constexpr double kRaiseEvery = 3.5;
}  // namespace

ShardLeader::ShardLeader(Context context, int id, std::uint64_t fencing_token)
    : ctx_(std::move(context)), id_(id), fencing_token_(fencing_token), teams_(ctx_.settings->teams) {
  const Tuning& tuning = ctx_.settings->tuning;
  weights_.fitness = tuning.weight_fitness;
  weights_.urgency = tuning.weight_urgency;
  weights_.alignment = tuning.weight_alignment;
  weights_.slack = tuning.weight_slack;
  weights_.locality = tuning.weight_locality;
  value_bytes_ = ctx_.settings->value_kb * 1024;
  for (std::size_t r = 0; r < weights_.resource.size(); r++) {
    double largest = 0;
    for (const MachineType& each : ctx_.types->all()) {
      largest = std::max(largest, r == 0 ? each.cores : r == 1 ? each.memory_gb : each.accelerators);
    }
    weights_.resource[r] = largest > 0 ? 1 / largest : 0;
  }
}

ShardLeader::~ShardLeader() = default;

// ---------------------------------------------------------------- questions

// A terminal write whose answer has not come may be durable already, and others may have read and told it. So
// from the moment it is sent until its outcome is certain our memory does not tell whether the job is open.
JobFinding ShardLeader::find(const std::string& ref) const {
  const auto it = jobs_.find(ref);
  if (it == jobs_.end()) return {JobFinding::Kind::kUnknownJob, {}};
  const Job& job = *it->second;
  if (job.confirmed) return {JobFinding::Kind::kStatus, {JobPhase::kCancelled, 0, 0}};
  if (job.cancel_requested()) return {JobFinding::Kind::kBeingCancelled, {}};
  if (const auto held = unaccounted_.find(ref); held != unaccounted_.end() && held->second.silent())
    return {JobFinding::Kind::kUndecided, {}};
  JobStatus status{JobPhase::kQueued, job.done.size(), job.placed + job.delegated_open()};
  if (job.is_gang()) status.running = gang_tasks_running(job);
  // Only a durable ending is told: a completed job that is not written yet counts as running.
  if (status.running > 0 || job.complete()) status.phase = JobPhase::kRunning;
  return {job.finishing ? JobFinding::Kind::kUndecided : JobFinding::Kind::kStatus, status};
}

void ShardLeader::cancel(const std::string& ref, Responder responder) {
  const JobPtr& job = jobs_.at(ref);
  if (job->confirmed) {
    responder.send(200, cancellation_body(ref, JobPhase::kCancelled));
    return;
  }
  if (state_silent()) {
    responder.send(503, R"({"error":"state service away"})", 2);
    return;
  }
  if (const auto held = unaccounted_.find(ref); held != unaccounted_.end() && held->second.silent()) {
    responder.send(503, R"({"error":"not known whether it has ended"})", kUnaccountedRetrySeconds);
    return;
  }
  // When the job is finishing, the ending decides what the user hears.
  job->cancel_waiters.push_back({std::move(responder), ctx_.env->now() + kCancelPatience});
  send_queued();
  retry_cancellations();
}

bool ShardLeader::state_silent() const {
  return stuck_since_ != 0 && ctx_.env->now() - stuck_since_ > kSilentAfter;
}

// ---------------------------------------------------------------- reports

void ShardLeader::shape_machine(Machine& machine) {
  machine.type = ctx_.types->find(machine.record.machine_type);
  machine.zone = ctx_.zones->intern(machine.record.zone);
  if (machine.type >= 0) {
    const MachineType& type = ctx_.types->at(machine.type);
    machine.capacity = {type.cores, type.memory_gb, type.accelerators};
  }
  machine.room = machine.capacity;
}

Machine& ShardLeader::machine_for(const Report& report) {
  auto& slot = machines_[report.machine_name];
  if (!slot) {
    slot = std::make_unique<Machine>();
    slot->name = report.machine_name;
    slot->record = {
        report.address, report.machine_type, report.zone, report.spot, report.worker_incarnation, {}, {}};
    slot->first_heard = slot->busy_at = ctx_.env->now();
    shape_machine(*slot);
    spdlog::info("{} reports: {} in {}{}", report.machine_name, report.machine_type, report.zone,
                 report.spot ? ", spot" : "");
  }
  return *slot;
}

void ShardLeader::on_report(Report report, bool relayed, Responder responder) {
  if (!active_) {
    if (early_.size() < kMaxEarly) {
      early_.push_back({std::move(report), relayed, std::move(responder)});
    } else {
      responder.send(503, R"({"error":"loading"})", 1);
    }
    return;
  }
  counters_.reports++;
  if (report.fencing_token > fencing_token_) {
    // The worker obeys a newer owner: we were deposed and have not heard it yet.
    responder.send(503, R"({"error":"not the owner"})", 1);
    ctx_.deposed(report.fencing_token);
    return;
  }
  // Late copies of reports, even of machines long returned, are evidence of nothing. Without a token the
  // answer is dropped and renews no lease, should a worker be waiting for it after all.
  if (returned_.count(report.machine_name) > 0) {
    responder.send(200, R"({"orders":[]})");
    return;
  }
  Machine& machine = machine_for(report);
  if (!take_report(machine, report, false)) {
    responder.send(200, R"({"orders":[]})");
    return;
  }
  machine.answer = std::move(responder);
  machine.answer_by = ctx_.env->now() + kAnswerPatience;
  fill(machine);
  const bool waits = std::any_of(machine.placements.begin(), machine.placements.end(),
                                 [](const Placement& p) { return p.stage == Placement::Stage::kNew; });
  // An idle machine has nothing to tell: its report is answered when there is work, or a little later.
  // (Workers wait 4 s, and their lease counts from when the report was sent.)
  const bool nothing_to_say = machine.unmatched.empty() && machine.token_acknowledged &&
                              machine.schedulable() && ctx_.exclusive_owner();
  const bool idle = nothing_to_say && machine.placements.empty();
  const bool roomy =
      nothing_to_say && machine.room[0] >= 1 &&
      std::all_of(machine.placements.begin(), machine.placements.end(), [&machine](const Placement& p) {
        return p.seen_sequence == machine.sequence && !p.job->over();
      });
  if (!waits && !relayed && (idle || roomy)) {
    machine.held = true;
    machine.answer_by = ctx_.env->now() + (idle ? std::min(kHold, ctx_.settings->lease_s / 4) : kRoomyHold);
  } else if (!waits) {
    answer(machine);
  }
  send_queued();
}

// There is new work: machines whose reports are held can start it at once, those that have an image of it
// first.
void ShardLeader::wake() {
  if (waking_ || !active_) return;
  waking_ = true;
  ctx_.env->after(0, alive([this] {
                    waking_ = false;
                    std::vector<std::pair<bool, Machine*>> held;
                    for (auto& [name, machine] : machines_) {
                      if (!machine->held || machine->answer.answered()) continue;
                      const bool local =
                          std::any_of(jobs_.begin(), jobs_.end(), [&machine = *machine](const auto& item) {
                            return !item.second->waiting.empty() && machine.has_image(item.second->image);
                          });
                      held.emplace_back(!local, machine.get());
                    }
                    std::stable_sort(held.begin(), held.end(),
                                     [](const auto& a, const auto& b) { return a.first < b.first; });
                    for (const auto& [far, machine] : held) {
                      const std::size_t before = machine->placements.size();
                      fill(*machine);
                      if (machine->placements.size() == before) continue;
                      machine->held = false;
                      machine->answer_by = ctx_.env->now() + kAnswerPatience;
                    }
                    send_queued();
                  }));
}

// Works a report into the books. `direct`: it answered /commands, so a launch in the answer to an ordinary
// report may still be on its way, and what is missing proves nothing about launches we sent.
bool ShardLeader::take_report(Machine& machine, const Report& report, bool direct) {
  const double now = ctx_.env->now();
  if (machine.heard && std::pair(report.worker_incarnation, report.sequence) <=
                           std::pair(machine.record.worker_incarnation, machine.sequence)) {
    return false;
  }
  if (report.worker_incarnation < machine.record.worker_incarnation)
    return false;  // older than the record we inherited
  if (!machine.heard) machine.first_heard = now;
  if (!machine.heard || now - machine.last_heard > ctx_.settings->lease_s / 2) machine.steady_since = now;
  machine.heard = true;
  machine.last_heard = now;
  machine.sequence = report.sequence;
  if (machine.incarnation_since == 0) machine.incarnation_since = now;
  if (machine.record.address != report.address) machine.record.address = report.address;
  if (report.fencing_token == fencing_token_ && !machine.token_acknowledged) {
    machine.token_acknowledged = true;
    machine.last_answer = std::max(machine.last_answer, now);
  }
  if (report.eviction_notice_s) {
    if (!machine.evicted_at) {
      spdlog::info("{} will be evicted in {} s", machine.name, *report.eviction_notice_s);
      machine.evicted_at = now + *report.eviction_notice_s;
    }
  } else {
    machine.evicted_at.reset();
  }
  if (report.worker_incarnation > machine.record.worker_incarnation) {
    begin_incarnation(machine, report.worker_incarnation);
  }

  // (The tasks of a gang share an attempt number.)
  std::map<std::pair<std::uint64_t, int>, const TaskReport*> by_attempt;
  for (const TaskReport& task : report.tasks) by_attempt.emplace(std::pair(task.attempt, task.index), &task);
  machine.unmatched.clear();
  std::vector<const TaskReport*> exits;
  for (Placement& placement : machine.placements) {
    const auto it = by_attempt.find({placement.attempt, placement.index});
    if (it != by_attempt.end() && it->second->ref == placement.job->spec().ref &&
        it->second->index == placement.index) {
      const TaskReport& task = *it->second;
      by_attempt.erase(it);
      placement.seen_sequence = report.sequence;
      if (placement.sent_sequence != 0) machine.ineffective_launches = 0;
      if (placement.phase == TaskPhase::kFetchingImage && task.phase != TaskPhase::kFetchingImage &&
          task.phase != TaskPhase::kExited) {
        machine.use_image(placement.job->image, placement.job->spec().image_gb,
                          ctx_.types->at(std::max(0, machine.type)).cache_gb);
      }
      if (placement.running_since == 0 && task.phase == TaskPhase::kRunning) {
        placement.running_since = now;
        if (placement.job->is_gang()) placement.job->attempt.started = true;
      }
      placement.phase = task.phase;
      if (task.phase == TaskPhase::kExited) {
        if (placement.stage == Placement::Stage::kFreeing) {
          machine.unmatched.push_back(task);
        } else {
          exits.push_back(&task);
          machine.unmatched.push_back(task);
        }
      }
    } else if (placement.stage == Placement::Stage::kRecorded && report.fencing_token == fencing_token_) {
      // (a) missing, and no launch of it can still be on its way.
      const bool settled = direct ? placement.inherited && placement.sent_sequence == 0
                                  : placement.sent_sequence < report.sequence;
      if (settled && (placement.job->over() || placement.job->cancelling || placement.preempted ||
                      attempt_over(*placement.job) || !machine.schedulable() ||
                      placement.job->done.contains(placement.index))) {
        free_placement(placement, 0);
      }
    }
  }
  for (const auto& [attempt, task] : by_attempt) machine.unmatched.push_back(*task);
  for (const TaskReport* task : exits) {
    for (Placement& placement : machine.placements) {
      if (placement.job == nullptr || placement.attempt != task->attempt || placement.index != task->index)
        continue;
      on_exit(machine, placement, task->cause);
      break;
    }
  }
  std::erase_if(machine.placements, [](const Placement& p) { return p.job == nullptr; });
  if (!direct && report.fencing_token == fencing_token_) evaluate_reachability(machine);
  if (report.fencing_token == fencing_token_) {
    for (const auto& [attempt, task] : by_attempt) {
      // Completed under a record that is gone, or taken over before it was noted: the work is done all the
      // same.
      if (task->phase != TaskPhase::kExited || task->cause != ExitCause::kDone) continue;
      const JobPtr job = find_task(task->ref, task->index);
      if (job == nullptr || job->over() || task->index >= job->spec().task_count) continue;
      mark_done(job, task->index);
    }
  }
  if (!machine.placements.empty()) machine.busy_at = now;
  return true;
}

// (b) the incarnation that the placements belonged to is over: all are gone, launched or not.
void ShardLeader::begin_incarnation(Machine& machine, std::uint64_t worker_incarnation) {
  const double now = ctx_.env->now();
  std::size_t freed = 0;
  for (Placement& placement : machine.placements) {
    if (placement.stage == Placement::Stage::kFreeing) continue;
    free_placement(placement, 0);
    freed++;
  }
  if (freed > 0)
    spdlog::info("{} is in incarnation {}: {} placements freed", machine.name, worker_incarnation, freed);
  counters_.freed_by_incarnation += freed;
  // Its lease ran out although we had answered it. Once, that is a cut or a hang; while its reports came all
  // the time, or once more, the answers do not arrive. (A worker without answers goes from node to node: we
  // hear it seldom.)
  // Reports that a cut held back come all at once when it ends: they show nothing of the kind.
  const bool answered = machine.last_answer >= machine.incarnation_since;
  const bool lasted = now - machine.incarnation_since > ctx_.settings->lease_s / 2;
  const bool all_along = now - machine.steady_since > 0.8 * ctx_.settings->lease_s;
  machine.expired_incarnations = answered && lasted ? machine.expired_incarnations + 1 : 0;
  if ((answered && lasted && machine.token_acknowledged && all_along) || machine.expired_incarnations >= 2) {
    if (!machine.inbound_unreachable) {
      machine.inbound_unreachable_since = now;
      spdlog::info("{} is unreachable (inbound): its leases expire while it reports", machine.name);
    }
    machine.inbound_unreachable = true;
  }
  machine.record.worker_incarnation = worker_incarnation;
  machine.last_answer = std::max(machine.last_answer, now);  // its lease counts from its beginning
  machine.incarnation_since = now;
  machine.ineffective_launches = 0;
  machine.images.clear();
}

// A worker starts a new incarnation when no answer reached it for its lease; an incarnation older than that
// has heard one.
void ShardLeader::evaluate_reachability(Machine& machine) {
  const double now = ctx_.env->now();
  if (!machine.inbound_unreachable && machine.ineffective_launches >= kMaxIneffectiveLaunches) {
    machine.inbound_unreachable = true;
    machine.inbound_unreachable_since = machine.incarnation_since = now;
    machine.ineffective_launches = 0;
    // What it was sent in vain has not begun, and no answer to an older report can begin it any more (a).
    for (Placement& placement : machine.placements) {
      const bool missing =
          placement.seen_sequence != machine.sequence && placement.sent_sequence < machine.sequence;
      if (placement.stage == Placement::Stage::kRecorded && missing && placement.sent_sequence != 0)
        free_placement(placement, 0);
    }
    spdlog::info("{} is unreachable (inbound): {} launches had no effect", machine.name,
                 kMaxIneffectiveLaunches);
  }
  if (machine.expired_incarnations > 0 && now - machine.incarnation_since > lease_over_s())
    machine.expired_incarnations = 0;
  if (machine.inbound_unreachable && now - machine.incarnation_since > lease_over_s()) {
    machine.inbound_unreachable = false;
    spdlog::info("{} is reachable again", machine.name);
  }
}

double ShardLeader::lease_over_s() const { return ctx_.settings->lease_s * (1 + kDrift) + kLeaseMargin; }

void ShardLeader::on_exit(Machine& machine, Placement& placement, ExitCause cause) {
  const JobPtr job = placement.job;
  if (cause == ExitCause::kDone) {
    counters_.completions++;
    job->error_streak = 0;
    machine.error_streak = 0;
    machine.errors_of.clear();
    mark_done(job, placement.index);
    // Not launched again by anyone: it is shown as exited until reaped, and that waits for durability.
    give_room(machine, *job);
    placement.job = nullptr;
    return;
  }
  double delay = 0;
  if (cause == ExitCause::kError || cause == ExitCause::kOther) job->fail_attempt();
  if (cause == ExitCause::kError) {
    counters_.errors++;
    job->error_streak++;
    Job::Failing& failing = job->failing[machine.name];
    failing.errors++;
    failing.last = ctx_.env->now();
    if (job->at_fault()) {
      back_off_failing_job(*job);
      free_placement(placement, 0);
      return;
    }
    machine.error_streak++;
    if (std::find(machine.errors_of.begin(), machine.errors_of.end(), job->spec().ref) ==
        machine.errors_of.end()) {
      machine.errors_of.push_back(job->spec().ref);
    }
    // One job that fails again and again is its own fault. Several that have failed nowhere else are the
    // machine's, and so is a first streak on a machine while the job completes elsewhere. (Two jobs submitted
    // with a mistake may well meet on one machine.)
    const auto only_here = std::count_if(machine.errors_of.begin(), machine.errors_of.end(),
                                         [this](const std::string& ref) { return failed_on_one(ref); });
    const bool several = only_here >= kOnlyHere;
    const bool job_works = machine.error_streak >= 2 && (job->works || !job->done.empty());
    if (!machine.faulty && (several || job_works)) {
      spdlog::warn("{} fails what it starts ({} in a row): not used any more", machine.name,
                   machine.error_streak);
      machine.faulty = true;
    }
    machine.no_fill_until = ctx_.env->now() + std::min(8.0, 1.0 * machine.error_streak);
    delay = machine.faulty ? 0 : std::min(30.0, 0.5 * std::pow(2.0, std::min(job->error_streak, 6)));
    spdlog::info("{} failed on {} (attempt {})", task_name(job->spec().ref, placement.index), machine.name,
                 placement.attempt);
  } else if (cause == ExitCause::kGangPeerLost || cause == ExitCause::kGangIncomplete) {
    job->fail_attempt();  // neither the machine's fault nor the job's
  } else if (cause != ExitCause::kHalted) {
    spdlog::info("{} refused by {}: cause {}", task_name(job->spec().ref, placement.index), machine.name,
                 static_cast<int>(cause));
    machine.no_fill_until = ctx_.env->now() + 2;
    delay = 1;
  }
  free_placement(placement, delay);
}

// It fails wherever it is tried: the machines are cleared, and one task of it is tried now and then, until it
// works or its user cancels it. (Incident db4e: five jobs submitted with a mistake failed 1 974 times within
// minutes, and 156 good machines on which two of them had met were given back as faulty.)
void ShardLeader::back_off_failing_job(Job& job) {
  const std::string& ref = job.spec().ref;
  if (job.pause == 0) spdlog::info("{} fails on every machine: tried now and then", ref);
  // (What had started before it was found at fault fails within the first pause and does not lengthen it.)
  if (ctx_.env->now() >= job.next_trial_at) {
    job.pause = std::clamp(job.pause * 2, kFirstPause, kLongestPause);
    job.next_trial_at = ctx_.env->now() + job.pause;
  }
  for (const auto& [name, failing] : job.failing) {
    const auto it = machines_.find(name);
    if (it == machines_.end()) continue;
    Machine& machine = *it->second;
    if (std::erase(machine.errors_of, ref) == 0 || !machine.errors_of.empty()) continue;
    machine.error_streak = 0;
    machine.no_fill_until = 0;
    if (machine.faulty && !machine.draining) machine.faulty = false;
  }
}

// Of all our machines, on one.
bool ShardLeader::failed_on_one(const std::string& ref) const {
  std::set<std::string> on;
  const std::string prefix = keys::delegations(id_, ref);
  const auto add = [&on](const Job& job) {
    for (const auto& [name, failing] : job.failing) on.insert(name);
  };
  if (const auto home = jobs_.find(ref); home != jobs_.end()) add(*home->second);
  for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it)
    add(*it->second);
  return on.size() == 1;
}

void ShardLeader::mark_done(const JobPtr& job, int index) {
  if (job->done.contains(index)) return;
  // The tasks of a gang complete together.
  const int first = job->is_gang() ? 0 : index;
  const int last = job->is_gang() ? job->spec().task_count : index + 1;
  job->done.insert(first, last);
  job->unsaved.insert(first, last);
  job->waiting.erase(job->waiting.slice(first, last));
  std::erase_if(job->backoff,
                [first, last](const auto& item) { return item.second >= first && item.second < last; });
  if (unrecorded_since_ == 0) unrecorded_since_ = ctx_.env->now();
}

void ShardLeader::free_placement(Placement& placement, double delay) {
  if (placement.stage == Placement::Stage::kFreeing) return;
  if (placement.job->is_gang()) gang_task_lost(*placement.job);
  placement.stage = Placement::Stage::kFreeing;
  placement.requeue_delay = delay;
  has_freed_placements_ = true;
  const auto segment = segments_.find(placement.segment);
  if (segment != segments_.end()) segment->second.dirty = true;
}

void ShardLeader::take_room(Machine& machine, Job& job) {
  teams_.add(job.team, job.demand);
  job.placed++;
  job.placed_by_zone[machine.zone]++;
  for (std::size_t r = 0; r < machine.room.size(); r++) machine.room[r] -= job.demand[r];
}

void ShardLeader::give_room(Machine& machine, Job& job) {
  teams_.remove(job.team, job.demand);
  job.placed--;
  if (job.placed == 0) job.attempt = {};
  job.placed_by_zone[machine.zone]--;
  for (std::size_t r = 0; r < machine.room.size(); r++) machine.room[r] += job.demand[r];
}

void ShardLeader::drop_placement(Machine& machine, std::size_t at) {
  const Placement placement = machine.placements[at];
  machine.placements.erase(machine.placements.begin() + static_cast<std::ptrdiff_t>(at));
  give_room(machine, *placement.job);
  requeue(placement.job, placement.index, placement.requeue_delay);
}

void ShardLeader::requeue(const JobPtr& job, int index, double delay) {
  if (job->over() || job->done.contains(index)) return;
  if (delay > 0) {
    job->backoff.emplace_back(ctx_.env->now() + delay, index);
  } else {
    job->waiting.insert(index);
    wake();
  }
}

// ---------------------------------------------------------------- direct commands (never launches)

void ShardLeader::send_direct(Machine& machine, const std::vector<Order>& orders, bool raise) {
  if (machine.direct_inflight) return;
  machine.direct_inflight = true;
  raising_ += raise ? 1 : 0;
  HttpCall call{machine.record.address, "POST", "/commands",
                orders_body(fencing_token_, machine.record.worker_incarnation, orders), kDirectSeconds};
  call.keep_alive = false;
  ctx_.env->call(std::move(call), alive([this, name = machine.name, raise](const HttpReply& reply) {
                   if (raise) {
                     raising_--;
                     raise_fencing_tokens();
                   }
                   const auto it = machines_.find(name);
                   if (it == machines_.end()) return;
                   Machine& found = *it->second;
                   found.direct_inflight = false;
                   if (found.stops_due) send_stops(found);
                   if (reply.status != 200 && reply.status != 409) return;
                   auto report = parse_report(parse_json(reply.body));
                   if (!report || report->machine_name != name) return;
                   if (report->fencing_token > fencing_token_) {
                     ctx_.deposed(report->fencing_token);
                     return;
                   }
                   if (take_report(found, *report, true)) send_queued();
                 }));
}

// Shows our token to machines with placements, a few at a time: a node that has taken over has leases to
// renew and users to answer meanwhile. Machines that report go first; silent ones are tried now and then.
void ShardLeader::raise_fencing_tokens() {
  if (!active_ || raising_ >= kRaiseAtOnce) return;
  const double now = ctx_.env->now();
  std::vector<Machine*> due;
  for (auto& [name, machine] : machines_) {
    const bool tried = machine->raise_tried != 0 && now - machine->raise_tried < kRaiseEvery;
    if (machine->token_acknowledged || machine->placements.empty() || machine->direct_inflight || tried)
      continue;
    due.push_back(machine.get());
  }
  std::stable_sort(due.begin(), due.end(), [](const Machine* a, const Machine* b) {
    return a->heard != b->heard ? a->heard : a->raise_tried < b->raise_tried;
  });
  for (Machine* machine : due) {
    if (raising_ >= kRaiseAtOnce) return;
    machine->raise_tried = now;
    send_direct(*machine, {}, true);
  }
}

// With which grace period the task is to be stopped, if it is.
std::optional<double> ShardLeader::stop_wanted(const Placement& placement) {
  const Job& job = *placement.job;
  if (job.cancel_requested() || job.done.contains(placement.index) || job.attempt.failed) return 0;
  const bool gracefully = placement.preempted || (job.attempt.stopping && job.attempt.stop_recorded);
  // (Whether a second stop ends a task that is saving already is not said.)
  if (!gracefully || placement.phase == TaskPhase::kCheckpointing) return std::nullopt;
  return stop_grace_s(job.spec());
}

void ShardLeader::stop_directly(const JobPtr& job) {
  for (auto& [name, machine] : machines_) {
    const auto& placements = machine->placements;
    if (std::any_of(placements.begin(), placements.end(), [&job](const auto& p) { return p.job == job; }))
      send_stops(*machine);
  }
}

// For all on it that is cancelled or preempted; once the direct command that is under way is over.
void ShardLeader::send_stops(Machine& machine) {
  machine.stops_due = machine.direct_inflight;
  if (machine.direct_inflight) return;
  std::vector<Order> orders;
  for (const Placement& placement : machine.placements) {
    const Job& job = *placement.job;
    if (placement.stage != Placement::Stage::kRecorded) continue;
    const auto grace = stop_wanted(placement);
    if (grace)
      orders.push_back(
          {Order::Verb::kStop, task_name(job.spec().ref, placement.index), placement.attempt, *grace});
  }
  if (!orders.empty()) send_direct(machine, orders);
}

// ---------------------------------------------------------------- time

void ShardLeader::tick() {
  const double now = ctx_.env->now();
  for (auto& [ref, job] : jobs_) {
    // Not held: the user is told when to come back; the cancellation itself stays under way.
    std::erase_if(job->cancel_waiters, [this, now](const Job::CancelWaiter& waiter) {
      if (state_silent()) {
        waiter.responder.send(503, R"({"error":"state service away"})", 2);
      } else if (now >= waiter.answer_by) {
        waiter.responder.send(503, R"({"error":"being cancelled"})", 1);
      }
      return waiter.responder.answered();
    });
    for (std::size_t i = 0; i < job->backoff.size();) {
      if (job->backoff[i].first > now) {
        i++;
        continue;
      }
      const int index = job->backoff[i].second;
      job->backoff.erase(job->backoff.begin() + static_cast<std::ptrdiff_t>(i));
      requeue(job, index, 0);
    }
  }
  std::erase_if(machines_, [](const auto& item) {
    if (!item.second->removed || !item.second->placements.empty()) return false;
    spdlog::info("{} is removed", item.first);
    return true;
  });
  const double lease = lease_over_s();
  for (auto& [name, machine] : machines_) {
    if (!machine->answer.answered() && now >= machine->answer_by) answer(*machine);
    // (c) it obeyed only us, and our last answer can have carried it no further than this.
    if (machine->token_acknowledged && machine->last_answer + lease < now && !machine->placements.empty()) {
      std::size_t freed = 0;
      for (Placement& placement : machine->placements) {
        if (placement.stage != Placement::Stage::kRecorded) continue;
        free_placement(placement, 0);
        freed++;
      }
      if (freed > 0) {
        spdlog::info("{} silent, its lease has expired: {} placements freed", name, freed);
        counters_.freed_by_lease += freed;
      }
    }
  }
  raise_fencing_tokens();
  maintain_gangs();
  look_for_best_effort();
  preempt();
  send_queued();
  retry_cancellations();
  if (ctx_.shard_count > 1) {
    request_tasks();
    request_quota();
  }
  ctx_.env->after(kTick, alive([this] { tick(); }));
}

void ShardLeader::apply(const FleetOrders& orders) {
  const std::set<std::string> draining(orders.draining.begin(), orders.draining.end());
  const std::set<std::string> cordoned(orders.cordoned.begin(), orders.cordoned.end());
  for (auto& [name, machine] : machines_) {
    machine->draining = draining.count(name) > 0;
    machine->cordoned = cordoned.count(name) > 0;
  }
  headroom_share_ = orders.headroom_share;
  elsewhere_ = orders.waiting;
  for (WaitingHint& hint : elsewhere_) hint.least_cores = least_cores(std::nullopt, hint.demand);
  for (const std::string& name : orders.removed) {
    const auto it = machines_.find(name);
    if (it != machines_.end()) remove_machine(*it->second);
  }
  send_queued();
}

// (d) the cloud confirmed that the machine and everything on it are gone.
void ShardLeader::remove_machine(Machine& machine) {
  if (machine.removed) return;
  machine.removed = true;
  returned_.insert(machine.name);
  returned_order_.push_back(machine.name);
  if (returned_order_.size() > kReturned) {
    returned_.erase(returned_order_.front());
    returned_order_.pop_front();
  }
  for (Placement& placement : machine.placements) {
    if (placement.stage == Placement::Stage::kFreeing) continue;
    free_placement(placement, 0);
    counters_.freed_by_return++;
  }
}
}  // namespace mothslip
