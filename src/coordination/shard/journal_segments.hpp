// The segments of a shard's journal: their contents, the sizes of their records, and how contents move
// between them. Each placement stores its segment number itself (Placement::segment). Completions are stored
// in the segments here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/shard/journal_write.hpp"
#include "coordination/shard/shard_context.hpp"
#include "coordination/shard/shard_model.hpp"

namespace mothslip {

class RecordCommitter;

// Upper bounds of the sizes in bytes of parts of a segment's record: a machine's entry without placements,
// one placement, and the completions of one job or delegation.
[[nodiscard]] std::size_t machine_bytes(const Machine& machine);
[[nodiscard]] std::size_t placement_bytes(const Placement& placement);
[[nodiscard]] std::size_t completion_bytes(const std::string& name, const RangeSet& done);

class JournalSegments {
 public:
  // The segment that takes new placements and completions. Every journal write except a split of another
  // segment puts it on the condition that its revision is unchanged, so that only one of two copies of a
  // write can succeed, however late the second arrives.
  static constexpr int kActiveSegment = 1;
  static constexpr std::size_t kEmptySegmentBytes = 20;

  JournalSegments(const ShardContext& context, ShardModel& model, RecordCommitter& committer);

  // Adds a segment that was read while loading. `bytes` is the size of its record.
  void add_loaded(int number, std::uint64_t revision, std::size_t bytes);
  // Returns the segment with this number. Adds an empty one if there is none.
  [[nodiscard]] JournalSegment& at(int number) { return segments_[number]; }
  // All segments by number, in ascending order.
  [[nodiscard]] std::map<int, JournalSegment>& all() { return segments_; }
  void erase(int number) { segments_.erase(number); }

  // Requests that the segment is written again. Has no effect if it does not exist.
  void mark_dirty(int number);
  [[nodiscard]] bool any_dirty() const;
  // Called when the maximum size of a value has been reduced. Determines which segments exceed it now.
  void on_value_limit_reduced();
  // Called when a write of the segment was rejected. Determines whether the segment must be split (again).
  void recheck_size(int number);
  // Called when other records contain these completions. `name` is the job's id or delegation key.
  void erase_completions(const std::string& name, const RangeSet& done);

  // Size in bytes up to which a segment may be filled.
  [[nodiscard]] std::size_t fill_limit_bytes() const;
  // Upper bound of the size of the segment's record in bytes.
  [[nodiscard]] std::size_t record_bytes(int number) const;
  // Returns the record to write for the segment, which must exist.
  [[nodiscard]] SegmentRecord record(int number) const;

  // Adds the active segment and the dirty segments to the write, and clears their dirty flags.
  void add_dirty(JournalWrite& write);
  // Reserves this many bytes in the active segment. Seals the segment first if it is full. Returns false if
  // that is necessary but the write has no room for another segment.
  bool reserve(JournalWrite& write, std::size_t needed_bytes);
  // Adds to the empty write the split of the first segment that is too large and has to be written. Returns
  // false if there is no such segment whose split fits into a transaction.
  bool split_oversized(JournalWrite& write);
  // Adds the deletion of segments whose content is no longer needed. If there are many more segments than
  // needed, also moves the contents of the smallest into the active segment. Called only for a write that has
  // other changes, so that no extra transaction is needed.
  void compact(JournalWrite& write);
  // Called when the write was rejected: removes the segments that it created, and moves contents back to
  // their previous segments.
  void undo_created_segments(const JournalWrite& write);
  void undo_moved_placements(const JournalWrite& write);

 private:
  // How the contents of a segment are split among several: each placement and each job's completions with the
  // position of the segment that takes them. Position 0 is the segment itself.
  struct SegmentSplit {
    std::size_t segment_count = 1;
    std::vector<std::pair<PlacementRef, std::size_t>> placements;
    std::vector<std::pair<std::string, std::size_t>> completions;
  };
  struct SegmentSize {
    int number = 0;
    std::size_t bytes = 0;
  };
  [[nodiscard]] SegmentSplit plan_split(int number, std::size_t limit_bytes) const;
  void apply_split(JournalWrite& write, int number, const SegmentSplit& split);
  bool seal_active(JournalWrite& write);
  void move_placements(JournalWrite& write, int from, int to);
  [[nodiscard]] std::map<int, std::size_t> placement_counts() const;
  std::optional<SegmentSize> remove_unused(JournalWrite& write);

  const ShardContext& ctx_;
  ShardModel& model_;
  RecordCommitter& committer_;
  std::map<int, JournalSegment> segments_;
  int highest_number_ = kActiveSegment;
};

}  // namespace mothslip
