// The segments of a shard's journal: what each holds, how large its record is, and how contents move between
// them. Placements name their segment themselves (Placement::segment); completions are kept here.
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

// Upper bounds in bytes for the text of a machine's entry in a segment's record, of one placement in it, and
// of the completions of one job or delegation.
[[nodiscard]] std::size_t machine_bytes(const Machine& machine);
[[nodiscard]] std::size_t placement_bytes(const Placement& placement);
[[nodiscard]] std::size_t completion_bytes(const std::string& name, const RangeSet& done);

class JournalSegments {
 public:
  // The segment that takes what is new. Every write of the journal puts it, so that of two copies of one
  // write, however late the second, only one can succeed.
  static constexpr int kActiveSegment = 1;
  static constexpr std::size_t kEmptySegmentBytes = 20;  // of an empty segment's record

  JournalSegments(const ShardContext& context, ShardModel& model, RecordCommitter& committer);

  // While loading: a segment as it was read, whose record takes so many bytes.
  void add_loaded(int number, std::uint64_t revision, std::size_t bytes);
  // The segment; an empty one is added where there is none of this number.
  [[nodiscard]] JournalSegment& at(int number) { return segments_[number]; }
  // By number, in ascending order.
  [[nodiscard]] std::map<int, JournalSegment>& all() { return segments_; }
  void erase(int number) { segments_.erase(number); }

  // The segment, if there is such a one, has to be written again.
  void mark_dirty(int number);
  [[nodiscard]] bool any_dirty() const;
  // The state service takes smaller values than before: finds the segments that have become too large.
  void on_value_limit_reduced();
  // The write was refused: the segment may be so large that it has to be split (again).
  void recheck_size(int number);
  // The job's own record holds these completions of a job or delegation now.
  void erase_completions(const std::string& name, const RangeSet& done);

  // Bytes to which a segment may be filled.
  [[nodiscard]] std::size_t fill_limit_bytes() const;
  // Upper bound of the size of the segment's record, in bytes.
  [[nodiscard]] std::size_t record_bytes(int number) const;
  // The segment's record as it is to be written; the segment must exist.
  [[nodiscard]] SegmentRecord record(int number) const;

  // Adds the active segment and the dirty ones to the write, which marks them as clean.
  void add_dirty(JournalWrite& write);
  // Makes room in the active segment for so many bytes more, sealing it where it is full; false: the write
  // can take no further segment.
  bool reserve(JournalWrite& write, std::size_t needed_bytes);
  // Fills the empty write with the split of the first segment that is too large and has to be written; false:
  // there is none that a transaction could take.
  bool split_oversized(JournalWrite& write);
  // Segments in which nothing counts any more go; when there are many more than needed, the smallest moves
  // into the active one. Only along with other changes, so that it costs no transaction.
  void compact(JournalWrite& write);
  // The write was refused: what it moved goes back to where it was, and the segments it created are gone.
  void undo_created_segments(const JournalWrite& write);
  void undo_moved_placements(const JournalWrite& write);

 private:
  // Which of several segments takes what of the one that is split.
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
  int highest_number_ = kActiveSegment;  // the highest number in use
};

}  // namespace mothslip
