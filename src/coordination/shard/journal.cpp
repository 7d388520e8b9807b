#include "coordination/shard/journal.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
// Part of the shard's share of the write rate that the journal may use.
constexpr double kJournalBudgetFraction = 0.7;
}  // namespace

Journal::Journal(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                 GangScheduler& gangs, TaskDelegation& delegation, DelegatedJobCheck& delegated_jobs,
                 WorkerCommands& commands)
    : ctx_(context),
      model_(model),
      committer_(committer),
      segments_(ctx_, model_, committer_),
      builder_(ctx_, model_, delegation, segments_, pending_),
      outcome_(ctx_, model_, {gangs, delegated_jobs, commands}, segments_, builder_, pending_) {}

void Journal::add_loaded_segment(int number, std::uint64_t revision, std::size_t bytes) {
  segments_.add_loaded(number, revision, bytes);
}

void Journal::add_loaded_completions(int number, const std::string& name, RangeSet done) {
  segments_.at(number).done[name] = std::move(done);
}

void Journal::on_placement_freed(int segment) {
  pending_.has_freed_placements = true;
  mark_dirty(segment);
}

void Journal::on_completion_added() {
  if (pending_.completions_unrecorded_since == 0) pending_.completions_unrecorded_since = ctx_.env->now();
}

void Journal::release_freed_placements() {
  pending_.has_freed_placements = false;
  for (auto& [name, machine] : model_.machines()) {
    for (std::size_t i = 0; i < machine->placements.size();) {
      const Placement& placement = machine->placements[i];
      if (placement.stage == Placement::Stage::kFreeing &&
          (placement.segment == 0 || placement.job->record.cancelled)) {
        model_.drop_placement(*machine, i);
      } else {
        i++;
      }
    }
  }
}

// Returns the minimum time between two journal writes, in seconds, which keeps the shard within its share of
// the write rate. The interval is shorter while most of the write budget is unused. Otherwise writes are less
// frequent and each contains more.
double Journal::write_interval_s(std::size_t changes) const {
  const double shard_changes_per_s = ctx_.state->write_limit_rps() / ctx_.shard_count;
  const double interval_s =
      static_cast<double>(changes) / std::max(0.1, kJournalBudgetFraction * shard_changes_per_s);
  return ctx_.state->write_token_fraction() > 0.6 ? interval_s / 4 : interval_s;
}

// Completions that are about to be written to the job's own progress record or with its ending need no
// journal write. When they were written to the journal as well, these writes used up the write budget that
// those records were waiting for: with small segments, a shard did nothing but write its journal for minutes.
bool Journal::completions_due() {
  const double now = ctx_.env->now();
  if (pending_.completions_unrecorded_since == 0 ||
      now - pending_.completions_unrecorded_since < PendingJournalChanges::kCompletionDelaySeconds)
    return false;
  if (std::any_of(model_.jobs().begin(), model_.jobs().end(),
                  [](const auto& item) { return JournalWriteBuilder::needs_journal_entry(*item.second); }))
    return true;
  pending_.completions_unrecorded_since = now;
  return false;
}

bool Journal::write_due() {
  const bool completions = completions_due();
  return completions || pending_.has_new_placements || segments_.any_dirty() || !pending_.delegations.empty();
}

void Journal::arm_write_timer(double delay_s) {
  if (write_timer_armed_) return;
  write_timer_armed_ = true;
  ctx_.env->after(delay_s, callback_guard_([this] {
                    write_timer_armed_ = false;
                    committer_.send_due_writes();
                  }));
}

bool Journal::write_journal() {
  if (!committer_.has_room(RecordCommitter::kJournalSlot)) return false;
  const double now = ctx_.env->now();
  if (!write_due()) return false;
  if (now < next_write_at_) {
    arm_write_timer(next_write_at_ - now);
    return false;
  }
  JournalWrite write = new_journal_write();
  if (segments_.split_oversized(write)) {
    send_journal_write(std::move(write));
    return true;
  }
  // An oversized active segment that could not be split cannot be written until more of its placements have
  // ended.
  if (segments_.at(JournalSegments::kActiveSegment).oversized) return false;
  segments_.add_dirty(write);
  if (pending_.has_new_placements) builder_.add_new_placements(write);
  builder_.add_delegations(write);
  builder_.add_completions(write);
  segments_.compact(write);
  send_journal_write(std::move(write));
  return true;
}

JournalWrite Journal::new_journal_write() const {
  JournalWrite write;
  write.txn = committer_.guarded_transaction();
  write.max_changes = static_cast<std::size_t>(ctx_.state->max_writes_per_txn());
  write.max_guards = 4 * static_cast<std::size_t>(ctx_.settings->txn_ops);
  return write;
}

void Journal::add_segments_to_transaction(JournalWrite& write) {
  for (const int number : write.written_segments) {
    write.txn.guard(keys::segment(ctx_.shard, number), segments_.at(number).revision);
    write.txn.put(keys::segment(ctx_.shard, number), segments_.record(number).to_json());
  }
  for (const int number : write.deleted_segments) {
    write.txn.guard(keys::segment(ctx_.shard, number), segments_.at(number).revision);
    write.txn.remove(keys::segment(ctx_.shard, number));
  }
}

// Lists, for the segments to be written, the placements that their new records no longer contain, and the
// placements of gangs that the records mark as being stopped.
void Journal::list_ended_placements(JournalWrite& write) const {
  for (const auto& [name, machine] : model_.machines()) {
    for (const Placement& placement : machine->placements) {
      if (write.written_segments.count(placement.segment) == 0) continue;
      const PlacementRef ref{name, placement.attempt, placement.index, placement.segment};
      if (placement.stage == Placement::Stage::kFreeing) {
        write.removed_placements.push_back(ref);
      } else if (placement.job->attempt.stopping) {
        write.stopping_placements.push_back(ref);
      }
    }
  }
}

void Journal::send_journal_write(JournalWrite write) {
  add_segments_to_transaction(write);
  for (const auto& [delegation, record] : write.delegations) {
    write.txn.guard(delegation.key, 0);
    write.txn.put(delegation.key, record);
  }
  for (const auto& [key, revision] : write.job_revisions) write.txn.guard(key, revision);
  for (const auto& [key, fencing_token] : write.delegate_fencing_tokens) write.txn.guard(key, fencing_token);
  list_ended_placements(write);
  next_write_at_ = ctx_.env->now() + write_interval_s(write.change_count());
  model_.counters().journal_writes++;
  model_.counters().journal_changes += write.change_count();
  const auto shared = std::make_shared<JournalWrite>(std::move(write));
  committer_.commit(
      RequestPriority::kLaunch, RecordCommitter::kJournalSlot, shared->txn,
      [this, shared](std::uint64_t revision) { outcome_.on_written(*shared, revision); },
      [this, shared](const std::vector<std::string>& failed) {
        return outcome_.on_refused(*shared, failed);
      });
}

void Journal::on_completions_recorded(const JobPtr& job, const std::string& name, const RangeSet& done) {
  job->mark_durable(done);
  segments_.erase_completions(name, done);
}

}  // namespace mothslip
