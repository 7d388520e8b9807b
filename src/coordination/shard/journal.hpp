// The shard's journal: a few segments that hold placements by machine, and completions that no other record
// holds yet (docs/design.md, "The journal"). This module decides when it is written and sends the writes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "coordination/shard/journal_outcome.hpp"
#include "coordination/shard/journal_segments.hpp"
#include "coordination/shard/journal_write.hpp"
#include "coordination/shard/journal_write_builder.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"
#include "transport/callback_guard.hpp"

namespace mothslip {

class GangScheduler;
class RecordCommitter;
class TaskDelegation;
class WorkerCommands;

class Journal {
 public:
  Journal(const ShardContext& context, ShardModel& model, RecordCommitter& committer, GangScheduler& gangs,
          TaskDelegation& delegation, WorkerCommands& commands);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // While loading: a segment as it was read, whose record takes so many bytes.
  void add_loaded_segment(int number, std::uint64_t revision, std::size_t bytes);
  // While loading: completions that a segment holds for a job or delegation.
  void add_loaded_completions(int number, const std::string& name, RangeSet done);

  // A task was placed; its placement is in no segment yet.
  void on_placement_added() { pending_.has_new_placements = true; }
  // A placement recorded in this segment (0: in none yet) has ended without completing.
  void on_placement_freed(int segment);
  // The segment has to be written again.
  void mark_dirty(int segment) { segments_.mark_dirty(segment); }
  // A task has completed, which no record holds yet.
  void on_completion_added();
  // The state service takes smaller values than before.
  void on_value_limit_reduced() { segments_.on_value_limit_reduced(); }
  // The delegation goes with the next write that has room for it.
  void add_delegation(NewDelegation delegation) { pending_.delegations.push_back(std::move(delegation)); }
  [[nodiscard]] std::size_t unwritten_delegation_count() const { return pending_.delegations.size(); }
  [[nodiscard]] bool has_freed_placements() const { return pending_.has_freed_placements; }

  // What was freed before it was recorded, or belongs to a job that is durably cancelled, needs no write: no
  // leader would start it again. The rest goes once its segment is written without it.
  void release_freed_placements();
  // Writes what is new, if the rate of writes allows it now; false: nothing was sent.
  bool write_journal();
  // The job's own record holds these completions of a job or delegation now.
  void on_completions_recorded(const JobPtr& job, const std::string& name, const RangeSet& done);

 private:
  [[nodiscard]] double write_interval_s(std::size_t changes) const;
  [[nodiscard]] bool completions_due();
  [[nodiscard]] bool write_due();
  void arm_write_timer(double delay_s);
  [[nodiscard]] JournalWrite new_journal_write() const;
  void add_segments_to_transaction(JournalWrite& write);
  void list_ended_placements(JournalWrite& write) const;
  void send_journal_write(JournalWrite write);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  CallbackGuard callback_guard_;
  PendingJournalChanges pending_;
  JournalSegments segments_;
  JournalWriteBuilder builder_;
  JournalOutcome outcome_;
  double next_write_at_ = 0;        // env time; no earlier is the journal written again
  bool write_timer_armed_ = false;  // a timer runs until then
};

}  // namespace mothslip
