// Delegations of waiting tasks that pass between shards.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/shard/shard_leader.hpp"

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

// ---------------------------------------------------------------- delegations: loading and watching

void ShardLeader::load_delegations() {
  ctx_.state->list(
      RequestPriority::kLease, keys::kDelegations,
      alive([this](Outcome outcome, std::vector<StateItem> items, std::uint64_t) {
        if (outcome != Outcome::kOk) return retry_load(&ShardLeader::load_delegations);
        const std::string own = keys::kDelegations + std::to_string(id_) + "/";
        for (StateItem& item : items) {
          auto record = DelegationRecord::from_json(item.data);
          if (!record) {
            spdlog::error("record {} cannot be read", item.key);
            continue;
          }
          if (record->home_shard == id_) {
            const auto it = jobs_.find(record->job.spec.ref);
            if (it == jobs_.end()) continue;
            Job& job = *it->second;
            job.delegated[item.key] = {record->range, record->done, item.revision, record->job.aborted};
            job.waiting.erase(record->range);
            job.done.insert(record->done);
          } else if (item.key.compare(0, own.size(), own) == 0) {
            add_delegated_job(item.key, std::move(*record), item.revision);
          }
        }
        std::set<int> homes;
        for (const auto& [name, job] : jobs_) {
          if (job->delegated_here()) homes.insert(job->home_shard);
        }
        check_delegated(std::move(homes));
      }));
}

// A job can have been cancelled while nobody owned this shard. One list a home: asked for one by one, a
// hundred delegations kept a shard from becoming active for 15 s while the state service was slow.
void ShardLeader::check_delegated(std::set<int> homes) {
  if (homes.empty()) {
    load_teams();
    return;
  }
  const int home = *homes.begin();
  ctx_.state->list(
      RequestPriority::kLease, keys::job_records(home),
      alive([this, home, homes = std::move(homes)](Outcome outcome, const std::vector<StateItem>& items,
                                                   std::uint64_t) mutable {
        if (outcome != Outcome::kOk) {
          ctx_.env->after(kLoadRetry, alive([this, homes = std::move(homes)]() mutable {
                            check_delegated(std::move(homes));
                          }));
          return;
        }
        std::set<std::string> open;
        for (const StateItem& item : items) {
          if (item.data.is_object() && item.data.value("phase", "") != "aborted")
            open.insert(item.key.substr(keys::job_records(home).size()));
        }
        for (const auto& [name, job] : jobs_) {
          if (job->delegated_here() && job->home_shard == home && open.count(job->spec().ref) == 0)
            drop_delegated(job);
        }
        homes.erase(home);
        check_delegated(std::move(homes));
      }));
}

void ShardLeader::add_delegated_job(const std::string& key, DelegationRecord record, std::uint64_t revision) {
  const JobPtr job = make_job(std::move(record.job), record.job_revision);
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
  jobs_.emplace(key, job);
  wake();
}

// The job was cancelled at home: its tasks here are stopped, and the delegation goes when the last one is
// gone.
void ShardLeader::drop_delegated(const JobPtr& job) {
  if (job->record.aborted) return;
  job->record.aborted = true;
  job->aborted_at = ctx_.env->now();
  // (While we load, the waiting tasks tell which placements of the segments still count: what runs on a
  // machine that we cannot ask uses its team's limit, cancelled or not.)
  if (!active_) return;
  job->waiting.clear();
  job->backoff.clear();
  stop_directly(job);
}

