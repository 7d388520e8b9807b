// What a shard writes besides its journal: endings, progress, cancellations; and how each write is settled.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/shard/shard_leader.hpp"

namespace mothslip {

namespace {
constexpr double kLeastValueBytes = 1024;

// Two shards write these: the home shard and the delegate.
bool is_delegation(const std::string& key) { return key.rfind(keys::kDelegations, 0) == 0; }
}  // namespace

Transaction ShardLeader::guarded() const {
  Transaction txn;
  txn.guard(keys::shard(id_), fencing_token_);
  return txn;
}

// One transaction is repeated until its fate is certain. When a copy of it went unanswered, a repeat can find
// that copy carried out: it is then refused for the revisions of the very keys that it changes. What shows
// this is a refusal for a key that nobody but this owner writes, one transaction at a time: only the copy can
// have changed it. Delegations show nothing of the kind by their revisions, for two shards write them: of a
// transaction that changes nothing else, what is read must be what was written. (A slow state service leaves
// many copies unanswered; giving the shard up each time once made takeovers of what was only delay. And a
// refusal for any key was once taken for success: an ending was told that was never written, because a
// delegation that goes with the job had changed.)
struct ShardLeader::Write {
  RequestPriority priority = RequestPriority::kRest;
  int slot = 0;
  std::string body;
  int changes = 0;
  std::set<std::string> own;  // keys it changes
  bool unanswered = false;    // a copy may have been carried out
  struct Effect {
    std::string key;
    std::optional<Json> data;  // none: the key is gone
  };
  std::vector<Effect> effects;  // what a read can show of it; looked for when its answer is lost
  std::function<void(std::uint64_t)> done;
  Conflict conflict;
  // Puts of keys that nobody else writes; where there is no such key, puts of delegations, then deletions.
  [[nodiscard]] std::vector<Effect> visible_effects() const;
};

std::vector<ShardLeader::Write::Effect> ShardLeader::Write::visible_effects() const {
  const bool only_delegations = std::all_of(own.begin(), own.end(), is_delegation);
  const Json changes_made = parse_json(body)["then"];
  std::vector<Effect> out;
  for (const Json& change : changes_made) {
    if (!change.contains("put")) continue;
    const auto key = change["put"].get<std::string>();
    if (only_delegations || !is_delegation(key)) out.push_back({key, change["data"]});
  }
  for (const Json& change : changes_made) {
    if (only_delegations && !change.contains("put"))
      out.push_back({change["delete"].get<std::string>(), std::nullopt});
  }
  return out;
}

void ShardLeader::send_commit(RequestPriority priority, int slot, const Transaction& txn,
                              std::function<void(std::uint64_t)> done, Conflict conflict) {
  inflight_[slot]++;
  auto write = std::make_shared<Write>();
  write->priority = priority;
  write->slot = slot;
  write->body = txn.body();
  write->changes = static_cast<int>(txn.then.size());
  for (const Json& change : txn.then)
    write->own.insert(change.at(change.contains("put") ? "put" : "delete").get<std::string>());
  write->done = std::move(done);
  write->conflict = std::move(conflict);
  try_commit(write);
}

void ShardLeader::try_commit(const std::shared_ptr<Write>& write) {
  ctx_.state->commit_body(
      write->priority, write->body, write->changes, alive([this, write](const StateReply& reply) {
        if (reply.ok()) return settle(*write, reply.revision());
        if (reply.outcome == Outcome::kRefused || reply.outcome == Outcome::kUnknown) {
          if (stuck_since_ == 0) stuck_since_ = ctx_.env->now();
          write->unanswered |= reply.outcome == Outcome::kUnknown;
          ctx_.env->after(ctx_.env->uniform(0.15, 0.4), alive([this, write] { try_commit(write); }));
          return;
        }
        on_refused(write, reply);
      }));
}

void ShardLeader::on_refused(const std::shared_ptr<Write>& write, const StateReply& reply) {
  std::vector<std::string> failed;
  if (reply.outcome == Outcome::kConflict && reply.body.is_object() && reply.body.contains("failed")) {
    for (const Json& key : reply.body["failed"]) failed.push_back(key.get<std::string>());
  }
  const bool owner = std::find(failed.begin(), failed.end(), keys::shard(id_)) == failed.end();
  const bool only_delegations = std::all_of(write->own.begin(), write->own.end(), is_delegation);
  bool own = false;
  bool maybe_done = false;
  for (const std::string& key : failed) {
    if (write->own.count(key) == 0) continue;
    own = true;
    maybe_done |= only_delegations || !is_delegation(key);
  }
  if (owner && write->unanswered && maybe_done) {
    write->effects = write->visible_effects();
    return find_revision(write, 0, reply.revision());
  }
  const bool segment = std::any_of(failed.begin(), failed.end(), [this](const std::string& key) {
    return key.rfind(keys::segments(id_), 0) == 0;
  });
  if (owner && segment && !write->unanswered) ctx_.contradicted("a page of the journal has changed");
  const bool too_large = reply.outcome == Outcome::kInvalid && !write->unanswered && shrink_writes();
  if ((too_large || (!failed.empty() && owner && !own)) && write->conflict && write->conflict(failed)) {
    stuck_since_ = 0;
    inflight_[write->slot]--;
    send_queued();
    return;
  }
  ctx_.restart_shard("a commit was turned down: " + dump_json(reply.body));
}

// The state service calls a write invalid: its limits must have fallen below all that was announced. What is
// written from now on is smaller. False where it can't be.
bool ShardLeader::shrink_writes() {
  if (value_bytes_ / 2 < kLeastValueBytes) return false;
  value_bytes_ /= 2;
  spdlog::warn("shard {}: the state service takes less than it announced: values of {} bytes from now on",
               id_, value_bytes_);
  for (auto& [number, segment] : segments_)
    segment.oversized = static_cast<double>(segment_bytes(number)) > value_bytes_;
  ctx_.state->shrink_transactions();
  return true;
}

// Its answer is lost: the revision is read from the first of its puts that is still there. A delegation that
// it put and that is gone was complete, which only we can have written, and its home has deleted it.
void ShardLeader::find_revision(const std::shared_ptr<Write>& write, std::size_t at, std::uint64_t revision) {
  if (at == write->effects.size()) return settle(*write, revision);
  ctx_.state->get(
      write->priority, write->effects[at].key, alive([this, write, at, revision](const StateReply& reply) {
        const Write::Effect& effect = write->effects[at];
        if (reply.outcome == Outcome::kMissing) {
          return effect.data ? find_revision(write, at + 1, revision) : settle(*write, revision);
        }
        if (!reply.ok() || !reply.body.contains("data")) {
          ctx_.env->after(0.3, alive([this, write, at, revision] { find_revision(write, at, revision); }));
          return;
        }
        if (!is_delegation(effect.key) || (effect.data && reply.body["data"] == *effect.data)) {
          return settle(*write, reply.body.value("stamp", std::uint64_t{0}));
        }
        ctx_.restart_shard("a block that it writes was changed: " + effect.key);
      }));
}

void ShardLeader::settle(const Write& write, std::uint64_t revision) {
  stuck_since_ = 0;
  inflight_[write.slot]--;
  write.done(revision);
  send_queued();
}

void ShardLeader::send_queued() {
  if (!active_ || sending_queued_) return;
  sending_queued_ = true;
  while (inflight_[kCancelSlot] < kSlotLimit[kCancelSlot] && commit_cancels()) {
  }
  if (has_freed_placements_) release_freed();
  write_journal();
  while (inflight_[kDoneSlot] < kSlotLimit[kDoneSlot] && (commit_endings() || commit_progress())) {
  }
  while (inflight_[kDoneSlot] < kSlotLimit[kDoneSlot] && commit_delegations()) {
  }
  while (inflight_[kRestSlot] < kSlotLimit[kRestSlot] &&
         (commit_rest() || note_cancels() || commit_discarded())) {
  }
  sending_queued_ = false;
}

bool ShardLeader::commit_cancels() {
  for (auto& [ref, job] : jobs_) {
    if (job->delegated_here() || job->cancel_waiters.empty() || job->finishing || job->cancelling ||
        job->record.aborted)
      continue;
    if (job->complete()) continue;  // commit_dones ends it
    job->cancelling = true;
    JobRecord job_record = job->record;
    job_record.aborted = true;
    job_record.spread = !job->all_delegated_complete();
    Transaction txn = guarded();
    txn.guard(keys::job_record(id_, ref), job->job_revision);
    txn.put(keys::job_record(id_, ref), job_record.to_json());
    send_commit(RequestPriority::kCancel, kCancelSlot, txn,
                [this, job = job, job_record](std::uint64_t revision) {
                  job->cancelling = false;
                  job->record = job_record;
                  job->job_revision = revision;
                  job->waiting.clear();
                  job->backoff.clear();
                  spdlog::info("{} cancelled, {} tasks to stop", job->spec().ref, job->placed);
                  cancelled(job);
                });
    stop_directly(job);
    return true;
  }
  return false;
}

// ---------------------------------------------------------------- jobs

// Jobs whose ending can be written, urgent ones first. (A swarm of one-task jobs brings more endings than the
// state service takes changes: in the order of their names, urgent jobs were told to be done minutes late.)
std::vector<JobPtr> ShardLeader::jobs_to_end() const {
  std::vector<JobPtr> out;
  for (const auto& [name, job] : jobs_) {
    const bool busy = job->finishing || job->cancelling || job->record.aborted || job->progress_inflight;
    if (!job->delegated_here() && !busy && job->complete() && job->all_delegated_complete())
      out.push_back(job);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const JobPtr& a, const JobPtr& b) { return goes_before(*a, *b); });
  return out;
}

