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
constexpr double kQuotaSlop = 1e-9;       // cores or GPUs: sums of decimal fractions come out a hair off
constexpr double kLookAgain = 0.3;        // seconds between two searches for places of one gang
constexpr double kReplaceShare = 0.6;     // of gang_wait_s: later than this a lost task is not replaced
constexpr double kIncomplete = 12.0;      // an attempt that can't be placed whole for so long is given up
constexpr double kReserveAfter = 4.0;     // a gang that finds no room for so long has machines reserved
constexpr double kReserveAnew = 10.0;     // and others may do better after this time
constexpr double kReserveAtMost = 150.0;  // no gang keeps machines from others for longer,
constexpr double kReservePause = 30.0;    // and then not for this long
constexpr double kSeekEvery = 2.0;
constexpr double kTellEvery = 2.0;
constexpr double kToldGood = 6.0;  // what a delegate has said of a gang is believed this long
constexpr double kStopMargin = 5.0;
double total(const Resources& amounts, const Resources& weights) {
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

bool GangScheduler::attempt_over(const Job& job) { return job.attempt.failed || job.attempt.stopping; }

int GangScheduler::gang_tasks_running(const Job& job) const {
  const bool delegated_gang_runs = job.delegated_open() > 0 && job.delegated_gang_runs &&
                                   ctx_.env->now() - job.delegated_gang_reported_at < kToldGood;
  return job.gang_runs() || delegated_gang_runs ? job.spec().task_count : 0;
}

bool GangScheduler::gang_may_be_placed(const Job& job) const {
  if (job.attempt.number == 0) return job.placed == 0 && job.waiting.size() == job.spec().task_count;
  if (attempt_over(job) || job.attempt.started) return false;
  const double since = job.attempt.launched_at;
  return since == 0 || ctx_.env->now() - since < kReplaceShare * ctx_.settings->gang_wait_s;
}

// Nothing of it is placed, delegated or paused.
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

bool GangScheduler::open_to_gang(const Job& job, const Machine& machine) const {
  const double now = ctx_.env->now();
  if (machine.type < 0 || !machine.schedulable() || !machine.token_acknowledged || !machine.has_reported)
    return false;
  if (now < machine.no_fill_until || now - machine.last_report_at > ctx_.report_freshness_s()) return false;
  if (machine.reserved_for && machine.reserved_for.get() != &job) return false;
  return !(machine.cordoned && rules_.fits_smaller_type(job, machine.type)) &&
         rules_.allowed_on(job, machine);
}

double GangScheduler::fetch_s(const Job& job, const Machine& machine) const {
  if (machine.has_image(job.image)) return 0;
  return image_fetch_s(job.spec(), ctx_.types->at(machine.type));
}

bool GangScheduler::place_gang(const JobPtr& job) {
  std::vector<Machine*> open;
  std::vector<GangMachine> rooms;
  for (auto& [name, machine] : model_.machines()) {
    if (!open_to_gang(*job, *machine)) continue;
    open.push_back(machine.get());
    rooms.push_back({machine->room, machine->zone, fetch_s(*job, *machine)});
  }
  const std::vector<GangShare> shares = find_gang_places(gang_needs(*job), rooms);
  const double now = ctx_.env->now();
  if (shares.empty()) {
    job->next_gang_placement_at = now + kLookAgain;
    return false;
  }
  GangAttempt& attempt = job->attempt;
  if (attempt.number == 0) {
    // Larger than that of any attempt before, also at another shard: what ended that one, and brought the
    // gang here, are revisions that are known here.
    const std::uint64_t revision =
        std::max({ctx_.fencing_token, model_.watched(), job->job_revision, job->delegation_revision});
    attempt.number = (revision << kAttemptCounterBits) + model_.next_count();
    attempt.placed_at = now;
  }
  const std::uint64_t number = attempt.number;
  for (const GangShare& share : shares) {
    for (int i = 0; i < share.tasks; i++) placement_.place_task(*open[share.machine], job, number);
    open[share.machine]->report_held = false;
  }
  if (reserving_ == job) release_reservation();
  return true;
}

void GangScheduler::gangs_written(const std::set<JobPtr>& gangs) {
  for (const JobPtr& job : gangs) {
    if (job->attempt.launched_at != 0 || job->placed < job->spec().task_count) continue;
    const auto placements = model_.placements_of(*job);
    const bool all = std::all_of(placements.begin(), placements.end(), [](const auto& item) {
      return item.second->stage == Placement::Stage::kRecorded;
    });
    if (all) job->attempt.launched_at = ctx_.env->now();
  }
}

void GangScheduler::stop_gang(const JobPtr& job, const char* why) {
  spdlog::info("{} is stopped: {}", job->spec().ref, why);
  job->attempt.stopping = true;
  job->attempt.stopping_since = ctx_.env->now();
  for (const auto& [machine, placement] : model_.placements_of(*job)) {
    journal_.mark_dirty(placement->segment);
  }
}

void GangScheduler::stops_written(const std::set<JobPtr>& gangs) {
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
  if (attempt.stopping &&
      now - attempt.stopping_since > spec.checkpoint_cost_s + 2 * ctx_.settings->gang_peer_s + kStopMargin)
    attempt.failed = true;  // whoever is left has nothing to save any more
  if (attempt.launched_at == 0 && now - attempt.placed_at > kIncomplete) attempt.failed = true;
  if (attempt.failed) {
    if (!attempt.failure_stops_sent) {
      attempt.failure_stops_sent = true;
      commands_.stop_directly(job);
    }
    return;
  }
  if (attempt.stopping) return;
  const auto placements = model_.placements_of(*job);
  const bool goes = std::any_of(placements.begin(), placements.end(), [](const auto& item) {
    const Machine& machine = *item.first;
    return machine.evicted_at || (machine.draining && machine.faulty);
  });
  if (!goes) return;
  if (!attempt.started) {
    attempt.failed = true;
  } else if (spec.can_checkpoint()) {
    stop_gang(job, "a machine of it will be taken");
  }
}

void GangScheduler::release_reservation() {
  for (auto& [name, machine] : model_.machines()) machine->reserved_for.reset();
  reserving_.reset();
}

// Small tasks that take every bit of room as it comes free would keep a gang waiting for ever. Machines are
// kept for one gang at a time, the first in order, so that two do not hold half of their room each.
void GangScheduler::update_reservation() {
  const double now = ctx_.env->now();
  const double wall = ctx_.env->wall_time();
  JobPtr first;
  for (const auto& [name, job] : model_.jobs()) {
    const bool waits = gang_waits(*job) && !job->is_faulty();
    if (!waits || now < job->next_reservation_at || !rules_.within_quota(*job)) continue;
    if (wall - job->record.submitted_at < kReserveAfter || now - job->idle_since < kReserveAfter) continue;
    if (!first || has_priority_over(*job, *first)) first = job;
  }
  if (reserving_ && reserving_ == first && now - reserved_at_ < kReserveAnew) return;
  if (reserving_ != first) {
    if (reserving_ && !reserving_->is_over() && reserving_->attempt.number == 0)
      reserving_->reserved_since = 0;
  }
  release_reservation();
  if (!first) return;
  if (first->reserved_since == 0) first->reserved_since = now;
  if (now - first->reserved_since > kReserveAtMost) {
    first->reserved_since = 0;
    first->next_reservation_at = now + kReservePause;
    return;
  }
  reserve_for(first);
}

// The machines that hold it when they are empty, those with most of their room free first.
std::vector<Machine*> GangScheduler::capacity_for(const Job& job) const {
  std::vector<Machine*> machines;
  std::vector<GangMachine> rooms;
  for (const auto& [name, machine] : model_.machines()) {
    if (!open_to_gang(job, *machine)) continue;
    Resources capacity = machine->capacity;
    for (const Placement& placement : machine->placements) {
      // Another gang runs at its own pace; what is placed of it counts as taken.
      if (!placement.job->is_gang()) continue;
      for (std::size_t r = 0; r < capacity.size(); r++) capacity[r] -= placement.job->demand[r];
    }
    const double all = std::max(1e-9, total(machine->capacity, rules_.weights().resource));
    const double busy = 1 - total(machine->room, rules_.weights().resource) / all;
    machines.push_back(machine.get());
    rooms.push_back({capacity, machine->zone, std::round(busy * 4)});
  }
  std::vector<Machine*> out;
  for (const GangShare& share : find_gang_places(gang_needs(job), rooms))
    out.push_back(machines[share.machine]);
  return out;
}

void GangScheduler::reserve_for(const JobPtr& job) {
  const std::vector<Machine*> machines = capacity_for(*job);
  if (machines.empty()) return;
  for (Machine* machine : machines) machine->reserved_for = job;
  if (job->reserved_since == ctx_.env->now())
    spdlog::info("{}: {} machines are reserved", job->spec().ref, machines.size());
  reserving_ = job;
  reserved_at_ = ctx_.env->now();
}

// Where this shard's machines could not hold a gang even if they were empty, another shard's may: it is
// delegated to a shard that says so, and that shard reserves machines for it.
void GangScheduler::request_capacity() {
  const double now = ctx_.env->now();
  if (ctx_.shard_count < 2 || now < next_seek_ || seeking_ || committer_.state_silent() ||
      !ctx_.exclusive_owner())
    return;
  next_seek_ = now + kSeekEvery;
  for (const auto& [name, job] : model_.jobs()) {
    if (job->delegated_here() || !gang_waits(*job) || !rules_.is_starving(*job)) continue;
    if (!capacity_for(*job).empty()) continue;
    asked_for_capacity_ = ctx_.next_shard(asked_for_capacity_);
    seeking_ = true;
    ctx_.ask(asked_for_capacity_, peer_paths::kGangCapacity, GangCapacityRequest{job->spec()}.to_json(),
             alive_([this, job = job, shard = asked_for_capacity_](const Json& answer) {
               seeking_ = false;
               const auto reply = GangCapacityReply::from_json(answer);
               if (reply.capacity && gang_waits(*job))
                 delegation_.delegate_tasks(job, shard, reply.fencing_token, job->waiting.size());
             }));
    return;
  }
}

GangCapacityReply GangScheduler::on_gang_capacity(const GangCapacityRequest& request) {
  JobRecord job_record;
  job_record.spec = request.job;
  const JobPtr job = model_.make_job(std::move(job_record), 0);
  job->waiting.insert(0, request.job.task_count);
  return {!capacity_for(*job).empty(), ctx_.fencing_token};
}

// In the order in which they are served.
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
  if (!request.gangs) return 0;  // an earlier version, which could not read them
  int delegated = 0;
  std::vector<Resources> rooms;
  for (const RoomOffer& offer : request.offers) rooms.push_back(offer.room);
  for (const JobPtr& job : gangs_to_delegate()) {
    if (finds_local_room(*job)) continue;
    const SpareQuota& spare = request.spare_of(job->team);
    const Resources needs = job->start_demand();
    const bool quota = needs[0] <= spare.cores + kQuotaSlop && needs[2] <= spare.gpus + kQuotaSlop;
    const std::vector<GangShare> shares = find_offered_places(*job, request.offers, rooms);
    if (shares.empty()) continue;
    if (!quota) {
      // Room without quota is of no use: what is not needed of this shard's share moves along.
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

bool GangScheduler::finds_local_room(const Job& job) const {
  if (!rules_.within_quota(job)) return false;
  std::vector<GangMachine> rooms;
  for (const auto& [name, machine] : model_.machines()) {
    if (open_to_gang(job, *machine)) rooms.push_back({machine->room, machine->zone, 0});
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
    const bool open = type >= 0 &&
                      rules_.allows_machine(job.spec(), offer.machine_type, offer.zone, offer.spot) &&
                      !(offer.only_large && rules_.fits_smaller_type(job, type));
    const bool local =
        std::find(offer.images.begin(), offer.images.end(), job.spec().image) != offer.images.end();
    const double fetch = local || type < 0 ? 0 : image_fetch_s(job.spec(), ctx_.types->at(type));
    machines.push_back({open ? rooms[i] : Resources{}, ctx_.zones->intern(offer.zone), fetch});
  }
  return find_gang_places(gang_needs(job), machines);
}

// Only the delegate knows whether a gang runs; its home's owner tells the users.
void GangScheduler::report_to_home(const JobPtr& job) {
  const double now = ctx_.env->now();
  const bool running = job->gang_runs();
  if (running == job->delegated_gang_runs && (!running || now - job->delegated_gang_reported_at < kTellEvery))
    return;
  job->delegated_gang_runs = running;
  job->delegated_gang_reported_at = now;
  ctx_.ask(job->home_shard, peer_paths::kGangState, GangState{job->spec().ref, running}.to_json(),
           [](const Json&) {});
}

void GangScheduler::on_gang_state(const GangState& state) {
  const auto it = model_.jobs().find(state.ref);
  if (it == model_.jobs().end() || !it->second->is_gang()) return;
  it->second->delegated_gang_runs = state.running;
  it->second->delegated_gang_reported_at = ctx_.env->now();
}

}  // namespace mothslip
