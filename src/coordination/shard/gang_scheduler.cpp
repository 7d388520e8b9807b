#include "coordination/shard/gang_scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/shard/journal.hpp"
#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/quota_shares.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/task_delegation.hpp"
#include "coordination/shard/task_placement.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
// In cores or GPUs. Sums of decimal fractions have rounding errors.
constexpr double kRoundingTolerance = 1e-9;
// Interval between two searches for places of the same gang.
constexpr double kPlacementRetrySeconds = 0.3;
// A lost task is replaced only within this fraction of gang_wait_s after the launch.
constexpr double kReplacementWindowFraction = 0.6;
// An attempt fails if not all of its placements are durable within this time.
constexpr double kIncompleteTimeoutSeconds = 12.0;
// Machines are reserved for a gang that has found no room for this time.
constexpr double kReserveAfterSeconds = 4.0;
// The machines are chosen again after this time, because other machines may suit the gang better by then.
constexpr double kReservationRefreshSeconds = 10.0;
// No gang keeps machines from other jobs for longer than kMaxReservationSeconds. No machines are reserved for
// it again during the following kReservationPauseSeconds.
constexpr double kMaxReservationSeconds = 150.0;
constexpr double kReservationPauseSeconds = 30.0;
constexpr double kCapacityRequestIntervalSeconds = 2.0;
constexpr double kGangStateReportIntervalSeconds = 2.0;
// A delegate's report that a gang runs is valid for this time.
constexpr double kGangStateReportValidSeconds = 6.0;
constexpr double kStopMarginSeconds = 5.0;
double weighted_sum(const Resources& amounts, const Resources& weights) {
  double sum = 0;
  for (std::size_t r = 0; r < amounts.size(); r++) sum += amounts[r] * weights[r];
  return sum;
}
}  // namespace

GangScheduler::GangScheduler(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                             Journal& journal, PlacementRules& rules, TaskPlacement& placement,
                             TaskDelegation& delegation, QuotaShares& quotas, WorkerCommands& commands)
    : ctx_(context),
      model_(model),
      committer_(committer),
      journal_(journal),
      rules_(rules),
      placement_(placement),
      delegation_(delegation),
      quotas_(quotas),
      commands_(commands) {}

bool GangScheduler::is_attempt_ending(const Job& job) { return job.attempt.failed || job.attempt.stopping; }

int GangScheduler::gang_tasks_running(const Job& job) const {
  const bool delegated_gang_runs =
      job.delegated_open() > 0 && job.delegated_gang_runs &&
      ctx_.env->now() - job.delegated_gang_reported_at < kGangStateReportValidSeconds;
  return job.gang_runs() || delegated_gang_runs ? job.spec().task_count : 0;
}

bool GangScheduler::gang_may_be_placed(const Job& job) const {
  if (job.attempt.number == 0) return job.placed == 0 && job.waiting.size() == job.spec().task_count;
  if (is_attempt_ending(job) || job.attempt.started) return false;
  const double launched_at = job.attempt.launched_at;
  return launched_at == 0 ||
         ctx_.env->now() - launched_at < kReplacementWindowFraction * ctx_.settings->gang_wait_s;
}

// Returns whether the whole gang waits: none of its tasks is placed, delegated or paused.
bool GangScheduler::gang_waits(const Job& job) const {
  return job.is_gang() && job.attempt.number == 0 && !job.is_over() && !job.cancel_requested() &&
         gang_may_be_placed(job);
}

bool GangScheduler::gang_may_be_launched(const Job& job) {
  return !job.is_gang() || job.attempt.launched_at != 0;
}

GangNeeds GangScheduler::gang_needs(const Job& job) {
  GangNeeds out;
  out.demand = job.demand;
  out.tasks = job.waiting.size();
  out.together = job.spec().must_share_zone;
  if (job.spec().must_spread_zones) out.max_tasks_per_zone = (job.spec().task_count + 1) / 2;
  out.placed_by_zone = job.placed_by_zone;
  return out;
}

bool GangScheduler::may_use_machine(const Job& job, const Machine& machine) const {
  const double now = ctx_.env->now();
  if (machine.type < 0 || !machine.schedulable() || !machine.token_acknowledged || !machine.has_reported)
    return false;
  if (now < machine.no_fill_until || now - machine.last_report_at > ctx_.max_report_age_s()) return false;
  if (machine.reserved_for && machine.reserved_for.get() != &job) return false;
  return !(machine.cordoned && rules_.fits_smaller_type(job, machine.type)) &&
         rules_.allowed_on(job, machine);
}

double GangScheduler::fetch_s(const Job& job, const Machine& machine) const {
  if (machine.has_image(job.image)) return 0;
  return image_fetch_s(job.spec(), ctx_.types->at(machine.type));
}