// Written with the ending, or gone before it: the record of its progress and the tasks delegated of it.
// (Further records of progress go afterwards.)
std::size_t ShardLeader::changes_to_end(const Job& job) const {
  return 3 + job.delegated.size() + unaccounted_.count(job.spec().ref);
}

void ShardLeader::add_ending(Transaction& txn, const Job& job, const char* phase) const {
  const std::string& ref = job.spec().ref;
  txn.guard(keys::job_record(id_, ref), job.job_revision);
  txn.guard(keys::progress(id_, ref), job.progress_revision);
  txn.put(keys::ending(id_, ref), ending_json(phase, job.spec().task_count));
  txn.remove(keys::job_record(id_, ref));
  if (unaccounted_.count(ref) > 0) txn.remove(keys::unaccounted(id_, ref));
  if (job.progress_revision != 0) txn.remove(keys::progress(id_, ref));
  for (const auto& [key, delegated] : job.delegated) {
    txn.guard(key, delegated.revision);
    txn.remove(key);
  }
}

bool ShardLeader::commit_endings() {
  Transaction txn = guarded();
  std::vector<JobPtr> finished;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (const JobPtr& job : jobs_to_end()) {
    if (txn.then.size() + changes_to_end(*job) > most) continue;
    job->finishing = true;
    counters_.endings++;
    add_ending(txn, *job, "done");
    finished.push_back(job);
  }
  if (finished.empty()) return false;
  const auto done = [this, finished](std::uint64_t) {
    for (const JobPtr& job : finished) on_ended(job);
  };
  // A cancellation came in between: what belongs to other jobs is tried again.
  const auto conflict = [this, finished](const std::vector<std::string>& failed) {
    if (!only_cancelled(failed)) return false;
    for (const JobPtr& job : finished) job->finishing = false;
    return true;
  };
  send_commit(RequestPriority::kDone, kDoneSlot, txn, done, conflict);
  return true;
}

