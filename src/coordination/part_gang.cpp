// Gangs: jobs whose tasks start together or not at all.
//
// All tasks of an attempt share one attempt number and are placed in one durable write; nothing is launched
// before. A task that is lost before the gang has started is replaced under the same number. Once it has
// started, or when it does not become complete in time, the attempt has failed: nothing of it is launched any
// more, all of it is stopped, and the next attempt begins when evidence shows that every old task is gone. A
// gang that has to give way is stopped as a whole, once that decision is durable.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/part.hpp"

namespace mothslip {

namespace {
constexpr double kLookAgain = 0.3;        // seconds between two searches for places of one gang
constexpr double kReplaceShare = 0.6;     // of gang_wait_s: later than this a lost task is not replaced
constexpr double kIncomplete = 12.0;      // an attempt that can't be placed whole for so long is given up
constexpr double kReserveAfter = 4.0;     // a gang that finds no room for so long has machines reserved
constexpr double kReserveAnew = 10.0;     // and others may do better after this time
constexpr double kReserveAtMost = 150.0;  // no gang keeps machines from others for longer,
constexpr double kReservePause = 30.0;    // and then not for this long
constexpr double kSeekEvery = 2.0;
constexpr double kTellEvery = 2.0;
constexpr double kToldGood = 6.0;  // what a borrower has said of a gang is believed this long
constexpr double kStopMargin = 5.0;

double total(const Resources& amounts, const Resources& weights) {
  double sum = 0;
  for (std::size_t r = 0; r < amounts.size(); r++) sum += amounts[r] * weights[r];
  return sum;
}
}  // namespace

bool Part::attempt_over(const Job& job) { return job.attempt.failed || job.attempt.stopping; }

// Users are told that a gang runs only while all its tasks do.
int Part::gang_tasks_running(const Job& job) const {
  const bool lent_runs = job.lent_open() > 0 && job.lent_runs && ctx_.env->now() - job.lent_heard < kToldGood;
  return job.gang_runs() || lent_runs ? job.spec().task_count : 0;
}

bool Part::has_allowance(const Job& job) const {
  if (!job.is_gang()) return teams_.room(job.team, job.demand);
  return teams_.tasks_within(job.team, job.demand) >= job.waiting.size();
}

bool Part::gang_may_be_placed(const Job& job) const {
  if (job.attempt.number == 0) return job.placed == 0 && job.waiting.size() == job.spec().task_count;
  if (attempt_over(job) || job.attempt.started) return false;
  const double since = job.attempt.launched_at;
  return since == 0 || ctx_.env->now() - since < kReplaceShare * ctx_.settings->gang_wait_s;
}

// Nothing of it is placed, lent or paused.
bool Part::gang_waits(const Job& job) const {
  return job.is_gang() && job.attempt.number == 0 && !job.over() && !job.called_off() &&
         gang_may_be_placed(job);
}

bool Part::gang_may_be_launched(const Job& job) { return !job.is_gang() || job.attempt.launched_at != 0; }

GangNeeds Part::gang_needs(const Job& job) {
  GangNeeds out;
  out.demand = job.demand;
  out.tasks = job.waiting.size();
  out.together = job.spec().together;
  if (job.spec().scatter) out.most_in_zone = (job.spec().task_count + 1) / 2;
  out.placed_in_zone = job.placed_by_zone;
  return out;
}

bool Part::open_to_gang(const Job& job, const Machine& machine) const {
  const double now = ctx_.env->now();
  if (machine.type < 0 || !machine.welcome() || !machine.acked || !machine.heard) return false;
  if (now < machine.no_fill_until || now - machine.last_heard > fresh_s()) return false;
  if (machine.reserved_for && machine.reserved_for.get() != &job) return false;
  return !(machine.cordoned && small_on(job, machine.type)) && allowed_on(job, machine);
}

double Part::fetch_s(const Job& job, const Machine& machine) const {
  if (machine.has_image(job.image)) return 0;
  return fetch_seconds(job.spec(), ctx_.types->at(machine.type));
}

// Places all tasks that wait: the whole gang, or those that were lost before it started.
bool Part::place_gang(const JobPtr& job) {
  std::vector<Machine*> open;
  std::vector<GangMachine> rooms;
  for (auto& [name, machine] : machines_) {
    if (!open_to_gang(*job, *machine)) continue;
    open.push_back(machine.get());
    rooms.push_back({machine->room, machine->zone, fetch_s(*job, *machine)});
  }
  const std::vector<GangShare> shares = find_gang_places(gang_needs(*job), rooms);
  const double now = ctx_.env->now();
  if (shares.empty()) {
    job->next_gang_look = now + kLookAgain;
    return false;
  }
  GangAttempt& attempt = job->attempt;
  if (attempt.number == 0) {
    // Larger than that of any attempt before, also at another part: what ended that one, and brought the gang
    // here, are revisions that we know.
    const std::uint64_t revision =
        std::max({fencing_token_, watched_, job->job_revision, job->delegation_revision});
    attempt.number = (revision << kAttemptShift) + ++attempt_counter_;
    attempt.placed_at = now;
  }
  const std::uint64_t number = attempt.number;
  for (const GangShare& share : shares) {
    for (int i = 0; i < share.tasks; i++) place_task(*open[share.machine], job, number);
    open[share.machine]->held = false;
  }
  if (reserving_ == job) release_reservation();
  return true;
}

std::vector<std::pair<Machine*, Placement*>> Part::placements_of(const Job& job) const {
  std::vector<std::pair<Machine*, Placement*>> out;
  if (job.placed == 0) return out;
  for (const auto& [name, machine] : machines_) {
    for (Placement& placement : machine->placements) {
      if (placement.job.get() == &job) out.emplace_back(machine.get(), &placement);
    }
  }
  return out;
}

// New placements of these gangs are durable. Once all are, they may be launched.
void Part::gangs_written(const std::set<JobPtr>& gangs) {
  for (const JobPtr& job : gangs) {
    if (job->attempt.launched_at != 0 || job->placed < job->spec().task_count) continue;
    const auto placements = placements_of(*job);
    const bool all = std::all_of(placements.begin(), placements.end(), [](const auto& item) {
      return item.second->stage == Placement::Stage::kRecorded;
    });
    if (all) job->attempt.launched_at = ctx_.env->now();
  }
}

// Called when it is known that a task of the attempt is gone, or will never be launched.
void Part::gang_task_lost(Job& job) {
  if (job.over() || job.called_off()) return;
  if (job.attempt.started && !job.attempt.stopping) job.attempt.failed = true;
}

// ---------------------------------------------------------------- stopping

void Part::stop_gang(const JobPtr& job, const char* why) {
  spdlog::info("{} is stopped: {}", job->spec().ref, why);
  job->attempt.stopping = true;
  job->attempt.stopping_since = ctx_.env->now();
  for (const auto& [machine, placement] : placements_of(*job)) {
    const auto page = pages_.find(placement->page);
    if (page != pages_.end()) page->second.dirty = true;
  }
}

// All must be told within gang_peer_s of the first: directly, and in answers to reports.
void Part::stops_written(const std::set<JobPtr>& gangs) {
  for (const JobPtr& job : gangs) {
    if (job->attempt.stop_recorded || !job->attempt.stopping) continue;
    const auto placements = placements_of(*job);
    job->attempt.stop_recorded = std::all_of(placements.begin(), placements.end(), [](const auto& item) {
      return item.second->stop_recorded || item.second->stage == Placement::Stage::kFreeing;
    });
    if (job->attempt.stop_recorded) stop_directly(job);
  }
}

void Part::look_after_gangs() {
  for (const auto& [name, job] : jobs_) {
    if (!job->is_gang() || job->over() || job->called_off()) continue;
    if (job->attempt.number != 0) look_after_attempt(job);
    if (job->borrowed()) tell_home(job);
  }
  reserve_for_gangs();
  seek_capacity();
}

void Part::look_after_attempt(const JobPtr& job) {
  GangAttempt& attempt = job->attempt;
  const JobSpec& spec = job->spec();
  const double now = ctx_.env->now();
  if (attempt.stopping &&
      now - attempt.stopping_since > spec.checkpoint_cost_s + 2 * ctx_.settings->gang_peer_s + kStopMargin)
    attempt.failed = true;  // whoever is left has nothing to save any more
  if (attempt.launched_at == 0 && now - attempt.placed_at > kIncomplete) attempt.failed = true;
  if (attempt.failed) {
    if (!attempt.failure_told) {
      attempt.failure_told = true;
      stop_directly(job);
    }
    return;
  }
  if (attempt.stopping) return;
  const auto placements = placements_of(*job);
  const bool goes = std::any_of(placements.begin(), placements.end(), [](const auto& item) {
    const Machine& machine = *item.first;
    return machine.evicted_at || (machine.draining && machine.sick);
  });
  if (!goes) return;
  if (!attempt.started) {
    attempt.failed = true;
  } else if (spec.can_checkpoint()) {
    stop_gang(job, "a machine of it will be taken");
  }
}

// ---------------------------------------------------------------- room that has to gather

void Part::release_reservation() {
  for (auto& [name, machine] : machines_) machine->reserved_for.reset();
  reserving_.reset();
}

// Small tasks that take every bit of room as it comes free would keep a gang waiting for ever. Machines are
// kept for one gang at a time, the first in order, so that two do not hold half of their room each.
void Part::reserve_for_gangs() {
  const double now = ctx_.env->now();
  const double wall = ctx_.env->wall();
  JobPtr first;
  for (const auto& [name, job] : jobs_) {
    const bool waits = gang_waits(*job) && !job->at_fault();
    if (!waits || now < job->next_reservation || !has_allowance(*job)) continue;
    if (wall - job->head.submitted < kReserveAfter || now - job->idle_since < kReserveAfter) continue;
    if (!first || goes_before(*job, *first)) first = job;
  }
  if (reserving_ && reserving_ == first && now - reserved_at_ < kReserveAnew) return;
  if (reserving_ != first) {
    if (reserving_ && !reserving_->over() && reserving_->attempt.number == 0) reserving_->reserved_since = 0;
  }
  release_reservation();
  if (!first) return;
  if (first->reserved_since == 0) first->reserved_since = now;
  if (now - first->reserved_since > kReserveAtMost) {
    first->reserved_since = 0;
    first->next_reservation = now + kReservePause;
    return;
  }
  reserve_for(first);
}

// The machines that hold it when they are empty, those with most of their room free first.
std::vector<Machine*> Part::capacity_for(const Job& job) const {
  std::vector<Machine*> machines;
  std::vector<GangMachine> rooms;
  for (const auto& [name, machine] : machines_) {
    if (!open_to_gang(job, *machine)) continue;
    Resources capacity = machine->capacity;
    for (const Placement& placement : machine->placements) {
      // Another gang runs at its own pace; what is placed of it counts as taken.
      if (!placement.job->is_gang()) continue;
      for (std::size_t r = 0; r < capacity.size(); r++) capacity[r] -= placement.job->demand[r];
    }
    const double all = std::max(1e-9, total(machine->capacity, weights_.resource));
    const double busy = 1 - total(machine->room, weights_.resource) / all;
    machines.push_back(machine.get());
    rooms.push_back({capacity, machine->zone, std::round(busy * 4)});
  }
  std::vector<Machine*> out;
  for (const GangShare& share : find_gang_places(gang_needs(job), rooms))
    out.push_back(machines[share.machine]);
  return out;
}

void Part::reserve_for(const JobPtr& job) {
  const std::vector<Machine*> machines = capacity_for(*job);
  if (machines.empty()) return;
  for (Machine* machine : machines) machine->reserved_for = job;
  if (job->reserved_since == ctx_.env->now())
    spdlog::info("{}: {} machines are reserved", job->spec().ref, machines.size());
  reserving_ = job;
  reserved_at_ = ctx_.env->now();
}

// Where our machines could not hold a gang even if they were empty, another part's may: it is lent to a part
// that says so, and that part reserves machines for it.
void Part::seek_capacity() {
  const double now = ctx_.env->now();
  if (ctx_.parts < 2 || now < next_seek_ || seeking_ || state_silent() || !ctx_.exclusive_owner()) return;
  next_seek_ = now + kSeekEvery;
  for (const auto& [name, job] : jobs_) {
    if (job->borrowed() || !gang_waits(*job) || !starving(*job)) continue;
    if (!capacity_for(*job).empty()) continue;
    asked_for_capacity_ = next_part(asked_for_capacity_);
    seeking_ = true;
    ctx_.ask(asked_for_capacity_, "/peer/gang_capacity", {{"job", job_to_json(job->spec())}},
             alive([this, job = job, part = asked_for_capacity_](const Json& answer) {
               seeking_ = false;
               if (!answer.is_object() || !answer.value("capacity", false)) return;
               if (gang_waits(*job))
                 lend(job, part, answer.value("baton", std::uint64_t{0}), job->waiting.size());
             }));
    return;
  }
}

Json Part::on_gang_capacity(const Json& body) {
  std::string why;
  const auto spec = parse_job(body.at("job"), why);
  if (!spec || !spec->gang) return {{"error", "malformed"}};
  HeadRecord head;
  head.spec = *spec;
  const JobPtr job = make_job(std::move(head), 0);
  job->waiting.insert(0, spec->task_count);
  return {{"capacity", !capacity_for(*job).empty()}, {"baton", fencing_token_}};
}

// ---------------------------------------------------------------- gangs that are lent

// Lends gangs that find no room here, whole, where the asking part has offered room for all their tasks.
int Part::lend_gangs(const Json& body) {
  const int to = body.at("part").get<int>();
  if (!body.value("gangs", false)) return 0;  // an earlier version, which could not read them
  std::vector<JobPtr> gangs;
  for (const auto& [name, job] : jobs_) {
    if (job->borrowed() || !gang_waits(*job) || job->at_fault() || !job->cancel_waiters.empty()) continue;
    gangs.push_back(job);
  }
  if (gangs.empty()) return 0;
  std::sort(gangs.begin(), gangs.end(), [](const JobPtr& a, const JobPtr& b) { return goes_before(*a, *b); });
  int lent = 0;
  std::vector<Resources> rooms;
  for (const Json& offer : body.at("rooms"))
    rooms.push_back({offer.at(3).get<double>(), offer.at(4).get<double>(), offer.at(5).get<double>()});
  for (const JobPtr& job : gangs) {
    if (finds_room_here(*job)) continue;
    const Json& spare = body.at("spare").at(static_cast<std::size_t>(job->team));
    const Resources needs = job->start_demand();
    const bool allowance =
        needs[0] <= spare.at(0).get<double>() + 1e-9 && needs[2] <= spare.at(1).get<double>() + 1e-9;
    const std::vector<GangShare> shares = find_offered_places(*job, body.at("rooms"), rooms);
    if (shares.empty()) continue;
    if (!allowance) {
      // Room without allowance is of no use: what we do not need of ours moves along.
      give_allowance(job->team, to, needs[0], needs[2], false);
      if (!starving(*job)) continue;
    }
    for (const GangShare& share : shares) {
      for (std::size_t r = 0; r < needs.size(); r++) rooms[share.machine][r] -= share.tasks * job->demand[r];
    }
    lend(job, to, body.at("baton").get<std::uint64_t>(), job->waiting.size());
    lent += job->spec().task_count;
  }
  return lent;
}

bool Part::finds_room_here(const Job& job) const {
  if (!has_allowance(job)) return false;
  std::vector<GangMachine> rooms;
  for (const auto& [name, machine] : machines_) {
    if (open_to_gang(job, *machine)) rooms.push_back({machine->room, machine->zone, 0});
  }
  return !find_gang_places(gang_needs(job), rooms).empty();
}

std::vector<GangShare> Part::find_offered_places(const Job& job, const Json& offers,
                                                 const std::vector<Resources>& rooms) const {
  std::vector<GangMachine> machines;
  for (std::size_t i = 0; i < rooms.size(); i++) {
    const Json& offer = offers.at(i);
    const auto machine_type = offer.at(0).get<std::string>();
    const auto zone = offer.at(1).get<std::string>();
    const int type = ctx_.types->find(machine_type);
    const bool open = type >= 0 && may_go(job.spec(), machine_type, zone, offer.at(2).get<bool>()) &&
                      !(offer.at(6).get<bool>() && small_on(job, type));
    const auto& images = offer.at(7);
    const bool local = std::find(images.begin(), images.end(), Json(job.spec().image)) != images.end();
    const double fetch = local || type < 0 ? 0 : fetch_seconds(job.spec(), ctx_.types->at(type));
    machines.push_back({open ? rooms[i] : Resources{}, ctx_.zones->intern(zone), fetch});
  }
  return find_gang_places(gang_needs(job), machines);
}

// Only the borrower knows whether a gang runs; its home's owner tells the users.
void Part::tell_home(const JobPtr& job) {
  const double now = ctx_.env->now();
  const bool running = job->gang_runs();
  if (running == job->lent_runs && (!running || now - job->lent_heard < kTellEvery)) return;
  job->lent_runs = running;
  job->lent_heard = now;
  ctx_.ask(job->home, "/peer/gang_state", {{"ref", job->spec().ref}, {"running", running}},
           [](const Json&) {});
}

Json Part::on_gang_state(const Json& body) {
  const auto it = jobs_.find(body.at("ref").get<std::string>());
  if (it != jobs_.end() && it->second->is_gang()) {
    it->second->lent_runs = body.at("running").get<bool>();
    it->second->lent_heard = ctx_.env->now();
  }
  return Json::object();
}

}  // namespace mothslip
