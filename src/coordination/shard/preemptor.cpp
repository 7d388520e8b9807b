#include "coordination/shard/preemptor.hpp"

#include <algorithm>

#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
// Other work waits this long for room to become free without preemption.
constexpr double kPreemptAfterSeconds = 0.8;
// Best-effort work is excluded from room in favour of other shards' work for at most this time, because that
// work may be unable to use the room.
constexpr double kMaxExclusionSeconds = 20.0;
// Best-effort work starts on a machine that no other work has needed or been given for this time. When it was
// started in every gap of a busy cluster, it was stopped again within seconds, and repeatedly, until it had
// reached its limit of preemptions.
constexpr double kUncontendedSeconds = 8.0;
// A task is stopped at most kMaxPreemptionsPerTask times, and never within kNearlyDoneSeconds of its expected
// end.
constexpr int kMaxPreemptionsPerTask = 4;
constexpr double kNearlyDoneSeconds = 5.0;
// Limit on the work that is lost in order to start a task, in seconds of that task's own cores.
constexpr double kMaxLostWorkSeconds = 30.0;
// Fraction of the fleet's planned headroom that is kept free of best-effort work.
constexpr double kReservedHeadroomFraction = 0.5;
// Time until a stopped task runs again elsewhere: its new record is written, and its image is fetched.
constexpr double kRestartSeconds = 3.0;
constexpr std::size_t kMaxStopsPerTick = 48;
// Long tasks that cannot save their progress and leave at least half of their machine free are packed onto
// machines that already run such tasks. One of them on every machine would leave no room for large tasks
// anywhere. A job is no longer packed once kPackingTimeoutSeconds have passed since its submission.
constexpr double kLongTaskSeconds = 30.0;
constexpr double kPackingTimeoutSeconds = 5.0;
// A task this short ends at about the time at which it could have been stopped for other work.
constexpr double kShortTaskSeconds = 8.0;
bool fragments_machine(const Job& job, const Machine& machine) {
  const JobSpec& spec = job.spec();
  return !spec.can_checkpoint() && spec.estimated_s > kLongTaskSeconds &&
         2 * job.demand[0] <= machine.capacity[0];
}
}  // namespace

Preemptor::Preemptor(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                     PlacementRules& rules, WorkerCommands& commands)
    : ctx_(context), model_(model), committer_(committer), rules_(rules), commands_(commands) {}

// Returns whether work other than best-effort waits for room on such a machine, here or at another shard.
bool Preemptor::is_wanted_by_others(Machine& machine) const {
  for (const auto& [name, job] : model_.jobs()) {
    if (rules_.waits_for_room(*job) && !rules_.is_preemptible(*job) && fits(job->demand, machine.capacity) &&
        rules_.allowed_on(*job, machine)) {
      return true;
    }
  }
  const bool wanted_elsewhere = std::any_of(
      model_.demand_elsewhere().begin(), model_.demand_elsewhere().end(), [&machine](const auto& hint) {
        return hint.startable && (hint.allows_spot || !machine.record.spot) &&
               fits(hint.demand, machine.room);
      });
  const double now = ctx_.env->now();
  if (!wanted_elsewhere) {
    machine.best_effort_excluded_since = 0;
    return false;
  }
  if (machine.best_effort_excluded_since == 0) machine.best_effort_excluded_since = now;
  return now - machine.best_effort_excluded_since < kMaxExclusionSeconds;
}

bool Preemptor::is_uncontended(Machine& machine) const {
  const double now = ctx_.env->now();
  if (is_wanted_by_others(machine)) machine.last_wanted_at = now;
  return now - machine.last_wanted_at >= kUncontendedSeconds;
}

bool Preemptor::may_start_best_effort(const Job& job, const Machine& machine, bool uncontended) const {
  if (rules_.is_long_unplaced(job)) return true;
  const bool is_wanted_now = machine.last_wanted_at == ctx_.env->now();
  const bool is_short_task = job.spec().estimated_s <= kShortTaskSeconds;
  if (is_short_task ? is_wanted_now : !uncontended || cores_beyond_headroom_ < job.demand[0]) return false;
  // Ordinary machines are expensive, and are returned as soon as they are idle.
  if (!machine.record.spot && job.spec().allows_spot) return false;
  if (!fragments_machine(job, machine)) return true;
  const bool is_fragmented =
      std::any_of(machine.placements.begin(), machine.placements.end(),
                  [&machine](const Placement& p) { return fragments_machine(*p.job, machine); });
  return is_fragmented || ctx_.env->wall_time() - job.record.submitted_at > kPackingTimeoutSeconds;
}

Preemptor::PreemptibleRoom Preemptor::preemptible_room(Machine& machine) const {
  PreemptibleRoom out;
  out.machine = &machine;
  out.room = machine.room;
  const double now = ctx_.env->now();
  for (std::size_t i = 0; i < machine.placements.size(); i++) {
    const Placement& placement = machine.placements[i];
    const Job& job = *placement.job;
    if (placement.preempted || placement.stage == Placement::Stage::kFreeing) {
      for (std::size_t r = 0; r < out.room.size(); r++) out.room[r] += job.demand[r];
      continue;
    }
    // Tasks of gangs are not preempted, because a gang would have to be stopped as a whole.
    if (placement.stage != Placement::Stage::kRecorded || !rules_.is_preemptible(job) || job.is_gang())
      continue;
    const double ran_s = placement.running_since == 0 ? 0 : now - placement.running_since;
    const bool is_nearly_done =
        placement.running_since != 0 && job.spec().estimated_s - ran_s < kNearlyDoneSeconds;
    const bool is_only_task = job.placed == 1 && job.done.empty();
    const auto preemption_count = job.preemption_counts.find(placement.index);
    if (is_nearly_done || is_only_task || placement.phase == TaskPhase::kCheckpointing ||
        (preemption_count != job.preemption_counts.end() &&
         preemption_count->second >= kMaxPreemptionsPerTask)) {
      continue;
    }
    const double lost_s =
        kRestartSeconds + (job.spec().can_checkpoint() ? job.spec().checkpoint_cost_s : ran_s);
    out.candidates.push_back({i, job.demand, lost_s * job.demand[0]});
  }
  return out;
}