bool GangScheduler::place_gang(const JobPtr& job) {
  std::vector<Machine*> usable;
  std::vector<GangMachine> rooms;
  for (auto& [name, machine] : model_.machines()) {
    if (!may_use_machine(*job, *machine)) continue;
    usable.push_back(machine.get());
    rooms.push_back({machine->room, machine->zone, fetch_s(*job, *machine)});
  }
  const std::vector<GangShare> shares = find_gang_places(gang_needs(*job), rooms);
  const double now = ctx_.env->now();
  if (shares.empty()) {
    job->next_gang_placement_at = now + kPlacementRetrySeconds;
    return false;
  }
  GangAttempt& attempt = job->attempt;
  if (attempt.number == 0) {
    // The number must exceed that of every earlier attempt, also of attempts at other shards. The changes
    // that ended those attempts and brought the gang here have revisions that this shard knows.
    const std::uint64_t revision = std::max(
        {ctx_.fencing_token, model_.watched_revision(), job->job_revision, job->delegation_revision});
    attempt.number = (revision << kAttemptCounterBits) + model_.next_unique_number();
    attempt.placed_at = now;
  }
  const std::uint64_t number = attempt.number;
  for (const GangShare& share : shares) {
    for (int i = 0; i < share.tasks; i++) placement_.place_task(*usable[share.machine], job, number);
    usable[share.machine]->report_held = false;
  }
  if (reserved_gang_ == job) release_reservation();
  return true;
}

void GangScheduler::on_gangs_recorded(const std::set<JobPtr>& gangs) {
  for (const JobPtr& job : gangs) {
    if (job->attempt.launched_at != 0 || job->placed < job->spec().task_count) continue;
    const auto placements = model_.placements_of(*job);
    const bool all_recorded = std::all_of(placements.begin(), placements.end(), [](const auto& item) {
      return item.second->stage == Placement::Stage::kRecorded;
    });
    if (all_recorded) job->attempt.launched_at = ctx_.env->now();
  }
}

void GangScheduler::stop_gang(const JobPtr& job, const char* reason) {
  spdlog::info("job {}: stopping all tasks of the gang: {}", job->spec().ref, reason);
  job->attempt.stopping = true;
  job->attempt.stopping_since = ctx_.env->now();
  for (const auto& [machine, placement] : model_.placements_of(*job)) {
    journal_.mark_dirty(placement->segment);
  }
}

void GangScheduler::on_stops_recorded(const std::set<JobPtr>& gangs) {
  for (const JobPtr& job : gangs) {
    if (job->attempt.stop_recorded || !job->attempt.stopping) continue;
    const auto placements = model_.placements_of(*job);
    job->attempt.stop_recorded = std::all_of(placements.begin(), placements.end(), [](const auto& item) {
      return item.second->stop_recorded || item.second->stage == Placement::Stage::kFreeing;
    });
    if (job->attempt.stop_recorded) commands_.stop_directly(job);
  }
}

void GangScheduler::maintain() {
  for (const auto& [name, job] : model_.jobs()) {
    if (!job->is_gang() || job->is_over() || job->cancel_requested()) continue;
    if (job->attempt.number != 0) maintain_attempt(job);
    if (job->delegated_here()) report_to_home(job);
  }
  update_reservation();
  request_capacity();
}

void GangScheduler::maintain_attempt(const JobPtr& job) {
  GangAttempt& attempt = job->attempt;
  const JobSpec& spec = job->spec();
  const double now = ctx_.env->now();
  if (attempt.stopping && now - attempt.stopping_since >
                              spec.checkpoint_cost_s + 2 * ctx_.settings->gang_peer_s + kStopMarginSeconds)
    attempt.failed = true;  // the remaining tasks have had enough time to save their progress
  if (attempt.launched_at == 0 && now - attempt.placed_at > kIncompleteTimeoutSeconds) attempt.failed = true;
  if (attempt.failed) {
    if (!attempt.failure_stops_sent) {
      attempt.failure_stops_sent = true;
      commands_.stop_directly(job);
    }
    return;
  }
  if (attempt.stopping) return;
  const auto placements = model_.placements_of(*job);
  const bool is_machine_leaving = std::any_of(placements.begin(), placements.end(), [](const auto& item) {
    const Machine& machine = *item.first;
    return machine.evicted_at || (machine.draining && machine.faulty);
  });
  if (!is_machine_leaving) return;
  if (!attempt.started) {
    attempt.failed = true;
  } else if (spec.can_checkpoint()) {
    stop_gang(job, "one of its machines is being evicted, or drained as faulty");
  }
}

void GangScheduler::release_reservation() {
  for (auto& [name, machine] : model_.machines()) machine->reserved_for.reset();
  reserved_gang_.reset();
}

