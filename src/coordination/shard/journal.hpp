// The shard's journal: a few segments that hold placements by machine, and completions that no other record
// holds yet (docs/design.md, "The journal").
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

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
  // The segment that takes what is new. Every write of the journal puts it, so that of two copies of one
  // write, however late the second, only one can succeed.
  static constexpr int kActiveSegment = 1;
  // A delegation that is to be written with the journal's next write.
  struct NewDelegation {
    JobPtr job;
    std::string key;
    int to = 0;                          // shard
    std::uint64_t to_fencing_token = 0;  // of its leader
  };

  // While loading: a segment as it was read.
  void add_loaded_segment(int number, std::uint64_t revision, std::size_t bytes);
  // While loading: completions that a segment holds for a job or delegation.
  void add_loaded_completions(int number, const std::string& name, RangeSet done);

  void note_new_placement() { has_new_placements_ = true; }
  // A placement recorded in this segment (0: in none yet) has ended without completing.
  void note_freed_placement(int segment);
  // The segment has to be written again.
  void mark_dirty(int segment);
  void note_completion();
  // The state service takes smaller values than before.
  void on_values_shrunk();
  void add_delegation(NewDelegation delegation) { unwritten_delegations_.push_back(std::move(delegation)); }
  [[nodiscard]] std::size_t unwritten_delegation_count() const { return unwritten_delegations_.size(); }
  [[nodiscard]] bool has_freed_placements() const { return has_freed_placements_; }

  // What was freed before it was recorded, or belongs to a job that is durably cancelled, needs no write: no
  // owner would start it again. The rest goes once its segment is written without it.
  void release_freed();
  // Writes what is new, if the rate of writes allows it now.
  bool write_journal();
  // Upper bound of the size of the segment's record.
  std::size_t segment_bytes(int number) const;
  // The job's own record holds these now.
  void on_completions_recorded(const JobPtr& job, const std::string& name, const RangeSet& done);

 private:
  struct JournalWrite;
  struct SegmentSplit;
  [[nodiscard]] double write_interval(std::size_t changes) const;
  [[nodiscard]] std::size_t segment_limit() const;
  [[nodiscard]] bool completions_due();
  [[nodiscard]] bool needs_journal_entry(const Job& job) const;
  [[nodiscard]] JournalWrite new_journal_write() const;
  void send_journal_write(JournalWrite commit);
  bool split_oversized_segment();
  [[nodiscard]] SegmentSplit plan_split(int number, std::size_t limit) const;
  SegmentRecord segment_record(int number) const;
  bool seal_active_segment(JournalWrite& commit);
  bool reserve_active_segment(JournalWrite& commit, std::size_t needs);
  std::set<JobPtr> add_gangs(JournalWrite& commit);
  void add_new_placements(JournalWrite& commit);
  void add_delegations(JournalWrite& commit);
  void revoke_delegation(const NewDelegation& delegation);
  void add_completions(JournalWrite& commit);
  void compact_segments(JournalWrite& commit);
  void on_journal_written(const JournalWrite& commit, std::uint64_t revision);
  bool on_journal_refused(const JournalWrite& commit, const std::vector<std::string>& failed);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  GangScheduler& gangs_;
  TaskDelegation& delegation_;
  WorkerCommands& commands_;
  CallbackGuard alive_;
  std::map<int, JournalSegment> segments_;
  std::deque<NewDelegation> unwritten_delegations_;
  int last_segment_ = kActiveSegment;  // the highest number in use
  double next_write_at_ = 0;           // no earlier is the journal written again
  bool write_timer_armed_ = false;     // a timer runs until then
  bool has_new_placements_ = false;
  bool has_freed_placements_ = false;
  double unrecorded_since_ = 0;  // the oldest completion that is not durable; 0: none
  std::string last_written_;     // machine whose new placements went last
};

}  // namespace mothslip
