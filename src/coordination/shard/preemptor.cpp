#include "coordination/shard/preemptor.hpp"

#include <algorithm>

#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
// Other work waits this long for room to come free by itself.
constexpr double kPatience = 0.8;
// Room is kept from it for other shards' work no longer than this: it may be of no use to that work.
constexpr double kHoldBack = 20.0;
// Best-effort work starts on a machine that no other work has wanted or been given for this long. Started in
// every gap of a busy cluster, it was stopped again within seconds, and again, until it might not be any
// more.
constexpr double kQuiet = 8.0;
// A task is stopped so many times at the most, and never shortly before its expected end.
constexpr int kMostStops = 4;
constexpr double kNearlyDone = 5.0;
// Work that may be lost for a task, in seconds of that task's own cores.
constexpr double kWorthLosing = 30.0;
constexpr double kHeadroomKept = 0.5;  // of the headroom that the fleet plans with
constexpr double kRestart = 3.0;  // seconds until a stopped task runs again elsewhere: its record, its image
constexpr std::size_t kStopsPerTick = 48;
// Long tasks that cannot save and leave most of their machine free are packed onto machines that have such
// tasks already: one of them on every machine would leave no room for large tasks anywhere.
constexpr double kLongTask = 30.0;
constexpr double kPackingPatience = 5.0;
// So short a task is over about when it could have been stopped for others.
constexpr double kShortTask = 8.0;
bool breaks_up(const Job& job, const Machine& machine) {
  const JobSpec& spec = job.spec();
  return !spec.can_checkpoint() && spec.estimated_s > kLongTask && 2 * job.demand[0] <= machine.capacity[0];
}
}  // namespace

Preemptor::Preemptor(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                     PlacementRules& rules, WorkerCommands& commands)
    : ctx_(context), model_(model), committer_(committer), rules_(rules), commands_(commands) {}

// Work that goes first waits for room on such a machine: here, or at another shard.
bool Preemptor::wanted_by_others(Machine& machine) const {
  for (const auto& [name, job] : model_.jobs()) {
    if (rules_.waits_for_room(*job) && !rules_.is_preemptible(*job) && fits(job->demand, machine.capacity) &&
        rules_.allowed_on(*job, machine)) {
      return true;
    }
  }
  const bool elsewhere = std::any_of(model_.demand_elsewhere().begin(), model_.demand_elsewhere().end(),
                                     [&machine](const auto& hint) {
                                       return hint.startable && (hint.allows_spot || !machine.record.spot) &&
                                              fits(hint.demand, machine.room);
                                     });
  const double now = ctx_.env->now();
  if (!elsewhere) {
    machine.best_effort_excluded_since = 0;
    return false;
  }
  if (machine.best_effort_excluded_since == 0) machine.best_effort_excluded_since = now;
  return now - machine.best_effort_excluded_since < kHoldBack;
}

bool Preemptor::quiet(Machine& machine) const {
  const double now = ctx_.env->now();
  if (wanted_by_others(machine)) machine.last_wanted_at = now;
  return now - machine.last_wanted_at >= kQuiet;
}

bool Preemptor::open_to_best_effort(const Job& job, const Machine& machine, bool is_quiet) const {
  if (rules_.is_long_unplaced(job)) return true;
  const bool wanted_now = machine.last_wanted_at == ctx_.env->now();
  const bool short_task = job.spec().estimated_s <= kShortTask;
  if (short_task ? wanted_now : !is_quiet || beyond_headroom_ < job.demand[0]) return false;
  // Ordinary machines are dear, and go back as soon as they are idle.
  if (!machine.record.spot && job.spec().allows_spot) return false;
  if (!breaks_up(job, machine)) return true;
  const bool broken_up = std::any_of(machine.placements.begin(), machine.placements.end(),
                                     [&machine](const Placement& p) { return breaks_up(*p.job, machine); });
  return broken_up || ctx_.env->wall_time() - job.record.submitted_at > kPackingPatience;
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
    // (A gang would have to be stopped as a whole.)
    if (placement.stage != Placement::Stage::kRecorded || !rules_.is_preemptible(job) || job.is_gang())
      continue;
    const double ran = placement.running_since == 0 ? 0 : now - placement.running_since;
    const bool soon_over = placement.running_since != 0 && job.spec().estimated_s - ran < kNearlyDone;
    const bool only_one = job.placed == 1 && job.done.empty();
    const auto stops = job.preemption_counts.find(placement.index);
    if (soon_over || only_one || placement.phase == TaskPhase::kCheckpointing ||
        (stops != job.preemption_counts.end() && stops->second >= kMostStops)) {
      continue;
    }
    const double lost_s = kRestart + (job.spec().can_checkpoint() ? job.spec().checkpoint_cost_s : ran);
    out.candidates.push_back({i, job.demand, lost_s * job.demand[0]});
  }
  return out;
}

