#include "coordination/shard/journal_outcome.hpp"

#include <algorithm>

#include "coordination/shard/delegated_job_check.hpp"
#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

JournalOutcome::JournalOutcome(const ShardContext& context, ShardModel& model, Collaborators collaborators,
                               JournalSegments& segments, JournalWriteBuilder& builder,
                               PendingJournalChanges& pending)
    : ctx_(context),
      model_(model),
      gangs_(collaborators.gangs),
      delegated_jobs_(collaborators.delegated_jobs),
      commands_(collaborators.commands),
      segments_(segments),
      builder_(builder),
      pending_(pending) {}

void JournalOutcome::on_written(const JournalWrite& write, std::uint64_t revision) {
  for (const int number : write.written_segments) segments_.at(number).revision = revision;
  for (const int number : write.deleted_segments) segments_.erase(number);
  for (const auto& [delegation, record] : write.delegations) {
    const auto delegated = delegation.job->delegated.find(delegation.key);
    if (delegated != delegation.job->delegated.end())
      delegated->second.revision = std::max(delegated->second.revision, revision);
  }
  for (const auto& [job, indices] : write.completions) job->mark_durable(indices);
  gangs_.on_gangs_recorded(mark_recorded(write));
  const std::set<JobPtr> stopped = mark_stops_recorded(write);
  drop_removed_placements(write);
  gangs_.on_stops_recorded(stopped);
  for (const PlacementRef& ref : write.added_placements) {
    const auto it = model_.machines().find(ref.machine);
    if (it != model_.machines().end()) commands_.answer(*it->second);
  }
}

// Marks the new placements as recorded. Returns the gangs among their jobs.
std::set<JobPtr> JournalOutcome::mark_recorded(const JournalWrite& write) {
  std::set<JobPtr> gangs;
  for (const PlacementRef& ref : write.added_placements) {
    Placement* placement = model_.find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    if (placement->stage == Placement::Stage::kNew) placement->stage = Placement::Stage::kRecorded;
    if (placement->job->is_gang()) gangs.insert(placement->job);
  }
  return gangs;
}

// Marks the stops of gang placements as recorded. Returns the gangs concerned.
std::set<JobPtr> JournalOutcome::mark_stops_recorded(const JournalWrite& write) {
  std::set<JobPtr> stopped;
  for (const PlacementRef& ref : write.stopping_placements) {
    Placement* placement = model_.find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    placement->stop_recorded = true;
    stopped.insert(placement->job);
  }
  return stopped;
}

void JournalOutcome::drop_removed_placements(const JournalWrite& write) {
  for (const PlacementRef& ref : write.removed_placements) {
    const auto it = model_.machines().find(ref.machine);
    if (it == model_.machines().end()) continue;
    const auto& placements = it->second->placements;
    const auto found = std::find_if(placements.begin(), placements.end(), [&ref](const Placement& placement) {
      return placement.attempt == ref.attempt && placement.index == ref.index;
    });
    if (found == placements.end()) continue;
    model_.drop_placement(*it->second, static_cast<std::size_t>(found - placements.begin()));
  }
}

// A rejection is expected only if jobs were cancelled (by this leader, or by the home shard of tasks
// delegated to this shard), or if the leader of a shard to which tasks were to be delegated was deposed.
// Nothing was written, so the changes that belong to other jobs are tried again. The rejection alone does not
// prove a cancellation at another shard, so the records of such jobs are read.
bool JournalOutcome::on_refused(const JournalWrite& write, const std::vector<std::string>& failed) {
  const std::set<std::string> failed_keys(failed.begin(), failed.end());
  std::set<JobPtr> delegated_here;
  for (const std::string& key : failed_keys) {
    if (!explains_refusal(write, key, delegated_here)) return false;
  }
  for (const JobPtr& job : delegated_here) delegated_jobs_.check(job);
  segments_.undo_created_segments(write);
  undo_delegations(write, failed_keys);
  segments_.undo_moved_placements(write);
  undo_added_placements(write, failed_keys);
  mark_segments_for_rewrite(write);
  pending_.has_new_placements = true;
  if (!write.completions.empty() && pending_.completions_unrecorded_since == 0)
    pending_.completions_unrecorded_since = ctx_.env->now() - PendingJournalChanges::kCompletionDelaySeconds;
  return true;
}

// Whether the guard on the key can have failed although this leader still owns the shard. If the key is the
// job record of tasks delegated to this shard, adds them to `delegated_here`.
bool JournalOutcome::explains_refusal(const JournalWrite& write, const std::string& key,
                                      std::set<JobPtr>& delegated_here) const {
  bool explained = false;
  for (const auto& [name, job] : model_.jobs()) {
    if (keys::job_record(job->home_shard, job->spec().ref) != key) continue;
    if (job->delegated_here()) delegated_here.insert(job);
    explained |= job->delegated_here() || job->cancelling || job->record.cancelled;
  }
  // A job of this shard that is no longer in the model has ended, and so have its new placements.
  const std::string own_records = keys::job_records(ctx_.shard);
  explained |= key.rfind(own_records, 0) == 0 && model_.jobs().count(key.substr(own_records.size())) == 0;
  explained |= write.delegate_fencing_tokens.count(key) > 0;  // the leader of the target shard was deposed
  return explained;
}

void JournalOutcome::undo_delegations(const JournalWrite& write, const std::set<std::string>& failed) {
  for (const auto& [delegation, record] : write.delegations) {
    const bool revoked = failed.count(keys::shard_owner(delegation.target_shard)) > 0 ||
                         failed.count(keys::job_record(ctx_.shard, delegation.job->spec().ref)) > 0;
    if (revoked) {
      builder_.revoke_delegation(delegation);
    } else {
      pending_.delegations.push_back(delegation);
    }
  }
}

void JournalOutcome::undo_added_placements(const JournalWrite& write, const std::set<std::string>& failed) {
  for (const PlacementRef& ref : write.added_placements) {
    Placement* placement = model_.find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    placement->segment = 0;
    if (failed.count(keys::job_record(placement->job->home_shard, placement->job->spec().ref)) > 0)
      model_.free_placement(*placement, 0);
    pending_.has_freed_placements = true;
  }
}

// Marks the segments that the rejected write would have changed, so that they are written later.
void JournalOutcome::mark_segments_for_rewrite(const JournalWrite& write) {
  for (const PlacementRef& ref : write.removed_placements) {
    if (write.created_segments.count(ref.segment) == 0) segments_.at(ref.segment).dirty = true;
  }
  for (const int number : write.written_segments) {
    // A segment whose split was rejected may be too large again. The next write splits it then.
    if (write.created_segments.count(number) == 0) segments_.recheck_size(number);
  }
  segments_.at(JournalSegments::kActiveSegment).dirty = true;
}

}  // namespace mothslip
