// What a shard's owner hands over when records were lost, and what an operator decides about tasks that
// nobody could account for.
#include <spdlog/spdlog.h>

#include "coordination/shard/shard_leader.hpp"

namespace mothslip {

// A placement whose record was not yet durable was never launched: its task still waits.
ShardMemory ShardLeader::memory() const {
  ShardMemory out;
  out.shard = id_;
  out.token = fencing_token_;
  for (const auto& [name, job] : jobs_) {
    JobMemory item;
    item.record = job->record;
    item.done = job->done;
    item.delegated_here = job->delegated_here();
    if (const auto held = unaccounted_.find(name); held != unaccounted_.end()) {
      item.held = held->second.held_of(job->spec().task_count);
      item.may_have_ended = held->second.silent();
    }
    for (const auto& [key, delegated] : job->delegated) {
      RangeSet open = delegated.range;
      open.erase(delegated.done);
      if (!open.empty()) item.delegated[keys::delegation_target(key)].insert(open);
    }
    out.jobs.push_back(std::move(item));
  }
  for (const auto& [ref, record] : unaccounted_) {
    if (record.all && !record.rerun && jobs_.count(ref) == 0) out.without_description.push_back(ref);
  }
  for (const auto& [name, machine] : machines_) {
    MachineRecord record = machine->record;
    record.placements.clear();
    for (const Placement& placement : machine->placements) {
      if (placement.stage == Placement::Stage::kNew) continue;
      record.placements.push_back({placement.job->spec().ref, placement.index, placement.attempt});
    }
    if (!record.placements.empty()) out.machines.emplace(name, std::move(record));
  }
  return out;
}

void ShardLeader::load_unaccounted() {
  const std::string prefix = keys::kUnaccounted + std::to_string(id_) + "/";
  ctx_.state->list(RequestPriority::kLease, prefix,
                   alive([this, prefix](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                     if (outcome != Outcome::kOk) return retry_load(&ShardLeader::load_unaccounted);
                     for (const StateItem& item : items) {
                       auto record = UnaccountedRecord::from_json(item.data);
                       // (Nothing of a job may start while it is not known which of its tasks are held.)
                       if (!record)
                         record =
                             UnaccountedRecord{true, {}, true, false, "its record cannot be read", "", ""};
                       unaccounted_.emplace(item.key.substr(prefix.size()), std::move(*record));
                     }
                     load_job_records();
                   }));
}

bool ShardLeader::resolve_held(const std::string& ref, HeldDecision decision) {
  const auto found = unaccounted_.find(ref);
  if (found == unaccounted_.end()) return false;
  const auto known = jobs_.find(ref);
  if (known == jobs_.end()) {
    resolve_without_description(ref, decision);
    return true;
  }
  const JobPtr job = known->second;
  if (job->over() || job->finishing || job->cancelling) return true;
  switch (decision) {
    case HeldDecision::kDone:
      count_held_as_done(job);
      break;
    case HeldDecision::kRerun:
      start_held(job);
      break;
    case HeldDecision::kCancelled:
      job->cancel_waiters.push_back({Responder(), ctx_.env->now()});
      send_queued();
      retry_cancellations();
      break;
  }
  return true;
}

// The ending that follows is what makes it durable: until then an operator may have to say it again.
void ShardLeader::count_held_as_done(const JobPtr& job) {
  const RangeSet held = unaccounted_.at(job->spec().ref).held_of(job->spec().task_count);
  spdlog::info("{}: {} unaccounted tasks count as done, by an operator", job->spec().ref, held.size());
  for (const auto& [first, last] : held.ranges()) {
    for (int index = first; index < last; index++) mark_done(job, index);
  }
  send_queued();
}

void ShardLeader::start_held(const JobPtr& job) {
  const std::string& ref = job->spec().ref;
  Transaction txn = guarded();
  txn.remove(keys::unaccounted(id_, ref));
  send_commit(RequestPriority::kRest, kRestSlot, txn, [this, job](std::uint64_t) {
    const auto found = unaccounted_.find(job->spec().ref);
    if (found == unaccounted_.end()) return;  // said twice
    RangeSet held = found->second.held_of(job->spec().task_count);
    unaccounted_.erase(found);
    held.erase(job->done);
    spdlog::info("{}: {} unaccounted tasks start again, by an operator", job->spec().ref, held.size());
    if (job->over()) return;
    job->waiting.insert(held);
    wake();
  });
}

// Nobody knows the job's description: it ends at once, or waits for its user to submit it again.
void ShardLeader::resolve_without_description(const std::string& ref, HeldDecision decision) {
  const std::string key = keys::unaccounted(id_, ref);
  Transaction txn = guarded();
  txn.guard(keys::job_record(id_, ref), 0);
  if (decision == HeldDecision::kRerun) {
    UnaccountedRecord record = unaccounted_.at(ref);
    record.rerun = true;
    txn.put(key, record.to_json());
  } else {
    const bool done = decision == HeldDecision::kDone;
    txn.put(keys::ending(id_, ref), ending_json(wire_name(done ? JobPhase::kDone : JobPhase::kCancelled), 0));
    txn.remove(key);
  }
  const auto written = [this, ref, decision](std::uint64_t) {
    const auto found = unaccounted_.find(ref);
    if (found == unaccounted_.end()) return;
    if (decision == HeldDecision::kRerun) {
      found->second.rerun = true;
    } else {
      unaccounted_.erase(found);
    }
  };
  // (The description has come meanwhile: the operator says it again.)
  send_commit(RequestPriority::kRest, kRestSlot, txn, written,
              [](const std::vector<std::string>&) { return true; });
}

}  // namespace mothslip
