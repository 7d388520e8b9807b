#include "coordination/part.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace mothslip {

namespace {
constexpr double kTick = 0.5;
constexpr double kAnswerPatience = 1.2;  // workers drop answers after 4 s; committing rarely takes this long
constexpr double kHoldShare = 0.6;       // of the report interval, for machines without a task
constexpr double kSilentAfter = 1.5;
constexpr double kLeaseMargin = 1.0;
constexpr double kDrift = 0.002;
constexpr double kWatch = 25.0;
constexpr double kBlockPause = 0.12;
constexpr std::size_t kMergeBlocks = 3;  // completed blocks worth a transaction of their own
constexpr std::size_t kMaxEarly = 400;
constexpr std::size_t kRecentlyEnded = 256;
constexpr double kRecordShare = 0.7;  // of the value size: room for what is not placements
constexpr std::size_t kBytesPerPlacement = 40;
constexpr double kGuaranteeBonus = 0.5;
constexpr double kBytesPerRange = 12;  // of progress text, at the most

}  // namespace

Part::Part(Context context, int id, std::uint64_t baton)
    : ctx_(std::move(context)), id_(id), baton_(baton), teams_(ctx_.settings->teams) {
  const Tuning& tuning = ctx_.settings->tuning;
  weights_.fitness = tuning.weight_fitness;
  weights_.urgency = tuning.weight_urgency;
  weights_.alignment = tuning.weight_alignment;
  weights_.slack = tuning.weight_slack;
  weights_.locality = tuning.weight_locality;
  value_bytes_ = ctx_.settings->value_kb * 1024;
}

Part::~Part() = default;

// ---------------------------------------------------------------- loading

void Part::load() { load_heads(); }

void Part::retry_load(void (Part::*step)()) {
  ctx_.env->after(kLoadRetry, alive([this, step] { (this->*step)(); }));
}

void Part::load_heads() {
  ctx_.state->list(Lane::kLease, keys::heads(id_),
                   alive([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t epoch) {
                     if (outcome != Outcome::kOk) return retry_load(&Part::load_heads);
                     heads_epoch_ = epoch;
                     for (StateItem& item : items) {
                       auto head = HeadRecord::from_json(item.data);
                       if (head) {
                         add_job(std::move(*head), item.stamp);
                       } else {
                         spdlog::error("record {} cannot be read", item.key);
                       }
                     }
                     load_progress();
                   }));
}

void Part::load_progress() {
  ctx_.state->list(Lane::kLease, keys::progresses(id_),
                   alive([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&Part::load_progress);
                     for (const StateItem& item : items) {
                       const auto it = jobs_.find(item.key.substr(keys::progresses(id_).size()));
                       if (it == jobs_.end()) continue;
                       Job& job = *it->second;
                       auto done = RangeSet::from_text(item.data.value("done", ""), job.spec().pieces);
                       if (!done) {
                         spdlog::error("record {} cannot be read", item.key);
                         continue;
                       }
                       job.progress_stamp = item.stamp;
                       job.done = std::move(*done);
                       job.waiting.erase(job.done);
                     }
                     load_blocks();
                   }));
}

void Part::load_hosts() {
  ctx_.state->list(Lane::kLease, keys::hosts(id_),
                   alive([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&Part::load_hosts);
                     for (StateItem& item : items) {
                       auto record = HostRecord::from_json(item.data);
                       if (!record) {
                         spdlog::error("record {} cannot be read", item.key);
                         continue;
                       }
                       auto machine = std::make_unique<Machine>();
                       machine->name = item.key.substr(keys::hosts(id_).size());
                       machine->stamp = item.stamp;
                       machine->last_heard = machine->busy_at = ctx_.env->now();
                       machine->record = *record;
                       machine->record.placements.clear();
                       shape_machine(*machine);
                       for (const PlacementRecord& from : record->placements) {
                         const JobPtr job = find_task(from.ref, from.index);
                         // An ended job, or a task whose completion is durable: it was seen gone before that
                         // was written.
                         if (job == nullptr || job->done.contains(from.index)) continue;
                         Placement placement;
                         placement.job = job;
                         placement.index = from.index;
                         placement.try_no = from.try_no;
                         placement.stage = Placement::Stage::kRecorded;
                         placement.inherited = true;
                         placement.job->waiting.erase(from.index);
                         placement.job->placed++;
                         placement.job->placed_by_hall[machine->hall]++;
                         teams_.add(placement.job->team, placement.job->demand);
                         for (std::size_t r = 0; r < machine->room.size(); r++)
                           machine->room[r] -= placement.job->demand[r];
                         machine->placements.push_back(std::move(placement));
                       }
                       machines_.emplace(machine->name, std::move(machine));
                     }
                     go_active();
                   }));
}

void Part::go_active() {
  active_ = true;
  std::size_t placed = 0;
  for (const auto& [name, machine] : machines_) placed += machine->placements.size();
  spdlog::info("part {} active, baton {}: {} open jobs, {} machines, {} placements", id_, baton_,
               jobs_.size(), machines_.size(), placed);
  for (auto& [ref, job] : jobs_) {
    if (job->complete()) job->unsaved_since = 0;
  }
  watch(keys::kHeads, &Part::heads_epoch_, 0, &Part::on_head_event);
  if (ctx_.parts > 1) {
    watch(keys::kBlocks, &Part::blocks_epoch_, kBlockPause, &Part::on_block_event);
    watch(keys::kTeams, &Part::teams_epoch_, kBlockPause, &Part::on_team_event);
  }
  for (auto& [name, machine] : machines_) raise_baton(*machine);
  auto early = std::move(early_);
  early_.clear();
  for (auto& [report, responder] : early) on_report(std::move(report), std::move(responder));
  tick();
}

// The state service tells what changed under a prefix. `pause_s` lets changes gather before asking again.
void Part::watch(const std::string& prefix, std::uint64_t Part::*epoch, double pause_s,
                 void (Part::*on_event)(const Json&)) {
  const double asked = ctx_.env->now();
  ctx_.state->watch(prefix, this->*epoch, kWatch,
                    alive([this, asked, prefix, epoch, pause_s, on_event](const StateReply& reply) {
                      double wait = ctx_.env->now() - asked < 1 ? 0.3 : 0.0;
                      if (reply.ok()) {
                        const auto events = reply.body.find("events");
                        if (events != reply.body.end() && events->is_array()) {
                          for (const Json& event : *events) (this->*on_event)(event);
                        }
                        this->*epoch = std::max(this->*epoch, reply.epoch());
                        wait = pause_s;
                        pump();
                      } else if (reply.outcome == Outcome::kGone) {
                        ctx_.abdicate("watch too old");
                        return;
                      }
                      ctx_.env->after(wait, alive([this, prefix, epoch, pause_s, on_event] {
                                        watch(prefix, epoch, pause_s, on_event);
                                      }));
                    }));
}

