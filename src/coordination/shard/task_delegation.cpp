#include "coordination/shard/task_delegation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <vector>

#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/journal.hpp"
#include "coordination/shard/placement_rules.hpp"
#include "coordination/shard/preemptor.hpp"
#include "coordination/shard/quota_shares.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
constexpr double kTaskRequestInterval = 0.4;
constexpr double kTaskRequestIdleInterval = 0.9;
constexpr double kGiveBack = 2.5;  // waiting tasks of a delegation that found no place this long go home
constexpr double kSaveUp = 30;     // longer where room or quota share is saved up for it
constexpr double kGatherGang = 60;
constexpr std::size_t kMaxOffers = 40;
constexpr std::size_t kMaxUnwrittenDelegations = 8;  // not written yet
constexpr int kMaxDelegationsPerRequest = 4;         // per request
constexpr double kDelegationFrame = 120;  // bytes of a delegation's record without its job and its ranges
constexpr double kBytesPerRange = 14;     // of text, at the most
constexpr double kBytesPerTask = 1.4;     // and that much more however scattered some of the tasks are done
// What the ranges of a delegation's record may come to take, whichever of its tasks are done or given back.
double delegation_bytes(const RangeSet& range) {
  return 2 * (kBytesPerRange * static_cast<double>(range.range_count()) + kBytesPerTask * range.size());
}
bool take(Resources& room, const Resources& demand) {
  if (!fits(demand, room)) return false;
  for (std::size_t r = 0; r < room.size(); r++) room[r] -= demand[r];
  return true;
}
}  // namespace

TaskDelegation::TaskDelegation(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                               Journal& journal, PlacementRules& rules, GangScheduler& gangs,
                               Preemptor& preemptor, QuotaShares& quotas, WorkerCommands& commands)
    : ctx_(context),
      model_(model),
      committer_(committer),
      journal_(journal),
      rules_(rules),
      gangs_(gangs),
      preemptor_(preemptor),
      quotas_(quotas),
      commands_(commands) {}

void TaskDelegation::add_delegated_job(const std::string& key, DelegationRecord record,
                                       std::uint64_t revision) {
  const JobPtr job = model_.make_job(std::move(record.job), record.job_revision);
  job->home_shard = record.home_shard;
  job->delegation = key;
  job->delegation_revision = revision;
  job->works = record.works;
  job->range = std::move(record.range);
  job->done = std::move(record.done);
  job->idle_since = ctx_.env->now();
  for (const auto& [first, last] : job->range.ranges()) {
    for (int i = first; i < last; i++) {
      if (!job->done.contains(i)) job->waiting.insert(i);
    }
  }
  model_.jobs().emplace(key, job);
  model_.notify_work_waiting();
}

void TaskDelegation::drop_delegated(const JobPtr& job) {
  if (job->record.aborted) return;
  job->record.aborted = true;
  job->aborted_at = ctx_.env->now();
  // (While we load, the waiting tasks tell which placements of the segments still count: what runs on a
  // machine that we cannot ask uses its team's limit, cancelled or not.)
  if (!model_.active()) return;
  job->waiting.clear();
  job->backoff.clear();
  commands_.stop_directly(job);
}

void TaskDelegation::on_delegation_event(const Json& event) {
  const bool put = event.contains("put");
  const std::string key = event.value(put ? "put" : "delete", "");
  const auto revision = event.value("stamp", std::uint64_t{0});
  const std::string own = keys::kDelegations + std::to_string(ctx_.shard) + "/";
  if (key.compare(0, own.size(), own) == 0) {
    const auto it = model_.jobs().find(key);
    if (put && it == model_.jobs().end()) {
      if (model_.is_over_ahead_of_watch(key)) return;
      auto record = DelegationRecord::from_json(event["data"]);
      if (!record || record->complete()) return;
      model_.counters().tasks_received += static_cast<std::uint64_t>(record->range.size());
      add_delegated_job(key, std::move(*record), revision);
    } else if (!put && it != model_.jobs().end() && revision > it->second->delegation_revision) {
      // Deleted by its home: every task in it is done.
      if (it->second->placed == 0) model_.forget(key);
    }
    return;
  }
  const auto slash = key.rfind('/');
  const auto tilde = key.rfind('~');
  if (slash == std::string::npos || tilde == std::string::npos || tilde < slash) return;
  const auto it = model_.jobs().find(key.substr(slash + 1, tilde - slash - 1));
  if (it == model_.jobs().end()) return;
  const JobPtr job = it->second;
  const auto delegated = job->delegated.find(key);
  if (delegated == job->delegated.end() || revision <= delegated->second.revision) return;
  delegated->second.revision = revision;
  if (put) {
    const auto record = DelegationRecord::from_json(event["data"]);
    if (record) {
      delegated->second.noted = record->job.aborted;
      job->fails_elsewhere |= record->fails;
      reclaim_tasks(job, key, record->range, record->done);
    }
  } else {
    reclaim_tasks(job, key, {}, {});
    job->delegated.erase(key);
  }
}

