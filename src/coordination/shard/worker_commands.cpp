#include "coordination/shard/worker_commands.hpp"

#include <algorithm>
#include <string>

#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/worker_liveness.hpp"

namespace mothslip {

namespace {
constexpr double kDirectSeconds = 3.0;
constexpr int kAnnouncementsAtOnce = 16;
constexpr double kAnnouncementInterval = 3.5;
// The machine will be taken away: what can save does so now and goes on elsewhere.
bool saves_before_it_is_killed(const Machine& machine, const Placement& placement) {
  const bool goes = machine.evicted_at || (machine.draining && machine.faulty);
  // (A gang is stopped as a whole.)
  return goes && placement.phase == TaskPhase::kRunning && placement.job->spec().can_checkpoint() &&
         !placement.job->is_gang();
}
}  // namespace

WorkerCommands::WorkerCommands(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                               GangScheduler& gangs, WorkerLiveness& liveness)
    : ctx_(context), model_(model), committer_(committer), gangs_(gangs), liveness_(liveness) {}

void WorkerCommands::answer(Machine& machine) {
  if (machine.answer.answered()) return;
  machine.held = false;
  if (!ctx_.may_renew()) {
    // Somebody may have replaced us and confirmed cancellations: we do not keep alive what may be cancelled.
    machine.answer.send(503, R"({"error":"perhaps no longer the owner"})", 1);
    machine.answer = Responder();
    return;
  }
  const std::vector<Order> orders = orders_for(machine);
  machine.last_answer = ctx_.env->now();
  machine.answer.send(200, orders_body(ctx_.fencing_token, std::nullopt, orders));
  machine.answer = Responder();
}

std::vector<Order> WorkerCommands::orders_for(Machine& machine) {
  std::vector<Order> orders;
  // A cancellation can have been promised by another owner since our lease ran out. And a report that does
  // not show our token may be a late copy from before we owned the shard: orders would be wasted on it.
  const bool may_launch = ctx_.exclusive_owner() && machine.token_acknowledged;
  bool again = false;
  for (Placement& placement : machine.placements) {
    if (placement.stage != Placement::Stage::kRecorded) continue;
    const Job& job = *placement.job;
    const std::string task = task_name(job.spec().ref, placement.index);
    const bool unwanted =
        job.cancel_requested() || job.done.contains(placement.index) || gangs_.attempt_over(job);
    if (placement.seen_sequence == machine.sequence && machine.sequence != 0) {
      auto grace = stop_wanted(placement);
      if (!grace && !placement.preempted && saves_before_it_is_killed(machine, placement))
        grace = stop_grace_s(job.spec());
      if (grace) orders.push_back({Order::Verb::kStop, task, placement.attempt, *grace});
    } else if (!unwanted && !placement.preempted && may_launch && machine.schedulable() &&
               gangs_.gang_may_be_launched(job)) {
      if (placement.sent_sequence != 0) {
        model_.counters().relaunches++;
        if (!again) machine.ineffective_launches++;
        again = true;
      }
      placement.sent_sequence = machine.sequence;
      model_.counters().launches++;
      orders.push_back({Order::Verb::kLaunch, task, placement.attempt, 0});
    }
  }
  for (const TaskReport& unmatched_task : machine.unmatched) {
    const std::string task = task_name(unmatched_task.ref, unmatched_task.index);
    const JobPtr job = model_.find_task(unmatched_task.ref, unmatched_task.index);
    if (unmatched_task.phase == TaskPhase::kExited) {
      const bool held = std::any_of(
          machine.placements.begin(), machine.placements.end(), [&unmatched_task](const Placement& p) {
            return p.attempt == unmatched_task.attempt && p.index == unmatched_task.index;
          });
      const bool lost_if_acknowledged = unmatched_task.cause == ExitCause::kDone && job != nullptr &&
                                        !job->record.aborted && !job->durable(unmatched_task.index);
      if (!held && !lost_if_acknowledged) {
        orders.push_back({Order::Verb::kAcknowledgeExit, task, unmatched_task.attempt, 0});
      }
    } else {
      orders.push_back({Order::Verb::kStop, task, unmatched_task.attempt, 0});
    }
  }
  return orders;
}

void WorkerCommands::send_direct(Machine& machine, const std::vector<Order>& orders, bool raise) {
  if (machine.direct_inflight) return;
  machine.direct_inflight = true;
  announcing_ += raise ? 1 : 0;
  HttpCall call{machine.record.address, "POST", "/commands",
                orders_body(ctx_.fencing_token, machine.record.worker_incarnation, orders), kDirectSeconds};
  call.keep_alive = false;
  ctx_.env->call(std::move(call), alive_([this, name = machine.name, raise](const HttpReply& reply) {
                   if (raise) {
                     announcing_--;
                     announce_fencing_token();
                   }
                   const auto it = model_.machines().find(name);
                   if (it == model_.machines().end()) return;
                   Machine& found = *it->second;
                   found.direct_inflight = false;
                   if (found.stops_due) send_stops(found);
                   if (reply.status != 200 && reply.status != 409) return;
                   auto report = parse_report(parse_json(reply.body));
                   if (!report || report->machine_name != name) return;
                   if (report->fencing_token > ctx_.fencing_token) {
                     ctx_.deposed(report->fencing_token);
                     return;
                   }
                   if (liveness_.apply_heartbeat(found, *report, true)) committer_.send_due_writes();
                 }));
}

void WorkerCommands::announce_fencing_token() {
  if (!model_.active() || announcing_ >= kAnnouncementsAtOnce) return;
  const double now = ctx_.env->now();
  std::vector<Machine*> due;
  for (auto& [name, machine] : model_.machines()) {
    const bool tried = machine->raise_tried != 0 && now - machine->raise_tried < kAnnouncementInterval;
    if (machine->token_acknowledged || machine->placements.empty() || machine->direct_inflight || tried)
      continue;
    due.push_back(machine.get());
  }
  std::stable_sort(due.begin(), due.end(), [](const Machine* a, const Machine* b) {
    return a->heard != b->heard ? a->heard : a->raise_tried < b->raise_tried;
  });
  for (Machine* machine : due) {
    if (announcing_ >= kAnnouncementsAtOnce) return;
    machine->raise_tried = now;
    send_direct(*machine, {}, true);
  }
}

// With which grace period the task is to be stopped, if it is.
std::optional<double> WorkerCommands::stop_wanted(const Placement& placement) {
  const Job& job = *placement.job;
  if (job.cancel_requested() || job.done.contains(placement.index) || job.attempt.failed) return 0;
  const bool gracefully = placement.preempted || (job.attempt.stopping && job.attempt.stop_recorded);
  // (Whether a second stop ends a task that is saving already is not said.)
  if (!gracefully || placement.phase == TaskPhase::kCheckpointing) return std::nullopt;
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
    const auto grace = stop_wanted(placement);
    if (grace)
      orders.push_back(
          {Order::Verb::kStop, task_name(job.spec().ref, placement.index), placement.attempt, *grace});
  }
  if (!orders.empty()) send_direct(machine, orders);
}

}  // namespace mothslip