// Other nodes accept jobs by creating the head; only the owner of its part changes or deletes one.
void Part::on_head_event(const Json& event) {
  const bool put = event.contains("put");
  const std::string key = event.value(put ? "put" : "delete", "");
  const std::string own = keys::heads(id_);
  const std::string ref = key.substr(key.rfind('/') + 1);
  if (key.compare(0, own.size(), own) != 0) {
    // A job of another part: what we have borrowed of it is unwanted once it is cancelled.
    const bool over = !put || (event.contains("data") && event["data"].value("phase", "") == "aborted");
    if (!over) return;
    const std::string prefix = keys::blocks(id_, ref);
    for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      drop_borrowed(it->second);
    }
    return;
  }
  if (!put || !event.contains("data")) return;
  auto head = HeadRecord::from_json(event["data"]);
  if (!head || head->aborted) return;
  // The watch can lag behind a job that was accepted, run and ended here.
  if (std::find(recently_ended_.begin(), recently_ended_.end(), ref) != recently_ended_.end()) return;
  admit(std::move(*head), event.value("stamp", std::uint64_t{0}));
}

void Part::admit(HeadRecord head, std::uint64_t stamp) {
  if (jobs_.count(head.spec.ref) > 0) return;
  add_job(std::move(head), stamp);
  wake();
}

JobPtr Part::make_job(HeadRecord head, std::uint64_t stamp) {
  auto job = std::make_shared<Job>();
  job->head = std::move(head);
  job->head_stamp = stamp;
  job->home = id_;
  const JobSpec& spec = job->spec();
  job->team = std::max(0, ctx_.settings->team_index(spec.owner));
  job->bundle = bundles_.intern(spec.bundle);
  job->demand = {spec.cores, spec.memory_gb, spec.accelerators};
  return job;
}

void Part::add_job(HeadRecord head, std::uint64_t stamp) {
  const JobPtr job = make_job(std::move(head), stamp);
  const JobSpec& spec = job->spec();
  job->waiting.insert(0, spec.pieces);
  spdlog::info("{} known: {} of {}, {} tasks of {} cores", spec.ref, spec.workload, spec.owner, spec.pieces,
               spec.cores);
  jobs_.emplace(spec.ref, job);
}

// The job or the borrowed block that a task on one of our machines belongs to.
JobPtr Part::find_task(const std::string& ref, int index) const {
  const auto home = jobs_.find(ref);
  if (home != jobs_.end()) return home->second;
  const std::string prefix = keys::blocks(id_, ref);
  for (auto it = jobs_.lower_bound(prefix); it != jobs_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    if (it->second->range.contains(index)) return it->second;
  }
  return nullptr;
}

void Part::forget(const std::string& ref) {
  recently_ended_.push_back(ref);
  if (recently_ended_.size() > kRecentlyEnded) recently_ended_.pop_front();
  jobs_.erase(ref);
}

// ---------------------------------------------------------------- questions

std::optional<JobView> Part::view(const std::string& ref) const {
  const auto it = jobs_.find(ref);
  if (it == jobs_.end()) return std::nullopt;
  const Job& job = *it->second;
  JobView out;
  out.done = job.done.size();
  out.running = job.placed + job.lent_open();
  // Only a durable ending is told; a completed job still being written counts as running.
  if (job.head.aborted) {
    out.phase = "aborted";
  } else if (out.running > 0 || job.complete()) {
    out.phase = "running";
  }
  return out;
}

void Part::cancel(const std::string& ref, Responder responder) {
  const JobPtr& job = jobs_.at(ref);
  if (job->head.aborted) {
    responder.send(200, dump_json({{"ref", ref}, {"phase", "aborted"}}));
    return;
  }
  if (state_silent()) {
    responder.send(503, R"({"error":"state service away"})", 2);
    return;
  }
  // When the job is finishing, the ending decides what the user hears.
  job->cancel_waiters.push_back(std::move(responder));
  pump();
}

bool Part::state_silent() const { return stuck_since_ != 0 && ctx_.env->now() - stuck_since_ > kSilentAfter; }

// ---------------------------------------------------------------- reports

void Part::shape_machine(Machine& machine) {
  machine.type = ctx_.types->find(machine.record.flavour);
  machine.hall = ctx_.halls->intern(machine.record.hall);
  if (machine.type >= 0) {
    const MachineType& type = ctx_.types->at(machine.type);
    machine.capacity = {type.cores, type.memory_gb, type.accelerators};
  }
  machine.room = machine.capacity;
}

Machine& Part::machine_for(const Report& report) {
  auto& slot = machines_[report.host];
  if (!slot) {
    slot = std::make_unique<Machine>();
    slot->name = report.host;
    slot->record = {report.address, report.flavour, report.hall, report.loaner, report.tenure, {}};
    slot->first_heard = slot->busy_at = ctx_.env->now();
    shape_machine(*slot);
    spdlog::info("{} reports: {} in {}{}", report.host, report.flavour, report.hall,
                 report.loaner ? ", spot" : "");
  }
  return *slot;
}