DelegationRecord TaskDelegation::delegation_record(const Job& job) {
  DelegationRecord out;
  out.home_shard = job.home_shard;
  out.job_revision = job.job_revision;
  out.job = job.record;
  out.works = job.works;
  out.fails = job.at_fault();
  out.range = job.range;
  out.done = job.done;
  return out;
}

void TaskDelegation::reclaim_tasks(const JobPtr& job, const std::string& key, const RangeSet& range,
                                   const RangeSet& done) {
  DelegatedTasks& delegated = job->delegated.at(key);
  job->done.insert(done);
  for (const auto& [first, last] : delegated.range.ranges()) {
    for (int i = first; i < last; i++) {
      if (!range.contains(i)) model_.requeue(job, i, 0);
    }
  }
  delegated.range = range;
  delegated.done = done;
}

// A delegation that was made under larger limits may no longer fit into a record. Once nothing of it runs
// here, so many of its tasks go home as do not fit, done or not: their results are kept, and starting them
// again ends at once.
bool TaskDelegation::fit_delegation(Job& job) const {
  const auto too_large = [this, &job] {
    return static_cast<double>(dump_json(delegation_record(job).to_json()).size()) > committer_.value_bytes();
  };
  if (!too_large()) return true;
  if (job.placed > 0) return false;
  while (job.range.range_count() > 1 && too_large()) {
    const auto [first, last] = *job.range.ranges().rbegin();
    RangeSet tail;
    tail.insert(first, last);
    job.range.erase(tail);
    job.done.erase(tail);
    job.unsaved.erase(tail);
    job.waiting.erase(tail);
  }
  return true;
}

bool TaskDelegation::commit_delegations() {
  const double now = ctx_.env->now();
  Transaction txn = committer_.guarded_transaction();
  struct Item {
    JobPtr job;
    RangeSet range;
    RangeSet done;
    bool erase;
  };
  std::vector<Item> batch;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (auto& [key, job] : model_.jobs()) {
    if (!job->delegated_here() || job->record.aborted || job->progress_inflight || job->cleaning) continue;
    const double patience = !rules_.starving(*job) ? kGiveBack : job->is_gang() ? kGatherGang : kSaveUp;
    const bool give_back = !job->waiting.empty() && now - job->idle_since > patience &&
                           (!job->bound() || (job->placed == 0 && job->backoff.empty()));
    // Until the delegation is complete its completions are kept in the journal's segments.
    const bool due = (!job->unsaved.empty() && job->complete()) || job->fold_due;
    if (!give_back && !due) continue;
    if (txn.then.size() + 1 > most) break;
    if (!fit_delegation(*job)) continue;
    Item item{job, job->range, job->done, false};
    job->fold_due = false;
    if (give_back) {
      model_.counters().tasks_returned += static_cast<std::uint64_t>(job->waiting.size());
      item.range.erase(job->waiting);
      // From here on they are not ours, whatever becomes of the write: it is repeated until it is done.
      job->waiting.clear();
      job->range = item.range;
    }
    item.erase = item.range.empty();
    txn.guard(key, job->delegation_revision);
    if (item.erase) {
      txn.remove(key);
    } else {
      txn.put(key, delegation_record(*job).to_json());
    }
    job->progress_inflight = true;
    batch.push_back(std::move(item));
  }
  if (batch.empty()) return false;
  committer_.commit(RequestPriority::kDone, RecordCommitter::kDoneSlot, txn,
                    [this, batch](std::uint64_t revision) {
                      for (const Item& item : batch) {
                        item.job->progress_inflight = false;
                        item.job->delegation_revision = revision;
                        journal_.on_completions_recorded(item.job, item.job->delegation, item.done);
                        if (item.erase) model_.forget(item.job->delegation);
                      }
                    });
  return true;
}