// Events of one watch come in order. Delegations to this shard are taken up only here: an answer that
// overtook or trailed them could bring back a delegation that is already completed and deleted.
void ShardLeader::on_delegation_event(const Json& event) {
  const bool put = event.contains("put");
  const std::string key = event.value(put ? "put" : "delete", "");
  const auto revision = event.value("stamp", std::uint64_t{0});
  const std::string own = keys::kDelegations + std::to_string(id_) + "/";
  if (key.compare(0, own.size(), own) == 0) {
    const auto it = jobs_.find(key);
    if (put && it == jobs_.end()) {
      if (over_ahead_of_watch_.count(key) > 0) return;
      auto record = DelegationRecord::from_json(event["data"]);
      if (!record || record->complete()) return;
      counters_.tasks_received += static_cast<std::uint64_t>(record->range.size());
      add_delegated_job(key, std::move(*record), revision);
    } else if (!put && it != jobs_.end() && revision > it->second->delegation_revision) {
      // Deleted by its home: every task in it is done.
      if (it->second->placed == 0) forget(key);
    }
    return;
  }
  const auto slash = key.rfind('/');
  const auto tilde = key.rfind('~');
  if (slash == std::string::npos || tilde == std::string::npos || tilde < slash) return;
  const auto it = jobs_.find(key.substr(slash + 1, tilde - slash - 1));
  if (it == jobs_.end()) return;
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

DelegationRecord ShardLeader::delegation_record(const Job& job) {
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

// The delegate noted completions, or gave tasks back by shrinking the range.
void ShardLeader::reclaim_tasks(const JobPtr& job, const std::string& key, const RangeSet& range,
                                const RangeSet& done) {
  DelegatedTasks& delegated = job->delegated.at(key);
  job->done.insert(done);
  for (const auto& [first, last] : delegated.range.ranges()) {
    for (int i = first; i < last; i++) {
      if (!range.contains(i)) requeue(job, i, 0);
    }
  }
  delegated.range = range;
  delegated.done = done;
}

// ---------------------------------------------------------------- delegations: what the delegate writes

// A delegation that was made under larger limits may no longer fit into a record. Once nothing of it runs
// here, so many of its tasks go home as do not fit, done or not: their results are kept, and starting them
// again ends at once.
bool ShardLeader::fit_delegation(Job& job) const {
  const auto too_large = [this, &job] {
    return static_cast<double>(dump_json(delegation_record(job).to_json()).size()) > value_bytes_;
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

bool ShardLeader::commit_delegations() {
  const double now = ctx_.env->now();
  Transaction txn = guarded();
  struct Item {
    JobPtr job;
    RangeSet range;
    RangeSet done;
    bool erase;
  };
  std::vector<Item> batch;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (auto& [key, job] : jobs_) {
    if (!job->delegated_here() || job->record.aborted || job->progress_inflight || job->cleaning) continue;
    const double patience = !starving(*job) ? kGiveBack : job->is_gang() ? kGatherGang : kSaveUp;
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
      counters_.tasks_returned += static_cast<std::uint64_t>(job->waiting.size());
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
  send_commit(RequestPriority::kDone, kDoneSlot, txn, [this, batch](std::uint64_t revision) {
    for (const Item& item : batch) {
      item.job->progress_inflight = false;
      item.job->delegation_revision = revision;
      folded(item.job, item.job->delegation, item.done);
      if (item.erase) forget(item.job->delegation);
    }
  });
  return true;
}

// ---------------------------------------------------------------- delegations: requests and delegation

// The other shards in turn.
int ShardLeader::next_shard(int after) const {
  const int next = (after + 1) % ctx_.shard_count;
  return next == id_ ? (next + 1) % ctx_.shard_count : next;
}

// With room that our own waiting tasks do not fill, we ask the other shards in turn.
void ShardLeader::request_tasks() {
  const double now = ctx_.env->now();
  if (task_request_open_ || now < next_task_request_ || state_silent() || !ctx_.exclusive_owner()) return;
  next_task_request_ = now + kTaskRequestInterval;
  // Others' work that goes before best-effort work gets the room of ours too.
  const bool others_wait = best_effort_here_ && std::any_of(elsewhere_.begin(), elsewhere_.end(),
                                                            [](const auto& hint) { return hint.startable; });
  std::vector<std::pair<const Machine*, Resources>> rooms;
  for (const auto& [name, machine] : machines_) {
    if (machine->type < 0 || !machine->schedulable() || now < machine->no_fill_until) continue;
    if (!machine->heard || now - machine->last_heard > fresh_s() || machine->reserved_for) continue;
    Resources room = machine->room;
    if (others_wait) {
      const Yieldable free = yieldable(*machine);
      room = free.room;
      for (const PreemptionCandidate& each : free.candidates) {
        for (std::size_t r = 0; r < room.size(); r++) room[r] += each.held[r];
      }
    }
    if (room[0] < 0.5) continue;
    machine->keeping = keeps_for_large(*machine);
    rooms.emplace_back(machine.get(), room);
  }
  for (const auto& [name, job] : jobs_) {
    // (A gang that fits here is placed; the room that it can't use is offered.)
    if (job->over() || job->is_gang() || (others_wait && gives_way(*job))) continue;
    int left = std::min(job->waiting.size(), teams_.tasks_within(job->team, job->demand));
    for (auto& [machine, room] : rooms) {
      if (machine->keeping && small_on(*job, machine->type)) continue;
      while (left > 0 && allowed_on(*job, *machine) && take(room, job->demand)) left--;
    }
  }
  Json offers = Json::array();
  for (const auto& [machine, room] : rooms) {
    if (room[0] < 0.5 || offers.size() >= kMaxOffers) continue;
    Json images = Json::array();
    for (const auto& [image, gb] : machine->images) images.push_back(images_.name(image));
    offers.push_back({machine->record.machine_type, machine->record.zone, machine->record.spot, room[0],
                      room[1], room[2], machine->cordoned || machine->keeping, std::move(images),
                      others_wait});
  }
  if (offers.empty()) return;
  Json spare = Json::array();
  for (std::size_t t = 0; t < teams_.size(); t++) {
    spare.push_back({teams_.spare_cores(static_cast<int>(t)), teams_.spare_gpus(static_cast<int>(t))});
  }
  asked_for_tasks_ = next_shard(asked_for_tasks_);
  task_request_open_ = true;
  ctx_.ask(asked_for_tasks_, "/peer/borrow",
           {{"part", id_},
            {"baton", fencing_token_},
            {"rooms", std::move(offers)},
            {"spare", std::move(spare)},
            {"gangs", true}},
           alive([this](const Json& answer) {
             task_request_open_ = false;
             const bool delegated = answer.is_object() && answer.value("lent", 0) > 0;
             // Asking costs processor time on both sides: seldom while the fleet knows of nothing that waits.
             next_task_request_ =
                 ctx_.env->now() +
                 (delegated || !elsewhere_.empty() ? kTaskRequestInterval : kTaskRequestIdleInterval);
           }));
}

Json ShardLeader::on_peer(const std::string& path, const Json& body) {
  // Durable already, whoever says so and however late: it needs no lease of ours.
  // While we load, too: delegations that are not read yet are checked after they have been.
  if (path == "/peer/called_off") return on_job_cancelled(body);
  if (!active_ || state_silent() || !ctx_.exclusive_owner()) return {{"lent", 0}};
  try {
    if (path == "/peer/borrow") return {{"lent", on_task_request(body)}};
    if (path == "/peer/allow") on_quota_request(body);
    if (path == "/peer/gang_capacity") return on_gang_capacity(body);
    if (path == "/peer/gang_state") return on_gang_state(body);
  } catch (const Json::exception&) {
    return {{"error", "malformed"}};
  }
  return Json::object();
}

// Delegates what our own machines have no room for, by the same preference as if the offered room were ours.
int ShardLeader::on_task_request(const Json& body) {
  const int to = body.at("part").get<int>();
  const auto to_fencing_token = body.at("baton").get<std::uint64_t>();
  if (to < 0 || to >= ctx_.shard_count || to == id_ ||
      unwritten_delegations_.size() >= kMaxUnwrittenDelegations)
    return 0;
  const int gang_tasks = delegate_gangs(body);
  const double now = ctx_.env->now();
  std::vector<std::pair<const Machine*, Resources>> rooms;
  for (const auto& [name, machine] : machines_) {
    if (machine->type < 0 || !machine->schedulable() || now < machine->no_fill_until) continue;
    if (!machine->heard || now - machine->last_heard > fresh_s() || machine->reserved_for) continue;
    machine->keeping = keeps_for_large(*machine);
    rooms.emplace_back(machine.get(), machine->room);
  }
  std::vector<Request> requests;
  std::vector<JobPtr> jobs;
  std::vector<int> surplus;
  std::vector<int> counts;
  const double wall = ctx_.env->wall();
  for (const auto& [name, job] : jobs_) {
    const JobSpec& spec = job->spec();
    if (job->delegated_here() || job->is_gang() || job->over() || job->cancelling || job->waiting.empty() ||
        job->at_fault() || !job->cancel_waiters.empty()) {
      continue;
    }
    // Where the tasks of a job are bound to each other one shard must see all that are placed: they go whole.
    if (job->bound() && (job->placed > 0 || job->delegated_open() > 0 || !job->backoff.empty())) continue;
    int left = job->waiting.size();
    int here = std::min(left, teams_.tasks_within(job->team, job->demand));
    for (auto& [machine, room] : rooms) {
      if ((machine->keeping || machine->cordoned) && small_on(*job, machine->type)) continue;
      while (here > 0 && allowed_on(*job, *machine) && take(room, job->demand)) {
        here--;
        left--;
      }
    }
    if (left <= 0) continue;
    Request request;
    request.demand = job->demand;
    request.assigned_share = static_cast<double>(job->placed + job->done.size()) / spec.task_count;
    request.nothing_placed = job->placed == 0 && job->done.empty() && job->delegated.empty();
    request.bonus = kUrgencyBonus * static_cast<int>(spec.urgency) + age_bonus(*job, wall);
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
    if (gang_tasks > 0) send_queued();
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
      if (!may_go(spec, machine_type, zone, spot)) continue;
      // Winding down or kept for large tasks, it takes only what cannot go anywhere else.
      if (choosy && type >= 0 && small_on(*jobs[i], type)) continue;
      // Best-effort work does not travel where it would not be started, or where other work is to go.
      if (gives_way(*jobs[i]) &&
          ((before_best_effort || (!spot && spec.allows_spot)) && !overlooked(*jobs[i])))
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
            (job.demand[0] <= cores && job.demand[2] <= gpus) || (starving(job) && counts[i] == 0);
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
      const int best = choose(room, listed, weights_);
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
    if (more[0] > teams_.spare_cores(team) || more[2] > teams_.spare_gpus(team)) short_of_[team] = more;
    transfer_quota(team, to, more[0], more[2], false);
  }
  if (delegated > 0) send_queued();
  return delegated;
}

// Bytes that the record of a delegation of the job has for ranges.
double ShardLeader::delegation_budget(const Job& job) const {
  return value_bytes_ - kDelegationFrame - static_cast<double>(dump_json(job.record.to_json()).size());
}

// One conditional write a delegation: it holds while we own the home, the delegate owns its shard, and the
// job is open. It rides in the journal's next write: a copy of that write which comes late finds the active
// segment changed and fails. (Its own key would not tell: a delegation that was made, given back and deleted
// left no trace, and a late copy brought it back while its tasks ran elsewhere.)
void ShardLeader::delegate_tasks(const JobPtr& job, int to, std::uint64_t to_fencing_token, int count) {
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
  const std::string key =
      keys::delegations(to, ref) + std::to_string(fencing_token_) + "." + std::to_string(++attempt_counter_);
  counters_.delegations++;
  counters_.tasks_delegated += static_cast<std::uint64_t>(delegated.range.size());
  spdlog::debug("{}: {} tasks delegated to shard {}", ref, delegated.range.size(), to);
  job->delegated[key] = std::move(delegated);
  unwritten_delegations_.push_back({job, key, to, to_fencing_token});
}

}  // namespace mothslip