void Part::on_report(Report report, Responder responder) {
  if (!active_) {
    if (early_.size() < kMaxEarly) {
      early_.emplace_back(std::move(report), std::move(responder));
    } else {
      responder.send(503, R"({"error":"loading"})", 1);
    }
    return;
  }
  counters_.reports++;
  if (report.baton > baton_) {
    // The worker obeys a newer owner: we were deposed and have not heard it yet.
    responder.send(503, R"({"error":"not the owner"})", 1);
    ctx_.deposed(report.baton);
    return;
  }
  Machine& machine = machine_for(report);
  const bool newer = take_report(machine, report, false);
  if (!newer) {
    // Late or repeated: it changes nothing, and nobody waits for the answer.
    machine.last_answer = ctx_.env->now();
    responder.send(200, orders_body(baton_, std::nullopt, {}));
    return;
  }
  machine.answer = std::move(responder);
  machine.answer_by = ctx_.env->now() + kAnswerPatience;
  fill(machine);
  const bool waits = std::any_of(machine.placements.begin(), machine.placements.end(),
                                 [](const Placement& p) { return p.stage == Placement::Stage::kNew; });
  // An idle machine has nothing to tell: its report is answered when there is work, or a little later.
  // (Workers wait 4 s, and their lease counts from when the report was sent.)
  const bool idle = machine.placements.empty() && machine.strays.empty() && machine.acked &&
                    machine.welcome() && ctx_.lease_valid();
  if (!waits && idle) {
    machine.held = true;
    machine.answer_by = ctx_.env->now() + kHoldShare * ctx_.settings->report_s;
  } else if (!waits) {
    answer(machine);
  }
  pump();
}

// There is new work: machines whose reports are held can start it at once, those that have an image of it
// first.
void Part::wake() {
  if (waking_ || !active_) return;
  waking_ = true;
  ctx_.env->after(0, alive([this] {
                    waking_ = false;
                    std::vector<std::pair<bool, Machine*>> held;
                    for (auto& [name, machine] : machines_) {
                      if (!machine->held || machine->answer.answered()) continue;
                      const bool local =
                          std::any_of(jobs_.begin(), jobs_.end(), [&machine = *machine](const auto& item) {
                            return !item.second->waiting.empty() && machine.has_image(item.second->bundle);
                          });
                      held.emplace_back(!local, machine.get());
                    }
                    std::stable_sort(held.begin(), held.end(),
                                     [](const auto& a, const auto& b) { return a.first < b.first; });
                    for (const auto& [far, machine] : held) {
                      fill(*machine);
                      if (machine->placements.empty()) continue;
                      machine->held = false;
                      machine->answer_by = ctx_.env->now() + kAnswerPatience;
                    }
                    pump();
                  }));
}

// Works a report into the books. `direct`: it answered /commands, so a launch in the answer to an ordinary
// report may still be on its way, and what is missing proves nothing about launches we sent.
bool Part::take_report(Machine& machine, const Report& report, bool direct) {
  const double now = ctx_.env->now();
  if (machine.heard &&
      std::pair(report.tenure, report.tick) <= std::pair(machine.record.tenure, machine.tick)) {
    return false;
  }
  if (report.tenure < machine.record.tenure) return false;  // older than the record we inherited
  if (!machine.heard) machine.first_heard = now;
  machine.heard = true;
  machine.last_heard = now;
  machine.tick = report.tick;
  if (machine.record.address != report.address) machine.record.address = report.address;
  if (report.baton == baton_ && !machine.acked) {
    machine.acked = true;
    machine.last_answer = std::max(machine.last_answer, now);
  }
  if (report.warning_s) {
    if (!machine.warned_at) {
      spdlog::info("{} will be taken in {} s", machine.name, *report.warning_s);
      machine.warned_at = now + *report.warning_s;
    }
  } else {
    machine.warned_at.reset();
  }
  if (report.tenure > machine.record.tenure) {
    // (b) the session it belonged to is over: everything placed before is gone, sent or not.
    std::size_t freed = 0;
    for (Placement& placement : machine.placements) {
      if (placement.stage == Placement::Stage::kFreeing) continue;
      free_placement(machine, placement, 0);
      freed++;
    }
    if (freed > 0)
      spdlog::info("{} is in session {}: {} placements freed", machine.name, report.tenure, freed);
    counters_.freed_by_tenure += freed;
    machine.record.tenure = report.tenure;
    machine.images.clear();
  }

  std::unordered_map<std::uint64_t, const PieceReport*> by_try;
  for (const PieceReport& piece : report.pieces) by_try.emplace(piece.try_no, &piece);
  machine.strays.clear();
  std::vector<std::pair<std::uint64_t, ExitCause>> exits;
  for (Placement& placement : machine.placements) {
    const auto it = by_try.find(placement.try_no);
    if (it != by_try.end() && it->second->ref == placement.job->spec().ref &&
        it->second->index == placement.index) {
      const PieceReport& piece = *it->second;
      by_try.erase(it);
      placement.seen_tick = report.tick;
      if (placement.phase == PiecePhase::kPulling && piece.phase == PiecePhase::kRunning) {
        placement.running_since = now;
        machine.use_image(placement.job->bundle, placement.job->spec().pull_gb,
                          ctx_.types->at(std::max(0, machine.type)).cache_gb);
      }
      placement.phase = piece.phase;
      if (piece.phase == PiecePhase::kExited) {
        if (placement.stage == Placement::Stage::kFreeing) {
          machine.strays.push_back(piece);
        } else {
          exits.emplace_back(placement.try_no, piece.cause);
          machine.strays.push_back(piece);
        }
      }
    } else if (placement.stage == Placement::Stage::kRecorded && report.baton == baton_) {
      // (a) missing, and no launch of it can still be on its way.
      const bool settled =
          direct ? placement.inherited && placement.sent_tick == 0 : placement.sent_tick < report.tick;
      if (settled &&
          (placement.job->over() || !machine.welcome() || placement.job->done.contains(placement.index))) {
        free_placement(machine, placement, 0);
      }
    }
  }
  for (const auto& [try_no, piece] : by_try) machine.strays.push_back(*piece);
  for (const auto& [try_no, cause] : exits) {
    for (Placement& placement : machine.placements) {
      if (placement.try_no == try_no) {
        on_exit(machine, placement, cause);
        break;
      }
    }
  }
  std::erase_if(machine.placements, [](const Placement& p) { return p.job == nullptr; });
  if (report.baton == baton_) {
    for (const auto& [try_no, piece] : by_try) {
      // Completed under a record that is gone, or taken over before it was noted: the work is done all the
      // same.
      if (piece->phase != PiecePhase::kExited || piece->cause != ExitCause::kDone) continue;
      const JobPtr job = find_task(piece->ref, piece->index);
      if (job == nullptr || job->over() || piece->index >= job->spec().pieces) continue;
      mark_done(job, piece->index);
    }
  }
  if (!machine.placements.empty()) machine.busy_at = now;
  return true;
}