void TaskDelegation::request_tasks() {
  const double now = ctx_.env->now();
  if (task_request_open_ || now < next_task_request_ || committer_.state_silent() || !ctx_.exclusive_owner())
    return;
  next_task_request_ = now + kTaskRequestInterval;
  // Others' work that goes before best-effort work gets the room of ours too.
  const bool others_wait = preemptor_.best_effort_here() &&
                           std::any_of(model_.demand_elsewhere().begin(), model_.demand_elsewhere().end(),
                                       [](const auto& hint) { return hint.startable; });
  std::vector<std::pair<const Machine*, Resources>> rooms;
  for (const auto& [name, machine] : model_.machines()) {
    if (machine->type < 0 || !machine->schedulable() || now < machine->no_fill_until) continue;
    if (!machine->heard || now - machine->last_heard > ctx_.report_freshness_s() || machine->reserved_for)
      continue;
    Resources room = machine->room;
    if (others_wait) {
      const Preemptor::PreemptibleRoom free = preemptor_.preemptible_room(*machine);
      room = free.room;
      for (const PreemptionCandidate& each : free.candidates) {
        for (std::size_t r = 0; r < room.size(); r++) room[r] += each.held[r];
      }
    }
    if (room[0] < 0.5) continue;
    machine->keeping = rules_.reserves_for_large(*machine);
    rooms.emplace_back(machine.get(), room);
  }
  for (const auto& [name, job] : model_.jobs()) {
    // (A gang that fits here is placed; the room that it can't use is offered.)
    if (job->over() || job->is_gang() || (others_wait && rules_.is_preemptible(*job))) continue;
    int left = std::min(job->waiting.size(), model_.teams().tasks_within(job->team, job->demand));
    for (auto& [machine, room] : rooms) {
      if (machine->keeping && rules_.fits_smaller_type(*job, machine->type)) continue;
      while (left > 0 && rules_.allowed_on(*job, *machine) && take(room, job->demand)) left--;
    }
  }
  Json offers = Json::array();
  for (const auto& [machine, room] : rooms) {
    if (room[0] < 0.5 || offers.size() >= kMaxOffers) continue;
    Json images = Json::array();
    for (const auto& [image, gb] : machine->images) images.push_back(model_.images().name(image));
    offers.push_back({machine->record.machine_type, machine->record.zone, machine->record.spot, room[0],
                      room[1], room[2], machine->cordoned || machine->keeping, std::move(images),
                      others_wait});
  }
  if (offers.empty()) return;
  Json spare = Json::array();
  for (std::size_t t = 0; t < model_.teams().size(); t++) {
    spare.push_back(
        {model_.teams().spare_cores(static_cast<int>(t)), model_.teams().spare_gpus(static_cast<int>(t))});
  }
  asked_for_tasks_ = ctx_.next_shard(asked_for_tasks_);
  task_request_open_ = true;
  ctx_.ask(asked_for_tasks_, "/peer/borrow",
           {{"part", ctx_.shard},
            {"baton", ctx_.fencing_token},
            {"rooms", std::move(offers)},
            {"spare", std::move(spare)},
            {"gangs", true}},
           alive_([this](const Json& answer) {
             task_request_open_ = false;
             const bool delegated = answer.is_object() && answer.value("lent", 0) > 0;
             // Asking costs processor time on both sides: seldom while the fleet knows of nothing that waits.
             next_task_request_ = ctx_.env->now() + (delegated || !model_.demand_elsewhere().empty()
                                                         ? kTaskRequestInterval
                                                         : kTaskRequestIdleInterval);
           }));
}