void Preemptor::preempt_for(const Job& job, int count, std::vector<PreemptibleRoom>& machines,
                            std::size_t& stops_left) {
  const auto take_room_of = [&job](Resources& room) {
    for (std::size_t r = 0; r < room.size(); r++) room[r] -= job.demand[r];
  };
  for (PreemptibleRoom& free : machines) {
    while (count > 0 && fits(job.demand, free.room) && rules_.allowed_on(job, *free.machine)) {
      take_room_of(free.room);
      count--;
    }
  }
  for (PreemptibleRoom& free : machines) {
    Machine& machine = *free.machine;
    while (count > 0 && stops_left > 0 && !free.candidates.empty() && rules_.allowed_on(job, machine)) {
      const Preemption chosen =
          choose_preemption(free.room, job.demand, free.candidates, kWorthLosing * job.demand[0]);
      if (chosen.ids.empty()) break;
      for (const std::size_t id : chosen.ids) {
        Placement& placement = machine.placements[id];
        placement.preempted = true;
        placement.job->preemption_counts[placement.index]++;
        model_.counters().preempted++;
        for (std::size_t r = 0; r < free.room.size(); r++) free.room[r] += placement.job->demand[r];
        std::erase_if(free.candidates, [id](const auto& each) { return each.id == id; });
      }
      stops_left -= std::min(stops_left, chosen.ids.size());
      take_room_of(free.room);
      count--;
      commands_.send_stops(machine);
    }
  }
}

void Preemptor::detect_best_effort() {
  best_effort_here_ = std::any_of(model_.jobs().begin(), model_.jobs().end(), [](const auto& item) {
    return item.second->spec().urgency == Urgency::kBestEffort;
  });
  if (best_effort_here_) measure_headroom();
}

// What other work will want next is best found free: a task that must be stopped first saves for seconds.
void Preemptor::measure_headroom() {
  double free = 0;
  double all = 0;
  for (const auto& [name, machine] : model_.machines()) {
    if (machine->type < 0 || !machine->schedulable() || !machine->has_reported) continue;
    free += std::max(0.0, machine->room[0]);
    all += machine->capacity[0];
  }
  beyond_headroom_ = free - kHeadroomKept * headroom_share_ * all;
}

// Best-effort tasks leave the machines that are kept for a gang, unless it is one of theirs.
void Preemptor::clear_reserved(std::size_t& stops_left) {
  for (auto& [name, machine] : model_.machines()) {
    if (!machine->reserved_for || rules_.is_preemptible(*machine->reserved_for)) continue;
    const PreemptibleRoom room = preemptible_room(*machine);
    bool any = false;
    for (const PreemptionCandidate& each : room.candidates) {
      if (stops_left == 0) break;
      Placement& placement = machine->placements[each.id];
      placement.preempted = any = true;
      placement.job->preemption_counts[placement.index]++;
      model_.counters().preempted++;
      stops_left--;
    }
    if (any) commands_.send_stops(*machine);
  }
}

void Preemptor::preempt() {
  if (!best_effort_here_ || committer_.state_silent() || !ctx_.exclusive_owner()) return;
  const double wall = ctx_.env->wall_time();
  std::vector<const Job*> waiting;
  for (const auto& [name, job] : model_.jobs()) {
    // (Room for a gang is made where it is reserved.)
    if (rules_.waits_for_room(*job) && !rules_.is_preemptible(*job) && !job->is_gang() &&
        wall - job->record.submitted_at > kPatience)
      waiting.push_back(job.get());
  }
  std::size_t stops_left = kStopsPerTick;
  clear_reserved(stops_left);
  if (waiting.empty()) return;
  const double now = ctx_.env->now();
  std::vector<PreemptibleRoom> machines;
  bool any = false;
  for (auto& [name, machine] : model_.machines()) {
    if (machine->type < 0 || !machine->schedulable() || !machine->token_acknowledged) continue;
    if (now - machine->last_report_at > ctx_.report_freshness_s()) continue;
    machines.push_back(preemptible_room(*machine));
    any = any || !machines.back().candidates.empty();
  }
  if (!any) return;
  std::sort(waiting.begin(), waiting.end(),
            [](const Job* a, const Job* b) { return has_priority_over(*a, *b); });
  for (const Job* job : waiting) {
    if (stops_left == 0) break;
    const int count = std::min(job->waiting.size(), model_.teams().tasks_within(job->team, job->demand));
    preempt_for(*job, count, machines, stops_left);
  }
}

}  // namespace mothslip