void ShardLeader::on_ended(const JobPtr& job) {
  const std::string ref = job->spec().ref;
  spdlog::info("{} done after {:.1f} s", ref, ctx_.env->wall() - job->record.submitted);
  for (const Job::CancelWaiter& waiter : job->cancel_waiters) {
    waiter.responder.send(200, cancellation_body(ref, JobPhase::kDone));
  }
  ctx_.ended(ref, {JobPhase::kDone, job->spec().task_count, 0});
  job->unsaved.clear();
  discard_progress_chunks(*job);
  forget(ref);
}

// Whether all that a write was refused for is that jobs of ours were cancelled meanwhile.
bool ShardLeader::only_cancelled(const std::vector<std::string>& failed) const {
  return std::all_of(failed.begin(), failed.end(), [this](const std::string& key) {
    const auto it = jobs_.find(key.substr(key.rfind('/') + 1));
    return key.rfind(keys::job_records(id_), 0) == 0 &&
           (it == jobs_.end() || it->second->cancelling || it->second->record.aborted);
  });
}

bool ShardLeader::remove_delegations_of_cancelled(const JobPtr& job, std::size_t most) {
  Transaction txn = guarded();
  std::vector<std::string> removed;
  for (const auto& [key, delegated] : job->delegated) {
    if (removed.size() == most) break;
    txn.guard(key, delegated.revision);
    txn.remove(key);
    removed.push_back(key);
  }
  job->progress_inflight = true;
  send_commit(RequestPriority::kRest, kRestSlot, txn, [job, removed](std::uint64_t) {
    job->progress_inflight = false;
    for (const std::string& key : removed) job->delegated.erase(key);
  });
  return true;
}

// Cancelled jobs whose last task is known to be gone.
bool ShardLeader::commit_rest() {
  Transaction txn = guarded();
  std::vector<std::string> cleaned;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (auto& [name, job] : jobs_) {
    if (!job->record.aborted || job->cleaning || job->placed > 0 || job->progress_inflight) continue;
    if (job->delegated_here()) {
      // A delegation whose record is complete is the home's to delete.
      if (job->complete() && job->unsaved.empty()) continue;
      if (txn.then.size() + 1 > most) break;
      txn.guard(name, job->delegation_revision);
      txn.remove(name);
    } else {
      if (!job->all_delegated_complete()) continue;  // their delegates delete them
      const std::size_t needs = changes_to_end(*job);
      if (txn.then.size() + needs > most && !txn.then.empty()) break;
      // Too many delegations to go along with the ending: they go first.
      if (needs > most) return remove_delegations_of_cancelled(job, most);
      add_ending(txn, *job, "aborted");
    }
    job->cleaning = true;
    cleaned.push_back(name);
  }
  if (cleaned.empty()) return false;
  send_commit(RequestPriority::kRest, kRestSlot, txn, [this, cleaned](std::uint64_t) {
    for (const std::string& name : cleaned) {
      // Its delegations are gone or complete: their delegates know, or have nothing left of it.
      const auto it = jobs_.find(name);
      if (it == jobs_.end()) continue;
      if (!it->second->delegated_here()) confirm(it->second);
      discard_progress_chunks(*it->second);
      forget(name);
    }
  });
  return true;
}

}  // namespace mothslip