void Part::on_exit(Machine& machine, Placement& placement, ExitCause cause) {
  const JobPtr job = placement.job;
  if (cause == ExitCause::kDone) {
    counters_.completions++;
    job->error_streak = 0;
    machine.error_streak = 0;
    machine.errors_of.clear();
    mark_done(job, placement.index);
    // Not launched again by anyone: it is shown as exited until reaped, and that waits for durability.
    teams_.remove(job->team, job->demand);
    job->placed--;
    job->placed_by_hall[machine.hall]--;
    for (std::size_t r = 0; r < machine.room.size(); r++) machine.room[r] += job->demand[r];
    placement.job = nullptr;
    return;
  }
  double delay = 0;
  if (cause == ExitCause::kError) {
    counters_.errors++;
    job->error_streak++;
    machine.error_streak++;
    if (std::find(machine.errors_of.begin(), machine.errors_of.end(), job->spec().ref) ==
        machine.errors_of.end()) {
      machine.errors_of.push_back(job->spec().ref);
    }
    // One job that fails again and again is its own fault; several on one machine are the machine's, and so
    // is a first streak on a machine while the job completes elsewhere.
    const bool several = machine.errors_of.size() >= 2 && machine.error_streak >= 2;
    const bool job_works = machine.error_streak >= 2 && !job->done.empty();
    if (!machine.sick && (several || job_works)) {
      spdlog::warn("{} fails what it starts ({} in a row): not used any more", machine.name,
                   machine.error_streak);
      machine.sick = true;
    }
    machine.no_fill_until = ctx_.env->now() + std::min(8.0, 1.0 * machine.error_streak);
    delay = machine.sick ? 0 : std::min(30.0, 0.5 * std::pow(2.0, std::min(job->error_streak, 6)));
    spdlog::info("{} failed on {} (try {})", piece_name(job->spec().ref, placement.index), machine.name,
                 placement.try_no);
  } else if (cause != ExitCause::kHalted) {
    spdlog::info("{} refused by {}: cause {}", piece_name(job->spec().ref, placement.index), machine.name,
                 static_cast<int>(cause));
    machine.no_fill_until = ctx_.env->now() + 2;
    delay = 1;
  }
  free_placement(machine, placement, delay);
}

void Part::mark_done(const JobPtr& job, int index) {
  if (job->done.contains(index)) return;
  job->done.insert(index);
  job->waiting.erase(index);
  std::erase_if(job->backoff, [index](const auto& item) { return item.second == index; });
  if (job->unsaved.empty()) job->unsaved_since = ctx_.env->now();
  job->unsaved.insert(index);
}

void Part::free_placement(Machine& machine, Placement& placement, double delay) {
  if (placement.stage == Placement::Stage::kFreeing) return;
  placement.stage = Placement::Stage::kFreeing;
  placement.requeue_delay = delay;
  machine.dirty = true;
}

void Part::drop_placement(Machine& machine, std::size_t at) {
  const Placement placement = machine.placements[at];
  machine.placements.erase(machine.placements.begin() + static_cast<std::ptrdiff_t>(at));
  teams_.remove(placement.job->team, placement.job->demand);
  placement.job->placed--;
  placement.job->placed_by_hall[machine.hall]--;
  for (std::size_t r = 0; r < machine.room.size(); r++) machine.room[r] += placement.job->demand[r];
  requeue(placement.job, placement.index, placement.requeue_delay);
}

void Part::requeue(const JobPtr& job, int index, double delay) {
  if (job->over() || job->done.contains(index)) return;
  if (delay > 0) {
    job->backoff.emplace_back(ctx_.env->now() + delay, index);
  } else {
    job->waiting.insert(index);
    wake();
  }
}

// ---------------------------------------------------------------- filling a machine

// No smaller type would do.
bool Part::needs_type(const JobSpec& spec, const Resources& demand, int type) const {
  const double cores = ctx_.types->at(type).cores;
  for (const MachineType& other : ctx_.types->all()) {
    if (other.cores >= cores) continue;
    if (spec.flavours &&
        std::find(spec.flavours->begin(), spec.flavours->end(), other.name) == spec.flavours->end()) {
      continue;
    }
    if (fits(demand, {other.cores, other.memory_gb, other.accelerators})) return false;
  }
  return true;
}

// Its tasks could as well go to a smaller machine.
bool Part::small_on(const Job& job, int type) const {
  return flexible(job) && !needs_type(job.spec(), job.demand, type);
}

// Could go to any machine that is large enough.
bool Part::flexible(const Job& job) {
  const JobSpec& spec = job.spec();
  return spec.loaner && !spec.hall && !spec.flavours && !spec.together && !spec.scatter;
}

// What the job itself allows: kind, zone and type of machine.
bool Part::may_go(const JobSpec& spec, const std::string& flavour, const std::string& hall, bool loaner) {
  if (loaner && !spec.loaner) return false;
  if (spec.hall && *spec.hall != hall) return false;
  return !spec.flavours ||
         std::find(spec.flavours->begin(), spec.flavours->end(), flavour) != spec.flavours->end();
}

// Whether the rules let one more task of the job onto the machine now, room apart.
bool Part::allowed_on(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  if (!may_go(spec, machine.record.flavour, machine.record.hall, machine.record.loaner)) return false;
  const auto in_hall = job.placed_by_hall.find(machine.hall);
  const int here = in_hall == job.placed_by_hall.end() ? 0 : in_hall->second;
  if (job.bound() && job.lent_open() > 0) return false;  // another part holds what is placed of it
  if (spec.together && job.placed > here) return false;
  return !spec.scatter || here + 1 <= (spec.pieces + 1) / 2;
}