int TaskDelegation::on_task_request(const Json& body) {
  const int to = body.at("part").get<int>();
  const auto to_fencing_token = body.at("baton").get<std::uint64_t>();
  if (to < 0 || to >= ctx_.shard_count || to == ctx_.shard ||
      journal_.unwritten_delegation_count() >= kMaxUnwrittenDelegations)
    return 0;
  const int gang_tasks = gangs_.delegate_gangs(body);
  const double now = ctx_.env->now();
  std::vector<std::pair<const Machine*, Resources>> rooms;
  for (const auto& [name, machine] : model_.machines()) {
    if (machine->type < 0 || !machine->schedulable() || now < machine->no_fill_until) continue;
    if (!machine->heard || now - machine->last_heard > ctx_.report_freshness_s() || machine->reserved_for)
      continue;
    machine->keeping = rules_.reserves_for_large(*machine);
    rooms.emplace_back(machine.get(), machine->room);
  }
  std::vector<Request> requests;
  std::vector<JobPtr> jobs;
  std::vector<int> surplus;
  std::vector<int> counts;
  const double wall = ctx_.env->wall();
  for (const auto& [name, job] : model_.jobs()) {
    const JobSpec& spec = job->spec();
    if (job->delegated_here() || job->is_gang() || job->over() || job->cancelling || job->waiting.empty() ||
        job->at_fault() || !job->cancel_waiters.empty()) {
      continue;
    }
    // Where the tasks of a job are bound to each other one shard must see all that are placed: they go whole.
    if (job->bound() && (job->placed > 0 || job->delegated_open() > 0 || !job->backoff.empty())) continue;
    int left = job->waiting.size();
    int here = std::min(left, model_.teams().tasks_within(job->team, job->demand));
    for (auto& [machine, room] : rooms) {
      if ((machine->keeping || machine->cordoned) && rules_.fits_smaller_type(*job, machine->type)) continue;
      while (here > 0 && rules_.allowed_on(*job, *machine) && take(room, job->demand)) {
        here--;
        left--;
      }
    }
    if (left <= 0) continue;
    Request request;
    request.demand = job->demand;
    request.assigned_share = static_cast<double>(job->placed + job->done.size()) / spec.task_count;
    request.nothing_placed = job->placed == 0 && job->done.empty() && job->delegated.empty();
    request.bonus =
        PlacementRules::kUrgencyBonus * static_cast<int>(spec.urgency) + rules_.age_bonus(*job, wall);
    if (spec.deadline_s) {
      request.pressure = deadline_pressure(job->record.submitted + *spec.deadline_s - wall,
                                           1.3 * std::max(1.0, spec.estimated_s));
    }
    requests.push_back(request);
    jobs.push_back(job);
    surplus.push_back(left);
    counts.push_back(0);
  }
  if (requests.empty()) {
    if (gang_tasks > 0) committer_.send_due_writes();
    return gang_tasks;
  }
  std::vector<std::pair<double, double>> spare;
  for (const Json& item : body.at("spare"))
    spare.emplace_back(item.at(0).get<double>(), item.at(1).get<double>());
  std::map<int, Resources> lacking;
  for (const Json& offer : body.at("rooms")) {
    const auto machine_type = offer.at(0).get<std::string>();
    const auto zone = offer.at(1).get<std::string>();
    const bool spot = offer.at(2).get<bool>();
    const bool choosy = offer.at(6).get<bool>();
    const auto images = offer.at(7).get<std::vector<std::string>>();
    const bool before_best_effort = offer.size() > 8 && offer.at(8).get<bool>();
    const int type = ctx_.types->find(machine_type);
    Resources room = {offer.at(3).get<double>(), offer.at(4).get<double>(), offer.at(5).get<double>()};
    std::vector<Request> listed;
    std::vector<std::size_t> index;
    for (std::size_t i = 0; i < jobs.size(); i++) {
      const JobSpec& spec = jobs[i]->spec();
      if (!rules_.allows_machine(spec, machine_type, zone, spot)) continue;
      // Winding down or kept for large tasks, it takes only what cannot go anywhere else.
      if (choosy && type >= 0 && rules_.fits_smaller_type(*jobs[i], type)) continue;
      // Best-effort work does not travel where it would not be started, or where other work is to go.
      if (rules_.is_preemptible(*jobs[i]) &&
          ((before_best_effort || (!spot && spec.allows_spot)) && !rules_.long_unplaced(*jobs[i])))
        continue;
      listed.push_back(requests[i]);
      listed.back().local = std::find(images.begin(), images.end(), spec.image) != images.end();
      index.push_back(i);
    }
    while (!listed.empty()) {
      for (std::size_t k = 0; k < listed.size();) {
        const std::size_t i = index[k];
        const Job& job = *jobs[i];
        auto& [cores, gpus] = spare.at(static_cast<std::size_t>(job.team));
        // Quota share for a task of one that starves is saved up there.
        const bool quota =
            (job.demand[0] <= cores && job.demand[2] <= gpus) || (rules_.starving(job) && counts[i] == 0);
        if (counts[i] < surplus[i] && !quota && fits(job.demand, room)) {
          Resources& more = lacking[job.team];
          for (std::size_t r = 0; r < 3; r++) more[r] = std::max(more[r], job.demand[r]);
        }
        if (counts[i] >= surplus[i] || !quota || !fits(job.demand, room)) {
          listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(k));
          index.erase(index.begin() + static_cast<std::ptrdiff_t>(k));
        } else {
          k++;
        }
      }
      const int best = choose(room, listed, rules_.weights());
      if (best < 0) break;
      const std::size_t i = index[static_cast<std::size_t>(best)];
      take(room, jobs[i]->demand);
      counts[i]++;
      spare.at(static_cast<std::size_t>(jobs[i]->team)).first -= jobs[i]->demand[0];
      spare.at(static_cast<std::size_t>(jobs[i]->team)).second -= jobs[i]->demand[2];
    }
  }
  int delegated = gang_tasks;
  int delegations = 0;
  for (std::size_t i = 0; i < jobs.size() && delegations < kMaxDelegationsPerRequest; i++) {
    if (counts[i] == 0) continue;
    if (jobs[i]->bound()) counts[i] = jobs[i]->waiting.size();
    delegate_tasks(jobs[i], to, to_fencing_token, counts[i]);
    delegated += counts[i];
    delegations++;
  }
  // Room without quota share is of no use: what we do not need of ours moves along.
  // The tasks in question have no place here, so nothing is held back for them; what we lack too, others may
  // have.
  for (const auto& [team, more] : lacking) {
    if (more[0] > model_.teams().spare_cores(team) || more[2] > model_.teams().spare_gpus(team))
      quotas_.set_shortage(team, more);
    quotas_.transfer_quota(team, to, more[0], more[2], false);
  }
  if (delegated > 0) committer_.send_due_writes();
  return delegated;
}

