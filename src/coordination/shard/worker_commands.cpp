#include "coordination/shard/worker_commands.hpp"

#include <algorithm>
#include <string>

#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/worker_liveness.hpp"

namespace mothslip {

namespace {
constexpr double kDirectCommandTimeoutSeconds = 3.0;
// Limits for announcements of the fencing token: the number in flight, and the interval per machine.
constexpr int kMaxConcurrentAnnouncements = 16;
constexpr double kAnnouncementIntervalSeconds = 3.5;
// Whether the task must save its progress now, because the machine will be removed. The task resumes on
// another machine.
bool must_checkpoint_before_removal(const Machine& machine, const Placement& placement) {
  const bool will_be_removed = machine.evicted_at || (machine.draining && machine.faulty);
  // Gangs are excluded because they are stopped as a whole.
  return will_be_removed && placement.phase == TaskPhase::kRunning &&
         placement.job->spec().can_checkpoint() && !placement.job->is_gang();
}
}  // namespace

WorkerCommands::WorkerCommands(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                               GangScheduler& gangs, WorkerLiveness& liveness)
    : ctx_(context), model_(model), committer_(committer), gangs_(gangs), liveness_(liveness) {}

void WorkerCommands::answer(Machine& machine) {
  if (machine.answer.answered()) return;
  machine.report_held = false;
  if (!ctx_.may_renew_worker_leases()) {
    // Another leader may have taken over and may have confirmed cancellations. The lease is not renewed, so
    // that tasks that may be cancelled do not continue to run.
    machine.answer.send(503, R"({"error":"perhaps no longer the owner"})", 1);
    machine.answer = Responder();
    return;
  }
  const std::vector<Order> orders = orders_for(machine);
  machine.last_answer_at = ctx_.env->now();
  machine.answer.send(200, orders_body(ctx_.fencing_token, std::nullopt, orders));
  machine.answer = Responder();
}

std::vector<Order> WorkerCommands::orders_for(Machine& machine) {
  std::vector<Order> orders;
  // Launches need exclusive ownership, because another leader may have confirmed a cancellation since this
  // leader's lease ran out. They also need a worker that has acknowledged this leader's token: otherwise the
  // report may be a late copy from before this leader took over, and the orders would be lost.
  const bool may_launch = ctx_.owns_exclusively() && machine.token_acknowledged && machine.schedulable();
  bool relaunched = false;
  for (Placement& placement : machine.placements) {
    if (placement.stage != Placement::Stage::kRecorded) continue;
    if (placement.seen_sequence == machine.sequence && machine.sequence != 0) {
      add_stop_order(machine, placement, orders);
    } else if (may_launch && should_launch(placement)) {
      if (placement.sent_sequence != 0) {
        model_.counters().relaunches++;
        if (!relaunched) machine.ineffective_launches++;
        relaunched = true;
      }
      placement.sent_sequence = machine.sequence;
      model_.counters().launches++;
      orders.push_back({Order::Verb::kLaunch, task_name(placement.job->spec().ref, placement.index),
                        placement.attempt, 0});
    }
  }
  for (const TaskReport& unmatched_task : machine.unmatched) {
    if (const auto order = order_for_unmatched(machine, unmatched_task)) orders.push_back(*order);
  }
  return orders;
}

// Adds a stop order for a task in the machine's last report, if the task must be stopped.
void WorkerCommands::add_stop_order(const Machine& machine, const Placement& placement,
                                    std::vector<Order>& orders) {
  const JobSpec& spec = placement.job->spec();
  auto grace_s = requested_stop_grace_s(placement);
  if (!grace_s && !placement.preempted && must_checkpoint_before_removal(machine, placement))
    grace_s = stop_grace_s(spec);
  if (grace_s)
    orders.push_back({Order::Verb::kStop, task_name(spec.ref, placement.index), placement.attempt, *grace_s});
}

bool WorkerCommands::should_launch(const Placement& placement) const {
  const Job& job = *placement.job;
  const bool is_unwanted =
      job.cancel_requested() || job.done.contains(placement.index) || gangs_.is_attempt_ending(job);
  return !is_unwanted && !placement.preempted && gangs_.gang_may_be_launched(job);
}

// Returns the order for a reported task that is not placed on the machine, or that has exited. A running task
// is stopped. The exit of a task is acknowledged, unless the task is still placed or its completion would be
// lost with that.
std::optional<Order> WorkerCommands::order_for_unmatched(const Machine& machine,
                                                         const TaskReport& task) const {
  const std::string name = task_name(task.ref, task.index);
  if (task.phase != TaskPhase::kExited) return Order{Order::Verb::kStop, name, task.attempt, 0};
  const JobPtr job = model_.find_job_of_task(task.ref, task.index);
  const bool is_placed =
      std::any_of(machine.placements.begin(), machine.placements.end(), [&task](const Placement& placement) {
        return placement.attempt == task.attempt && placement.index == task.index;
      });
  const bool lost_if_acknowledged = task.cause == ExitCause::kDone && job != nullptr &&
                                    !job->record.cancelled && !job->is_durable(task.index);
  if (is_placed || lost_if_acknowledged) return std::nullopt;
  return Order{Order::Verb::kAcknowledgeExit, name, task.attempt, 0};
}

void WorkerCommands::send_direct(Machine& machine, const std::vector<Order>& orders, bool announces_token) {
  if (machine.direct_inflight) return;
  machine.direct_inflight = true;
  announcements_inflight_ += announces_token ? 1 : 0;
  HttpCall call{machine.record.address, "POST", "/commands",
                orders_body(ctx_.fencing_token, machine.record.worker_incarnation, orders),
                kDirectCommandTimeoutSeconds};
  call.keep_alive = false;
  ctx_.env->call(std::move(call),
                 callback_guard_([this, name = machine.name, announces_token](const HttpReply& reply) {
                   if (announces_token) {
                     announcements_inflight_--;
                     announce_fencing_token();
                   }
                   const auto it = model_.machines().find(name);
                   if (it != model_.machines().end()) on_direct_answer(*it->second, reply);
                 }));
}

void WorkerCommands::on_direct_answer(Machine& machine, const HttpReply& reply) {
  machine.direct_inflight = false;
  if (machine.stops_due) send_stops(machine);
  if (reply.status != 200 && reply.status != 409) return;
  auto report = parse_report(parse_json(reply.body));
  if (!report || report->machine_name != machine.name) return;
  if (report->fencing_token > ctx_.fencing_token) {
    ctx_.on_deposed(report->fencing_token);
    return;
  }
  if (liveness_.apply_heartbeat(machine, *report, true)) committer_.send_due_writes();
}

void WorkerCommands::announce_fencing_token() {
  if (!model_.active() || announcements_inflight_ >= kMaxConcurrentAnnouncements) return;
  const double now = ctx_.env->now();
  std::vector<Machine*> due;
  for (auto& [name, machine] : model_.machines()) {
    const bool recently_announced = machine->last_token_announcement_at != 0 &&
                                    now - machine->last_token_announcement_at < kAnnouncementIntervalSeconds;
    if (machine->token_acknowledged || machine->placements.empty() || machine->direct_inflight ||
        recently_announced)
      continue;
    due.push_back(machine.get());
  }
  std::stable_sort(due.begin(), due.end(), [](const Machine* a, const Machine* b) {
    return a->has_reported != b->has_reported ? a->has_reported
                                              : a->last_token_announcement_at < b->last_token_announcement_at;
  });
  for (Machine* machine : due) {
    if (announcements_inflight_ >= kMaxConcurrentAnnouncements) return;
    machine->last_token_announcement_at = now;
    send_direct(*machine, {}, true);
  }
}

// Returns the grace period with which the task must be stopped, or nothing if it must not be stopped now.
std::optional<double> WorkerCommands::requested_stop_grace_s(const Placement& placement) {
  const Job& job = *placement.job;
  if (job.cancel_requested() || job.done.contains(placement.index) || job.attempt.failed) return 0;
  const bool stops_gracefully = placement.preempted || (job.attempt.stopping && job.attempt.stop_recorded);
  // A task that is already checkpointing gets no second stop, because the protocol does not specify whether
  // that would end the task.
  if (!stops_gracefully || placement.phase == TaskPhase::kCheckpointing) return std::nullopt;
  return stop_grace_s(job.spec());
}

void WorkerCommands::stop_directly(const JobPtr& job) {
  for (auto& [name, machine] : model_.machines()) {
    const auto& placements = machine->placements;
    if (std::any_of(placements.begin(), placements.end(), [&job](const auto& p) { return p.job == job; }))
      send_stops(*machine);
  }
}

void WorkerCommands::send_stops(Machine& machine) {
  machine.stops_due = machine.direct_inflight;
  if (machine.direct_inflight) return;
  std::vector<Order> orders;
  for (const Placement& placement : machine.placements) {
    const Job& job = *placement.job;
    if (placement.stage != Placement::Stage::kRecorded) continue;
    const auto grace_s = requested_stop_grace_s(placement);
    if (grace_s)
      orders.push_back(
          {Order::Verb::kStop, task_name(job.spec().ref, placement.index), placement.attempt, *grace_s});
  }
  if (!orders.empty()) send_direct(machine, orders);
}

}  // namespace mothslip