// Small tasks that take all room as it becomes free would keep a gang waiting indefinitely. Machines are
// reserved for one gang at a time, the first in order of priority, because two gangs with reservations could
// each hold half of the room that they need.
void GangScheduler::update_reservation() {
  const double now = ctx_.env->now();
  const double wall_time = ctx_.env->wall_time();
  JobPtr first;
  for (const auto& [name, job] : model_.jobs()) {
    const bool waits = gang_waits(*job) && !job->is_faulty();
    if (!waits || now < job->next_reservation_at || !rules_.within_quota(*job)) continue;
    if (wall_time - job->record.submitted_at < kReserveAfterSeconds ||
        now - job->idle_since < kReserveAfterSeconds)
      continue;
    if (!first || has_priority_over(*job, *first)) first = job;
  }
  if (reserved_gang_ && reserved_gang_ == first && now - reserved_at_ < kReservationRefreshSeconds) return;
  if (reserved_gang_ != first) {
    if (reserved_gang_ && !reserved_gang_->is_over() && reserved_gang_->attempt.number == 0)
      reserved_gang_->reserved_since = 0;
  }
  release_reservation();
  if (!first) return;
  if (first->reserved_since == 0) first->reserved_since = now;
  if (now - first->reserved_since > kMaxReservationSeconds) {
    first->reserved_since = 0;
    first->next_reservation_at = now + kReservationPauseSeconds;
    return;
  }
  reserve_for(first);
}

// Returns machines that could hold the whole gang if they were empty. Machines with most of their room free
// are preferred. Returns none if not all tasks fit.
std::vector<Machine*> GangScheduler::find_machines_with_capacity(const Job& job) const {
  std::vector<Machine*> machines;
  std::vector<GangMachine> rooms;
  for (const auto& [name, machine] : model_.machines()) {
    if (!may_use_machine(job, *machine)) continue;
    Resources capacity = machine->capacity;
    for (const Placement& placement : machine->placements) {
      // The room that another gang holds counts as taken, because that gang ends at its own pace.
      if (!placement.job->is_gang()) continue;
      for (std::size_t r = 0; r < capacity.size(); r++) capacity[r] -= placement.job->demand[r];
    }
    const double capacity_sum = std::max(1e-9, weighted_sum(machine->capacity, rules_.weights().resource));
    const double busy_share = 1 - weighted_sum(machine->room, rules_.weights().resource) / capacity_sum;
    machines.push_back(machine.get());
    // GangMachine::fetch_s does not hold a fetch time here: it holds the machine's busy share, in quarters
    // from 0 to 4. find_gang_places prefers low values, and therefore machines that are mostly free.
    rooms.push_back({capacity, machine->zone, std::round(busy_share * 4)});
  }
  std::vector<Machine*> out;
  for (const GangShare& share : find_gang_places(gang_needs(job), rooms))
    out.push_back(machines[share.machine]);
  return out;
}

void GangScheduler::reserve_for(const JobPtr& job) {
  const std::vector<Machine*> machines = find_machines_with_capacity(*job);
  if (machines.empty()) return;
  for (Machine* machine : machines) machine->reserved_for = job;
  if (job->reserved_since == ctx_.env->now())
    spdlog::info("job {}: {} machines are reserved for the gang", job->spec().ref, machines.size());
  reserved_gang_ = job;
  reserved_at_ = ctx_.env->now();
}

// If this shard's machines could not hold a starving gang even when empty, those of another shard may be able
// to. The gang is delegated to a shard that confirms this, and that shard reserves machines for it.
void GangScheduler::request_capacity() {
  const double now = ctx_.env->now();
  if (ctx_.shard_count < 2 || now < next_capacity_request_at_ || capacity_request_inflight_ ||
      committer_.is_state_service_unresponsive() || !ctx_.owns_exclusively())
    return;
  next_capacity_request_at_ = now + kCapacityRequestIntervalSeconds;
  for (const auto& [name, job] : model_.jobs()) {
    if (job->delegated_here() || !gang_waits(*job) || !rules_.is_starving(*job)) continue;
    if (!find_machines_with_capacity(*job).empty()) continue;
    last_shard_asked_ = ctx_.next_shard(last_shard_asked_);
    capacity_request_inflight_ = true;
    ctx_.call_leader(last_shard_asked_, peer_paths::kGangCapacity, GangCapacityRequest{job->spec()}.to_json(),
                     callback_guard_([this, job = job, shard = last_shard_asked_](const Json& answer) {
                       capacity_request_inflight_ = false;
                       const auto reply = GangCapacityReply::from_json(answer);
                       if (reply.has_capacity && gang_waits(*job))
                         delegation_.delegate_tasks(job, shard, reply.fencing_token, job->waiting.size());
                     }));
    return;
  }
}

