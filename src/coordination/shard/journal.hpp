// The shard's journal: a few segments that contain placements, grouped by machine, and completions that no
// other record contains yet (docs/design.md, "The journal"). This class decides when the journal is written,
// and sends the writes.
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

class DelegatedJobCheck;
class GangScheduler;
class RecordCommitter;
class TaskDelegation;
class WorkerCommands;

class Journal {
 public:
  Journal(const ShardContext& context, ShardModel& model, RecordCommitter& committer, GangScheduler& gangs,
          TaskDelegation& delegation, DelegatedJobCheck& delegated_jobs, WorkerCommands& commands);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Adds a segment that was read while loading. `bytes` is the size of its record.
  void add_loaded_segment(int number, std::uint64_t revision, std::size_t bytes);
  // Adds the completions that a segment, read while loading, contains for a job or delegation key.
  void add_loaded_completions(int number, const std::string& name, RangeSet done);

  // Called when a task has been placed. The placement is not in any segment yet.
  void on_placement_added() { pending_.has_new_placements = true; }
  // Called when a placement has ended without completing. `segment` is the one that records it; 0: none does
  // yet.
  void on_placement_freed(int segment);
  // Requests that the segment is written again. Has no effect if it does not exist.
  void mark_dirty(int segment) { segments_.mark_dirty(segment); }
  // Called when a task has completed. No record contains the completion yet.
  void on_completion_added();
  // Called when the maximum size of a value in the state service has been reduced.
  void on_value_limit_reduced() { segments_.on_value_limit_reduced(); }
  // Adds the delegation to the next write that has room for it.
  void add_delegation(NewDelegation delegation) { pending_.delegations.push_back(std::move(delegation)); }
  [[nodiscard]] std::size_t unwritten_delegation_count() const { return pending_.delegations.size(); }
  [[nodiscard]] bool has_freed_placements() const { return pending_.has_freed_placements; }

  // Drops the freed placements that need no write: those that were never recorded, and those of durably
  // cancelled jobs. No leader would start their tasks again. The other freed placements are dropped once
  // their segments have been written without them.
  void release_freed_placements();
  // Writes pending changes to the journal if the write rate allows it now. Returns false if nothing was sent.
  bool write_journal();
  // Called when other records (progress or delegation) contain these completions. `name` is the job's id or
  // delegation key.
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
  double next_write_at_ = 0;  // env time before which the journal is not written again
  bool write_timer_armed_ = false;
};

}  // namespace mothslip