// Greedy filling of freed slices keeps room for large tasks from gathering (DESIGN names it for gangs; large
// tasks suffer the same). A machine takes no small tasks that could go elsewhere while a large one waits that
// no smaller type can hold and that is at least as urgent, or while smaller machines have room for all of
// them.
bool Part::keeps_for_large(const Machine& machine) const {
  const double cores = ctx_.types->at(machine.type).cores;
  int small_tasks = 0;
  Resources small_demand{};
  bool large = false;
  int small_urgency = 0;
  int large_urgency = -1;
  for (const auto& [ref, job] : jobs_) {
    if (job->waiting.empty() || job->over()) continue;
    const int urgency = static_cast<int>(job->spec().urgency);
    if (needs_type(job->spec(), job->demand, machine.type)) {
      if (!fits(job->demand, machine.capacity) || !allowed_on(*job, machine)) continue;
      if (!teams_.room(job->team, job->demand)) continue;
      large = true;
      large_urgency = std::max(large_urgency, urgency);
    } else if (flexible(*job)) {
      small_tasks += job->waiting.size();
      small_urgency = std::max(small_urgency, urgency);
      for (std::size_t r = 0; r < 3; r++) small_demand[r] = std::max(small_demand[r], job->demand[r]);
    }
  }
  for (const WaitingHint& hint : elsewhere_) {
    if (machine.record.loaner && !hint.loaner) continue;
    if (!fits(hint.demand, machine.capacity) || !needs_type(JobSpec{}, hint.demand, machine.type)) continue;
    large = true;
    large_urgency = std::max(large_urgency, hint.urgency);
  }
  if (small_tasks == 0) return large;
  if (large && large_urgency >= small_urgency) return true;
  const double now = ctx_.env->now();
  int slots = 0;
  for (const auto& [name, other] : machines_) {
    if (other->type < 0 || !other->welcome() || other->winding || ctx_.types->at(other->type).cores >= cores)
      continue;
    if (now - other->last_heard > 2 * ctx_.settings->report_s || now < other->no_fill_until) continue;
    double most = 1e6;
    for (std::size_t r = 0; r < 3; r++) {
      if (small_demand[r] > 0) most = std::min(most, other->room[r] / small_demand[r] + 1e-6);
    }
    slots += std::max(0, static_cast<int>(most));
  }
  return slots >= small_tasks;
}

void Part::fill(Machine& machine) {
  const double now = ctx_.env->now();
  if (machine.type < 0 || !machine.welcome() || now < machine.no_fill_until) return;
  if (state_silent() || !ctx_.lease_valid()) return;
  if (!fits({0.01, 0, 0}, machine.room)) return;
  const bool keep_for_large = keeps_for_large(machine);
  std::vector<Request> requests;
  std::vector<JobPtr> jobs;
  const double wall = ctx_.env->wall();
  const MachineType& type = ctx_.types->at(machine.type);
  for (const auto& [ref, job] : jobs_) {
    if (job->waiting.empty() || job->over() || !job->cancel_waiters.empty()) continue;
    const JobSpec& spec = job->spec();
    if (!fits(job->demand, machine.room)) continue;
    if (!allowed_on(*job, machine)) continue;
    if (!teams_.room(job->team, job->demand)) {
      note_short(*job);
      continue;
    }
    // Others have room for what can go anywhere; what cannot is still taken.
    if (machine.winding && small_on(*job, machine.type)) continue;
    if (static_cast<double>(job->done.range_count()) * kBytesPerRange > value_bytes_) continue;
    if (keep_for_large && small_on(*job, machine.type)) continue;
    Request request;
    request.demand = job->demand;
    request.local = machine.has_image(job->bundle);
    const double fetch = request.local ? 0 : spec.pull_gb / std::max(0.01, type.pull_gb_per_s);
    if (spec.due_s) {
      request.pressure = deadline_pressure(job->head.submitted + *spec.due_s - wall,
                                           1.3 * std::max(1.0, spec.guess_s) + fetch);
    }
    requests.push_back(request);
    jobs.push_back(job);
  }
  for (std::size_t r = 0; r < 3; r++) {
    double largest = 0;
    for (const MachineType& each : ctx_.types->all()) {
      largest = std::max(largest, r == 0 ? each.cores : r == 1 ? each.memory_gb : each.accelerators);
    }
    weights_.resource[r] = largest > 0 ? 1 / largest : 0;
  }
  std::size_t bytes = 200 + machine.placements.size() * kBytesPerPlacement;
  while (!requests.empty() && static_cast<double>(bytes) < kRecordShare * value_bytes_) {
    for (std::size_t i = 0; i < requests.size();) {
      const Job& job = *jobs[i];
      const JobSpec& spec = job.spec();
      const bool out = job.waiting.empty() || !fits(job.demand, machine.room) || !allowed_on(job, machine) ||
                       !teams_.room(job.team, job.demand);
      if (out) {
        requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(i));
        jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(i));
        continue;
      }
      Request& request = requests[i];
      request.assigned_share = static_cast<double>(job.placed + job.done.size()) / spec.pieces;
      for (std::size_t r = 0; r < 3; r++) request.held[r] = job.demand[r] * job.placed;
      request.nothing_placed = job.placed == 0 && job.done.empty();
      request.bonus = kUrgencyBonus * static_cast<int>(spec.urgency) +
                      (teams_.in_guarantee(job.team, job.demand) ? kGuaranteeBonus : 0);
      i++;
    }
    const int best = choose(machine.room, requests, weights_);
    if (best < 0) break;
    const JobPtr& job = jobs[static_cast<std::size_t>(best)];
    Placement placement;
    placement.job = job;
    placement.index = *job->waiting.first();
    // Unique and rising: the baton is new for every owner, the counter within it.
    placement.try_no = (baton_ << 20U) + ++next_try_;
    job->waiting.erase(placement.index);
    job->idle_since = now;
    job->placed++;
    job->placed_by_hall[machine.hall]++;
    teams_.add(job->team, job->demand);
    for (std::size_t r = 0; r < 3; r++) machine.room[r] -= job->demand[r];
    if (!machine.has_image(job->bundle)) {
      counters_.fetches++;
      machine.use_image(job->bundle, job->spec().pull_gb, type.cache_gb);
    }
    machine.placements.push_back(std::move(placement));
    machine.dirty = true;
    machine.busy_at = now;
    bytes += kBytesPerPlacement;
  }
}