GangCapacityReply GangScheduler::on_gang_capacity_request(const GangCapacityRequest& request) {
  JobRecord job_record;
  job_record.spec = request.job;
  const JobPtr job = model_.make_job(std::move(job_record), 0);
  job->waiting.insert(0, request.job.task_count);
  return {!find_machines_with_capacity(*job).empty(), ctx_.fencing_token};
}

// Returns the gangs that wait here, in order of priority.
std::vector<JobPtr> GangScheduler::gangs_to_delegate() const {
  std::vector<JobPtr> out;
  for (const auto& [name, job] : model_.jobs()) {
    if (job->delegated_here() || !gang_waits(*job) || job->is_faulty() || !job->cancel_waiters.empty())
      continue;
    out.push_back(job);
  }
  std::sort(out.begin(), out.end(),
            [](const JobPtr& a, const JobPtr& b) { return has_priority_over(*a, *b); });
  return out;
}

int GangScheduler::delegate_gangs(TaskRequest& request) {
  if (!request.can_run_gangs) return 0;  // earlier versions cannot read delegated gangs
  int delegated = 0;
  std::vector<Resources> rooms;
  for (const RoomOffer& offer : request.offers) rooms.push_back(offer.room);
  for (const JobPtr& job : gangs_to_delegate()) {
    if (has_local_room(*job)) continue;
    const QuotaAmount& spare = request.spare_quota_of(job->team);
    const Resources needs = job->start_demand();
    const bool has_quota =
        needs[0] <= spare.cores + kRoundingTolerance && needs[2] <= spare.gpus + kRoundingTolerance;
    const std::vector<GangShare> shares = find_offered_places(*job, request.offers, rooms);
    if (shares.empty()) continue;
    if (!has_quota) {
      // Room is of no use without quota, so unused quota of this shard's share is transferred as well.
      quotas_.transfer_quota(job->team, request.shard, needs[0], needs[2], false);
      if (!rules_.is_starving(*job)) continue;
    }
    for (const GangShare& share : shares) {
      for (std::size_t r = 0; r < needs.size(); r++) rooms[share.machine][r] -= share.tasks * job->demand[r];
    }
    delegation_.delegate_tasks(job, request.shard, request.fencing_token, job->waiting.size());
    delegated += job->spec().task_count;
  }
  return delegated;
}

bool GangScheduler::has_local_room(const Job& job) const {
  if (!rules_.within_quota(job)) return false;
  std::vector<GangMachine> rooms;
  for (const auto& [name, machine] : model_.machines()) {
    if (may_use_machine(job, *machine)) rooms.push_back({machine->room, machine->zone, 0});
  }
  return !find_gang_places(gang_needs(job), rooms).empty();
}

std::vector<GangShare> GangScheduler::find_offered_places(const Job& job,
                                                          const std::vector<RoomOffer>& offers,
                                                          const std::vector<Resources>& rooms) const {
  std::vector<GangMachine> machines;
  for (std::size_t i = 0; i < rooms.size(); i++) {
    const RoomOffer& offer = offers[i];
    const int type = ctx_.types->find(offer.machine_type);
    const bool is_usable = type >= 0 &&
                           rules_.allows_machine(job.spec(), offer.machine_type, offer.zone, offer.spot) &&
                           !(offer.large_tasks_only && rules_.fits_smaller_type(job, type));
    const bool image_is_cached =
        std::find(offer.images.begin(), offer.images.end(), job.spec().image) != offer.images.end();
    const double offer_fetch_s =
        image_is_cached || type < 0 ? 0 : image_fetch_s(job.spec(), ctx_.types->at(type));
    machines.push_back({is_usable ? rooms[i] : Resources{}, ctx_.zones->intern(offer.zone), offer_fetch_s});
  }
  return find_gang_places(gang_needs(job), machines);
}

// Only the delegate knows whether a gang runs, but the owner of the home shard answers the users.
void GangScheduler::report_to_home(const JobPtr& job) {
  const double now = ctx_.env->now();
  const bool running = job->gang_runs();
  if (running == job->delegated_gang_runs &&
      (!running || now - job->delegated_gang_reported_at < kGangStateReportIntervalSeconds))
    return;
  job->delegated_gang_runs = running;
  job->delegated_gang_reported_at = now;
  ctx_.call_leader(job->home_shard, peer_paths::kGangState, GangState{job->spec().ref, running}.to_json(),
                   [](const Json&) {});
}

void GangScheduler::on_gang_state(const GangState& state) {
  const auto it = model_.jobs().find(state.ref);
  if (it == model_.jobs().end() || !it->second->is_gang()) return;
  it->second->delegated_gang_runs = state.is_running;
  it->second->delegated_gang_reported_at = ctx_.env->now();
}

}  // namespace mothslip