// Bytes that the record of a delegation of the job has for ranges.
double TaskDelegation::delegation_budget(const Job& job) const {
  return committer_.value_bytes() - kDelegationFrame -
         static_cast<double>(dump_json(job.record.to_json()).size());
}

void TaskDelegation::delegate_tasks(const JobPtr& job, int to, std::uint64_t to_fencing_token, int count) {
  DelegatedTasks delegated;
  const double budget = delegation_budget(*job);
  for (int i = 0; i < count && !job->waiting.empty(); i++) {
    // (The tasks of a gang are done together, or none is: their ranges stay short.)
    if (!job->is_gang() && !delegated.range.empty() && delegation_bytes(delegated.range) > budget) break;
    const int index = *job->waiting.first();
    job->waiting.erase(index);
    delegated.range.insert(index);
  }
  const std::string& ref = job->spec().ref;
  const std::string key = keys::delegations(to, ref) + std::to_string(ctx_.fencing_token) + "." +
                          std::to_string(model_.next_count());
  model_.counters().delegations++;
  model_.counters().tasks_delegated += static_cast<std::uint64_t>(delegated.range.size());
  spdlog::debug("{}: {} tasks delegated to shard {}", ref, delegated.range.size(), to);
  job->delegated[key] = std::move(delegated);
  journal_.add_delegation({job, key, to, to_fencing_token});
}

}  // namespace mothslip