std::vector<Order> Part::orders_for(Machine& machine) {
  std::vector<Order> orders;
  // A cancellation can have been promised by another owner since our lease ran out.
  const bool may_launch = ctx_.lease_valid();
  for (Placement& placement : machine.placements) {
    if (placement.stage != Placement::Stage::kRecorded) continue;
    const Job& job = *placement.job;
    const std::string piece = piece_name(job.spec().ref, placement.index);
    const bool unwanted = job.head.aborted || job.done.contains(placement.index);
    if (placement.seen_tick == machine.tick && machine.tick != 0) {
      if (unwanted) {
        orders.push_back({Order::Verb::kStop, piece, placement.try_no, 0});
      } else if ((machine.warned_at || (machine.draining && machine.sick)) &&
                 placement.phase == PiecePhase::kRunning && job.spec().snapshot_every_s > 0) {
        // It will be killed; what can save does so now and goes on elsewhere.
        orders.push_back({Order::Verb::kStop, piece, placement.try_no, job.spec().snapshot_cost_s + 1});
      }
    } else if (!unwanted && may_launch && machine.welcome()) {
      if (placement.sent_tick != 0) counters_.relaunches++;
      placement.sent_tick = machine.tick;
      counters_.launches++;
      orders.push_back({Order::Verb::kLaunch, piece, placement.try_no, 0});
    }
  }
  for (const PieceReport& stray : machine.strays) {
    const std::string piece = piece_name(stray.ref, stray.index);
    const JobPtr job = find_task(stray.ref, stray.index);
    if (stray.phase == PiecePhase::kExited) {
      const bool held = std::any_of(machine.placements.begin(), machine.placements.end(),
                                    [&stray](const Placement& p) { return p.try_no == stray.try_no; });
      const bool lost_if_reaped = stray.cause == ExitCause::kDone && job != nullptr && !job->head.aborted &&
                                  !job->durable(stray.index);
      if (!held && !lost_if_reaped) {
        orders.push_back({Order::Verb::kReap, piece, stray.try_no, 0});
      }
    } else {
      orders.push_back({Order::Verb::kStop, piece, stray.try_no, 0});
    }
  }
  return orders;
}

void Part::answer(Machine& machine) {
  if (machine.answer.answered()) return;
  machine.held = false;
  const std::vector<Order> orders = orders_for(machine);
  machine.last_answer = ctx_.env->now();
  machine.answer.send(200, orders_body(baton_, std::nullopt, orders));
  machine.answer = Responder();
}

// ---------------------------------------------------------------- direct commands (never launches)

void Part::send_direct(Machine& machine, const std::vector<Order>& orders) {
  if (machine.direct_inflight) return;
  machine.direct_inflight = true;
  HttpCall call{machine.record.address, "POST", "/commands",
                orders_body(baton_, machine.record.tenure, orders), 3.0};
  ctx_.env->call(std::move(call), alive([this, name = machine.name](const HttpReply& reply) {
                   const auto it = machines_.find(name);
                   if (it == machines_.end()) return;
                   Machine& found = *it->second;
                   found.direct_inflight = false;
                   if (reply.status != 200 && reply.status != 409) return;
                   auto report = parse_report(parse_json(reply.body));
                   if (!report || report->host != name) return;
                   if (report->baton > baton_) {
                     ctx_.deposed(report->baton);
                     return;
                   }
                   if (take_report(found, *report, true)) pump();
                 }));
}

void Part::raise_baton(Machine& machine) {
  if (machine.acked) return;
  send_direct(machine, {});
}

void Part::stop_directly(const JobPtr& job) {
  for (auto& [name, machine] : machines_) {
    std::vector<Order> orders;
    for (const Placement& placement : machine->placements) {
      if (placement.job == job && placement.stage == Placement::Stage::kRecorded) {
        orders.push_back(
            {Order::Verb::kStop, piece_name(job->spec().ref, placement.index), placement.try_no, 0});
      }
    }
    if (!orders.empty()) send_direct(*machine, orders);
  }
}

// ---------------------------------------------------------------- time