void Preemptor::preempt_for(const Job& job, int count, std::vector<PreemptibleRoom>& machines,
                            std::size_t& stops_left) {
  const auto take_room_of = [&job](Resources& room) {
    for (std::size_t r = 0; r < room.size(); r++) room[r] -= job.demand[r];
  };
  for (PreemptibleRoom& preemptible : machines) {
    while (count > 0 && fits(job.demand, preemptible.room) && rules_.allowed_on(job, *preemptible.machine)) {
      take_room_of(preemptible.room);
      count--;
    }
  }
  for (PreemptibleRoom& preemptible : machines) {
    Machine& machine = *preemptible.machine;
    while (count > 0 && stops_left > 0 && !preemptible.candidates.empty() &&
           rules_.allowed_on(job, machine)) {
      const Preemption chosen = choose_preemption(preemptible.room, job.demand, preemptible.candidates,
                                                  kMaxLostWorkSeconds * job.demand[0]);
      if (chosen.ids.empty()) break;
      for (const std::size_t id : chosen.ids) {
        Placement& placement = machine.placements[id];
        placement.preempted = true;
        placement.job->preemption_counts[placement.index]++;
        model_.counters().preempted++;
        for (std::size_t r = 0; r < preemptible.room.size(); r++)
          preemptible.room[r] += placement.job->demand[r];
        std::erase_if(preemptible.candidates, [id](const auto& each) { return each.id == id; });
      }
      stops_left -= std::min(stops_left, chosen.ids.size());
      take_room_of(preemptible.room);
      count--;
      commands_.send_stops(machine);
    }
  }
}

void Preemptor::detect_best_effort() {
  has_best_effort_jobs_ = std::any_of(model_.jobs().begin(), model_.jobs().end(), [](const auto& item) {
    return item.second->spec().urgency == Urgency::kBestEffort;
  });
  if (has_best_effort_jobs_) measure_headroom();
}

// Headroom is kept free for other work that arrives next: a task that must be stopped first takes seconds to
// save its progress.
void Preemptor::measure_headroom() {
  double free_cores = 0;
  double all_cores = 0;
  for (const auto& [name, machine] : model_.machines()) {
    if (machine->type < 0 || !machine->schedulable() || !machine->has_reported) continue;
    free_cores += std::max(0.0, machine->room[0]);
    all_cores += machine->capacity[0];
  }
  cores_beyond_headroom_ = free_cores - kReservedHeadroomFraction * headroom_share_ * all_cores;
}

// Stops best-effort tasks on machines that are reserved for a gang, unless the gang itself is preemptible.
void Preemptor::preempt_on_reserved_machines(std::size_t& stops_left) {
  for (auto& [name, machine] : model_.machines()) {
    if (!machine->reserved_for || rules_.is_preemptible(*machine->reserved_for)) continue;
    const PreemptibleRoom room = preemptible_room(*machine);
    bool any_preempted = false;
    for (const PreemptionCandidate& each : room.candidates) {
      if (stops_left == 0) break;
      Placement& placement = machine->placements[each.id];
      placement.preempted = any_preempted = true;
      placement.job->preemption_counts[placement.index]++;
      model_.counters().preempted++;
      stops_left--;
    }
    if (any_preempted) commands_.send_stops(*machine);
  }
}

void Preemptor::preempt() {
  if (!has_best_effort_jobs_ || committer_.is_state_service_unresponsive() || !ctx_.owns_exclusively())
    return;
  const double wall_time = ctx_.env->wall_time();
  std::vector<const Job*> waiting;
  for (const auto& [name, job] : model_.jobs()) {
    // Room for a gang is made on the machines that are reserved for it.
    if (rules_.waits_for_room(*job) && !rules_.is_preemptible(*job) && !job->is_gang() &&
        wall_time - job->record.submitted_at > kPreemptAfterSeconds)
      waiting.push_back(job.get());
  }
  std::size_t stops_left = kMaxStopsPerTick;
  preempt_on_reserved_machines(stops_left);
  if (waiting.empty()) return;
  const double now = ctx_.env->now();
  std::vector<PreemptibleRoom> machines;
  bool has_candidates = false;
  for (auto& [name, machine] : model_.machines()) {
    if (machine->type < 0 || !machine->schedulable() || !machine->token_acknowledged) continue;
    if (now - machine->last_report_at > ctx_.max_report_age_s()) continue;
    machines.push_back(preemptible_room(*machine));
    has_candidates = has_candidates || !machines.back().candidates.empty();
  }
  if (!has_candidates) return;
  std::sort(waiting.begin(), waiting.end(),
            [](const Job* a, const Job* b) { return has_priority_over(*a, *b); });
  for (const Job* job : waiting) {
    if (stops_left == 0) break;
    const int count = std::min(job->waiting.size(), model_.teams().tasks_within(job->team, job->demand));
    preempt_for(*job, count, machines, stops_left);
  }
}

}  // namespace mothslip