void Part::tick() {
  const double now = ctx_.env->now();
  for (auto& [ref, job] : jobs_) {
    if (state_silent()) {
      // Not held: the user is told when to come back; the cancellation itself stays under way.
      for (const Responder& waiter : job->cancel_waiters)
        waiter.send(503, R"({"error":"state service away"})", 2);
      job->cancel_waiters.clear();
    }
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
  const double lease = ctx_.settings->lease_s * (1 + kDrift) + kLeaseMargin;
  for (auto& [name, machine] : machines_) {
    if (!machine->answer.answered() && now >= machine->answer_by) answer(*machine);
    if (!machine->acked && !machine->placements.empty()) raise_baton(*machine);
    // (c) it obeyed only us, and our last answer can have carried it no further than this.
    if (machine->acked && machine->last_answer + lease < now && !machine->placements.empty()) {
      std::size_t freed = 0;
      for (Placement& placement : machine->placements) {
        if (placement.stage != Placement::Stage::kRecorded) continue;
        free_placement(*machine, placement, 0);
        freed++;
      }
      if (freed > 0) {
        spdlog::info("{} silent, its lease is over: {} placements freed", name, freed);
        counters_.freed_by_lease += freed;
      }
    }
  }
  pump();
  if (ctx_.parts > 1) {
    borrow();
    want_allowance();
  }
  ctx_.env->after(kTick, alive([this] { tick(); }));
}

void Part::apply(const FleetOrders& orders) {
  for (auto& [name, machine] : machines_) {
    machine->draining =
        std::find(orders.draining.begin(), orders.draining.end(), name) != orders.draining.end();
    machine->winding = std::find(orders.winding.begin(), orders.winding.end(), name) != orders.winding.end();
  }
  elsewhere_ = orders.waiting;
  for (const std::string& name : orders.gone) {
    const auto it = machines_.find(name);
    if (it != machines_.end()) machine_gone(*it->second);
  }
  pump();
}

// (d) the cloud confirmed that the machine and everything on it are gone.
void Part::machine_gone(Machine& machine) {
  machine.gone = true;
  for (Placement& placement : machine.placements) {
    if (placement.stage == Placement::Stage::kFreeing) continue;
    free_placement(machine, placement, 0);
    counters_.freed_by_return++;
  }
  machine.dirty = true;  // the record goes with the next commit
}

// ---------------------------------------------------------------- commits

Transaction Part::guarded() const {
  Transaction txn;
  txn.guard(keys::part(id_), baton_);
  return txn;
}

void Part::send_commit(Lane lane, int slot, Transaction txn, std::function<void(std::uint64_t)> done,
                       Conflict conflict) {
  inflight_[slot]++;
  const int writes = static_cast<int>(txn.then.size());
  try_commit(lane, slot, std::make_shared<std::string>(txn.body()), writes, std::move(done),
             std::move(conflict));
}

// One transaction is repeated until its fate is certain. When an attempt went unanswered, a repeat can find
// its own first copy applied (409 on our own records): then nobody knows for sure, and loading anew under a
// fresh baton is the safe way out.
void Part::try_commit(Lane lane, int slot, std::shared_ptr<std::string> body, int writes,
                      std::function<void(std::uint64_t)> done, Conflict conflict) {
  ctx_.state->commit_body(lane, *body, writes,
                          alive([this, lane, slot, body, writes, done, conflict](const StateReply& reply) {
                            switch (reply.outcome) {
                              case Outcome::kOk:
                                stuck_since_ = 0;
                                inflight_[slot]--;
                                done(reply.epoch());
                                pump();
                                return;
                              case Outcome::kRefused:
                              case Outcome::kUnknown: {
                                if (stuck_since_ == 0) stuck_since_ = ctx_.env->now();
                                ctx_.env->after(ctx_.env->uniform(0.15, 0.4),
                                                alive([this, lane, slot, body, writes, done, conflict] {
                                                  try_commit(lane, slot, body, writes, done, conflict);
                                                }));
                                return;
                              }
                              default: {
                                std::vector<std::string> failed;
                                if (reply.outcome == Outcome::kConflict && reply.body.is_object() &&
                                    reply.body.contains("failed")) {
                                  for (const Json& key : reply.body["failed"])
                                    failed.push_back(key.get<std::string>());
                                }
                                if (!failed.empty() && conflict && conflict(failed)) {
                                  stuck_since_ = 0;
                                  inflight_[slot]--;
                                  pump();
                                  return;
                                }
                                ctx_.abdicate("a commit was turned down: " + dump_json(reply.body));
                                return;
                              }
                            }
                          }));
}

void Part::pump() {
  if (!active_ || pumping_) return;
  pumping_ = true;
  while (inflight_[kCancelSlot] < kSlotLimit[kCancelSlot] && commit_cancels()) {
  }
  while (inflight_[kLaunchSlot] < kSlotLimit[kLaunchSlot] && commit_launches()) {
  }
  while (inflight_[kDoneSlot] < kSlotLimit[kDoneSlot] && commit_dones()) {
  }
  while (inflight_[kDoneSlot] < kSlotLimit[kDoneSlot] && commit_blocks()) {
  }
  while (inflight_[kRestSlot] < kSlotLimit[kRestSlot] && commit_rest()) {
  }
  pumping_ = false;
}

bool Part::commit_cancels() {
  for (auto& [ref, job] : jobs_) {
    if (job->borrowed() || job->cancel_waiters.empty() || job->finishing || job->cancelling ||
        job->head.aborted)
      continue;
    if (job->complete()) continue;  // commit_dones ends it
    job->cancelling = true;
    HeadRecord head = job->head;
    head.aborted = true;
    Transaction txn = guarded();
    txn.guard(keys::head(id_, ref), job->head_stamp);
    txn.put(keys::head(id_, ref), head.to_json());
    send_commit(Lane::kCancel, kCancelSlot, std::move(txn), [this, job = job](std::uint64_t epoch) {
      job->cancelling = false;
      job->head.aborted = true;
      job->head_stamp = epoch;
      job->waiting.clear();
      job->backoff.clear();
      const std::string& name = job->spec().ref;
      spdlog::info("{} cancelled, {} tasks to stop", name, job->placed);
      for (const Responder& waiter : job->cancel_waiters) {
        waiter.send(200, dump_json({{"ref", name}, {"phase", "aborted"}}));
      }
      job->cancel_waiters.clear();
      ctx_.ended(name, "aborted", job->spec().pieces);
      stop_directly(job);
    });
    return true;
  }
  return false;
}

// Machines' records: new placements, and those that are gone. One put per machine, several machines a
// transaction while one is under way already.
bool Part::commit_launches() {
  Transaction txn = guarded();
  struct Written {
    Machine* machine;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
    bool erase;
  };
  std::vector<Written> batch;
  std::map<std::string, std::uint64_t> heads;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (auto& [name, owned] : machines_) {
    Machine& machine = *owned;
    if (!machine.dirty || machine.inflight) continue;
    if (txn.then.size() >= most) break;
    Written item{&machine, {}, {}, machine.gone};
    HostRecord record = machine.record;
    record.placements.clear();
    for (Placement& placement : machine.placements) {
      if (placement.stage == Placement::Stage::kFreeing) {
        item.removed.push_back(placement.try_no);
        continue;
      }
      if (placement.stage == Placement::Stage::kNew) {
        item.added.push_back(placement.try_no);
        heads[keys::head(placement.job->home, placement.job->spec().ref)] = placement.job->head_stamp;
      }
      record.placements.push_back({placement.job->spec().ref, placement.index, placement.try_no});
    }
    machine.dirty = false;
    machine.inflight = true;
    if (item.erase && machine.stamp == 0) {
      // Never recorded: nothing to delete, but the guard keeps the transaction honest.
      txn.guard(keys::host(id_, name), 0);
    } else if (item.erase) {
      txn.guard(keys::host(id_, name), machine.stamp);
      txn.remove(keys::host(id_, name));
    } else {
      txn.guard(keys::host(id_, name), machine.stamp);
      txn.put(keys::host(id_, name), record.to_json());
    }
    batch.push_back(std::move(item));
  }
  if (batch.empty()) return false;
  for (const auto& [key, stamp] : heads) txn.guard(key, stamp);
  std::vector<std::string> names;
  names.reserve(batch.size());
  for (const Written& item : batch) names.push_back(item.machine->name);
  send_commit(
      Lane::kLaunch, kLaunchSlot, std::move(txn),
      [this, batch, names](std::uint64_t epoch) {
        for (std::size_t b = 0; b < batch.size(); b++) {
          const Written& item = batch[b];
          Machine& machine = *item.machine;
          machine.inflight = false;
          machine.stamp = item.erase ? 0 : epoch;
          for (Placement& placement : machine.placements) {
            if (placement.stage == Placement::Stage::kNew &&
                std::find(item.added.begin(), item.added.end(), placement.try_no) != item.added.end()) {
              placement.stage = Placement::Stage::kRecorded;
            }
          }
          for (const std::uint64_t try_no : item.removed) {
            for (std::size_t i = 0; i < machine.placements.size(); i++) {
              if (machine.placements[i].try_no == try_no) {
                drop_placement(machine, i);
                break;
              }
            }
          }
          answer(machine);
          if (item.erase && machine.placements.empty()) {
            spdlog::info("{} is gone", machine.name);
            machines_.erase(names[b]);
          }
        }
      },
      [this, batch](const std::vector<std::string>& failed) {
        // Only heads of jobs that we borrowed from: they were cancelled, and nothing of this was written.
        std::set<JobPtr> over;
        for (const std::string& key : failed) {
          bool borrowed = false;
          for (auto& [name, job] : jobs_) {
            if (!job->borrowed() || keys::head(job->home, job->spec().ref) != key) continue;
            borrowed = true;
            over.insert(job);
          }
          if (!borrowed) return false;
        }
        for (const JobPtr& job : over) drop_borrowed(job);
        for (const Written& item : batch) {
          Machine& machine = *item.machine;
          machine.inflight = false;
          machine.dirty = true;
          for (Placement& placement : machine.placements) {
            if (placement.stage == Placement::Stage::kNew && over.count(placement.job) > 0) {
              free_placement(machine, placement, 0);
            }
          }
        }
        return true;
      });
  return true;
}

// Completions: the last one of a job ends it, the others are written as ranges, many at a time. Blocks that
// others have completed are taken into the job's own record and deleted.
bool Part::commit_dones() {
  const double now = ctx_.env->now();
  Transaction txn = guarded();
  std::vector<JobPtr> finished;
  std::vector<std::pair<JobPtr, RangeSet>> saved;
  std::vector<std::pair<JobPtr, std::string>> merged;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (auto& [ref, job] : jobs_) {
    if (job->borrowed() || job->finishing || job->cancelling || job->head.aborted || job->progress_inflight)
      continue;
    if (!job->complete() || !job->lent_all_complete()) continue;
    const std::size_t needs = 3 + job->lent.size();
    if (needs > most || txn.then.size() + needs > most) continue;
    job->finishing = true;
    txn.guard(keys::head(id_, ref), job->head_stamp);
    txn.guard(keys::progress(id_, ref), job->progress_stamp);
    txn.put(keys::ending(id_, ref), ending_json("done", job->spec().pieces));
    txn.remove(keys::head(id_, ref));
    if (job->progress_stamp != 0) txn.remove(keys::progress(id_, ref));
    for (const auto& [key, lent] : job->lent) {
      txn.guard(key, lent.stamp);
      txn.remove(key);
    }
    finished.push_back(job);
  }
  for (auto& [ref, job] : jobs_) {
    if (job->borrowed() || job->finishing || job->cancelling || job->progress_inflight || job->head.aborted)
      continue;
    std::size_t complete = 0;
    for (const auto& [key, lent] : job->lent) complete += lent.complete() ? 1 : 0;
    // A completed job comes here only when it has too many blocks to end in one go.
    const bool too_many = job->complete() && 3 + job->lent.size() > most;
    const bool due = !job->unsaved.empty() && !job->complete() &&
                     now - job->unsaved_since >= (saved.empty() ? kProgressDelay : kProgressDelay / 2);
    if (!due && !too_many && (job->complete() || complete < kMergeBlocks)) continue;
    if (txn.then.size() + 1 + (complete > 0 ? 1 : 0) > most) break;
    job->progress_inflight = true;
    txn.guard(keys::progress(id_, ref), job->progress_stamp);
    txn.guard(keys::head(id_, ref), job->head_stamp);
    txn.put(keys::progress(id_, ref), {{"done", job->done.to_text()}});
    saved.emplace_back(job, job->unsaved);
    for (const auto& [key, lent] : job->lent) {
      if (!lent.complete() || txn.then.size() + 1 > most) continue;
      txn.guard(key, lent.stamp);
      txn.remove(key);
      merged.emplace_back(job, key);
    }
  }
  if (finished.empty() && saved.empty()) return false;
  send_commit(Lane::kDone, kDoneSlot, std::move(txn), [this, finished, saved, merged](std::uint64_t epoch) {
    for (const auto& [job, key] : merged) job->lent.erase(key);
    for (const auto& [job, indices] : saved) {
      job->progress_inflight = false;
      job->progress_stamp = epoch;
      job->saved(indices, ctx_.env->now());
    }
    for (const JobPtr& job : finished) {
      const std::string ref = job->spec().ref;
      spdlog::info("{} done after {:.1f} s", ref, ctx_.env->wall() - job->head.submitted);
      for (const Responder& waiter : job->cancel_waiters) {
        waiter.send(200, dump_json({{"ref", ref}, {"phase", "done"}}));
      }
      ctx_.ended(ref, "done", job->spec().pieces);
      job->unsaved.clear();
      forget(ref);
    }
  });
  return true;
}

// Cancelled jobs whose last task is known to be gone.
bool Part::commit_rest() {
  Transaction txn = guarded();
  std::vector<std::string> cleaned;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (auto& [name, job] : jobs_) {
    if (!job->head.aborted || job->cleaning || job->placed > 0 || job->progress_inflight) continue;
    if (job->borrowed()) {
      // A block whose record is complete is the home's to delete.
      if (job->complete() && job->unsaved.empty()) continue;
      if (txn.then.size() + 1 > most) break;
      txn.guard(name, job->block_stamp);
      txn.remove(name);
    } else {
      const std::string& ref = name;
      if (!job->lent_all_complete()) continue;  // their borrowers delete them
      std::size_t blocks = job->lent.size();
      if (txn.then.size() + 3 + blocks > most && !txn.then.empty()) break;
      txn.guard(keys::head(id_, ref), job->head_stamp);
      txn.guard(keys::progress(id_, ref), job->progress_stamp);
      txn.put(keys::ending(id_, ref), ending_json("aborted", job->spec().pieces));
      txn.remove(keys::head(id_, ref));
      if (job->progress_stamp != 0) txn.remove(keys::progress(id_, ref));
      for (const auto& [key, lent] : job->lent) {
        txn.guard(key, lent.stamp);
        txn.remove(key);
      }
    }
    job->cleaning = true;
    cleaned.push_back(name);
  }
  if (cleaned.empty()) return false;
  send_commit(Lane::kRest, kRestSlot, std::move(txn), [this, cleaned](std::uint64_t) {
    for (const std::string& name : cleaned) forget(name);
  });
  return true;
}

}  // namespace mothslip
