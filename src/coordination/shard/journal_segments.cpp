#include "coordination/shard/journal_segments.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
// Segments are filled up to this part of the maximum value size.
constexpr double kSegmentFillFraction = 0.95;
// The same limit for a segment that was written under a larger maximum value size and is split.
constexpr double kSplitFillFraction = 0.97;

// Whether the segment's record contains the placement. Freed placements are left out of the record.
bool is_recorded_in(const Placement& placement, int segment) {
  return placement.segment == segment && placement.stage != Placement::Stage::kFreeing;
}
}  // namespace

std::size_t machine_bytes(const Machine& machine) {
  return 70 + machine.name.size() + machine.record.address.size() + machine.record.machine_type.size() +
         machine.record.zone.size();
}

std::size_t placement_bytes(const Placement& placement) {
  // Punctuation and the task index.
  constexpr std::size_t kPlacementOverheadBytes = 12;
  const std::size_t attempt = std::to_string(placement.attempt).size();
  // The attempt of a gang may be listed a second time, among the attempts that are being stopped.
  return kPlacementOverheadBytes + placement.job->spec().ref.size() +
         attempt * (placement.job->is_gang() ? 2 : 1);
}

std::size_t completion_bytes(const std::string& name, const RangeSet& done) {
  return name.size() + 8 + done.text_bytes();
}

JournalSegments::JournalSegments(const ShardContext& context, ShardModel& model, RecordCommitter& committer)
    : ctx_(context), model_(model), committer_(committer) {}

void JournalSegments::add_loaded(int number, std::uint64_t revision, std::size_t bytes) {
  highest_number_ = std::max(highest_number_, number);
  JournalSegment& segment = segments_[number];
  segment.revision = revision;
  segment.oversized = static_cast<double>(bytes) > committer_.max_value_bytes();
}

void JournalSegments::mark_dirty(int number) {
  const auto found = segments_.find(number);
  if (found != segments_.end()) found->second.dirty = true;
}

bool JournalSegments::any_dirty() const {
  return std::any_of(segments_.begin(), segments_.end(), [](const auto& item) { return item.second.dirty; });
}

void JournalSegments::on_value_limit_reduced() {
  for (auto& [number, segment] : segments_)
    segment.oversized = static_cast<double>(record_bytes(number)) > committer_.max_value_bytes();
}

void JournalSegments::recheck_size(int number) {
  segments_[number].oversized |=
      static_cast<double>(record_bytes(number)) > kSplitFillFraction * committer_.max_value_bytes();
}

void JournalSegments::erase_completions(const std::string& name, const RangeSet& done) {
  for (auto& [number, segment] : segments_) {
    const auto it = segment.done.find(name);
    if (it == segment.done.end()) continue;
    it->second.erase(done);
    if (it->second.empty()) segment.done.erase(it);
  }
}

std::size_t JournalSegments::fill_limit_bytes() const {
  return static_cast<std::size_t>(kSegmentFillFraction * committer_.max_value_bytes());
}

std::size_t JournalSegments::record_bytes(int number) const {
  std::size_t bytes = kEmptySegmentBytes;
  for (const auto& [name, machine] : model_.machines()) {
    bool machine_has_entry = false;
    for (const Placement& placement : machine->placements) {
      if (!is_recorded_in(placement, number)) continue;
      if (!machine_has_entry) bytes += machine_bytes(*machine);
      machine_has_entry = true;
      bytes += placement_bytes(placement);
    }
  }
  const auto segment = segments_.find(number);
  if (segment == segments_.end()) return bytes;
  for (const auto& [name, done] : segment->second.done) bytes += completion_bytes(name, done);
  return bytes;
}

SegmentRecord JournalSegments::record(int number) const {
  SegmentRecord out;
  for (const auto& [name, machine] : model_.machines()) {
    for (const Placement& placement : machine->placements) {
      if (!is_recorded_in(placement, number)) continue;
      const auto [it, inserted] = out.machines.try_emplace(name);
      if (inserted) it->second = machine->record;
      it->second.placements.push_back({placement.job->spec().ref, placement.index, placement.attempt});
      std::vector<std::uint64_t>& stopping = it->second.stopping_attempts;
      if (placement.job->attempt.stopping && (stopping.empty() || stopping.back() != placement.attempt))
        stopping.push_back(placement.attempt);
    }
  }
  for (const auto& [name, done] : segments_.at(number).done) out.done.emplace(name, done.to_text());
  return out;
}

void JournalSegments::add_dirty(JournalWrite& write) {
  write.written_segments.insert(kActiveSegment);
  write.segment_bytes[kActiveSegment] = record_bytes(kActiveSegment);
  segments_[kActiveSegment].dirty = false;
  for (auto& [number, segment] : segments_) {
    if (!segment.dirty || segment.oversized) continue;
    if (write.change_count() + 1 >= write.max_changes) break;  // leaves a change for new contents
    segment.dirty = false;
    write.written_segments.insert(number);
  }
}

bool JournalSegments::reserve(JournalWrite& write, std::size_t needed_bytes) {
  if (write.segment_bytes[kActiveSegment] + needed_bytes > fill_limit_bytes() && !seal_active(write))
    return false;
  write.segment_bytes[kActiveSegment] += needed_bytes;
  return true;
}

// Moves the contents of the active segment, which is full, to a new segment. Returns false if the write has
// no room for that segment.
bool JournalSegments::seal_active(JournalWrite& write) {
  if (write.change_count() + 1 > write.max_changes || write.guard_count() + 2 > write.max_guards)
    return false;
  const int sealed = ++highest_number_;
  write.created_segments[sealed] = kActiveSegment;
  JournalSegment& segment = segments_[sealed];
  segment.done = std::move(segments_[kActiveSegment].done);
  segments_[kActiveSegment].done.clear();
  move_placements(write, kActiveSegment, sealed);
  write.segment_bytes[kActiveSegment] = kEmptySegmentBytes;
  write.written_segments.insert(sealed);
  return true;
}

void JournalSegments::move_placements(JournalWrite& write, int from, int to) {
  for (auto& [name, machine] : model_.machines()) {
    for (Placement& placement : machine->placements) {
      if (placement.segment != from) continue;
      placement.segment = to;
      write.moved_placements.push_back({name, placement.attempt, placement.index, from});
    }
  }
}

// A segment that was written under a larger value limit, for example by a node of an earlier version, cannot
// be written again as it is. When it must be written (because a placement in it has ended, or because it is
// the active segment), its contents are distributed over the segment itself and new segments. This is done in
// one transaction, so that no placement or completion is ever missing from all of them. Two copies of that
// transaction cannot both succeed, because each requires the segment's revision to be unchanged.
bool JournalSegments::split_oversized(JournalWrite& write) {
  for (const auto& [number, segment] : segments_) {
    if (!segment.oversized || (!segment.dirty && number != kActiveSegment)) continue;
    const SegmentSplit split =
        plan_split(number, static_cast<std::size_t>(kSplitFillFraction * committer_.max_value_bytes()));
    if (split.segment_count > write.max_changes || split.segment_count + 1 > write.max_guards) continue;
    apply_split(write, number, split);
    return true;
  }
  return false;
}

JournalSegments::SegmentSplit JournalSegments::plan_split(int number, std::size_t limit_bytes) const {
  SegmentSplit out;
  std::size_t used_bytes = kEmptySegmentBytes;
  const auto add_entry = [&out, &used_bytes, limit_bytes](std::size_t bytes) {
    const bool starts_segment = used_bytes + bytes > limit_bytes && used_bytes > kEmptySegmentBytes;
    if (starts_segment) {
      out.segment_count++;
      used_bytes = kEmptySegmentBytes;
    }
    used_bytes += bytes;
    return starts_segment;
  };
  for (const auto& [name, machine] : model_.machines()) {
    bool machine_has_entry = false;
    for (const Placement& placement : machine->placements) {
      if (!is_recorded_in(placement, number)) continue;
      const std::size_t bytes = placement_bytes(placement);
      if (add_entry(bytes + (machine_has_entry ? 0 : machine_bytes(*machine))) && machine_has_entry)
        used_bytes += machine_bytes(*machine);
      machine_has_entry = true;
      out.placements.emplace_back(PlacementRef{name, placement.attempt, placement.index, number},
                                  out.segment_count - 1);
    }
  }
  for (const auto& [name, done] : segments_.at(number).done) {
    add_entry(completion_bytes(name, done));
    out.completions.emplace_back(name, out.segment_count - 1);
  }
  return out;
}

void JournalSegments::apply_split(JournalWrite& write, int number, const SegmentSplit& split) {
  spdlog::info("shard {}: journal segment {} exceeds the maximum value size and is split into {} segments",
               ctx_.shard, number, split.segment_count);
  std::vector<int> numbers = {number};
  while (numbers.size() < split.segment_count) numbers.push_back(++highest_number_);
  for (const int each : numbers) {
    write.written_segments.insert(each);
    if (each != number) write.created_segments[each] = number;
  }
  for (const auto& [ref, position] : split.placements) {
    if (position == 0) continue;
    model_.find_placement(ref.machine, ref.attempt, ref.index)->segment = numbers[position];
    write.moved_placements.push_back(ref);
  }
  for (const auto& [name, position] : split.completions) {
    if (position != 0) segments_[numbers[position]].done.insert(segments_[number].done.extract(name));
  }
  for (const int each : numbers) segments_[each].dirty = segments_[each].oversized = false;
}

std::map<int, std::size_t> JournalSegments::placement_counts() const {
  std::map<int, std::size_t> out;
  for (const auto& [name, machine] : model_.machines()) {
    for (const Placement& placement : machine->placements) out[placement.segment]++;
  }
  return out;
}

// Adds the deletion of all segments without contents to the write. Returns the smallest of the others if
// there are many more segments than needed, and nullopt if there are not or the write is full.
std::optional<JournalSegments::SegmentSize> JournalSegments::remove_unused(JournalWrite& write) {
  std::map<int, std::size_t> placements = placement_counts();
  std::size_t total_bytes = 0;
  SegmentSize smallest;
  for (const auto& [number, segment] : segments_) {
    if (write.change_count() >= write.max_changes || write.guard_count() + 2 > write.max_guards)
      return std::nullopt;
    if (write.written_segments.count(number) > 0) continue;
    if (placements[number] == 0 && segment.done.empty()) {
      write.deleted_segments.insert(number);
      continue;
    }
    const std::size_t size_bytes = record_bytes(number);
    total_bytes += size_bytes;
    if (smallest.number == 0 || size_bytes < smallest.bytes) smallest = {number, size_bytes};
  }
  const std::size_t max_segments = 2 + 2 * total_bytes / std::max<std::size_t>(1, fill_limit_bytes());
  if (smallest.number == 0 || segments_.size() - write.deleted_segments.size() <= max_segments)
    return std::nullopt;
  return smallest;
}

void JournalSegments::compact(JournalWrite& write) {
  if (write.change_count() >= write.max_changes || segments_.size() < 2) return;
  for (auto& [number, segment] : segments_) {
    std::erase_if(segment.done, [this](const auto& item) { return model_.jobs().count(item.first) == 0; });
  }
  const auto smallest = remove_unused(write);
  if (!smallest || write.change_count() >= write.max_changes) return;
  // Moving a large segment would only fill the active segment, which would then be sealed.
  if (segments_[smallest->number].dirty || smallest->bytes > fill_limit_bytes() / 3 ||
      write.segment_bytes[kActiveSegment] + smallest->bytes > fill_limit_bytes())
    return;
  move_placements(write, smallest->number, kActiveSegment);
  for (const auto& [name, done] : segments_[smallest->number].done) {
    segments_[kActiveSegment].done[name].insert(done);
  }
  write.deleted_segments.insert(smallest->number);
}

// One write may create several segments from the active one, each of which took the completions that the
// active one contained at that time. All of them are merged back.
void JournalSegments::undo_created_segments(const JournalWrite& write) {
  for (const auto& [created, from] : write.created_segments) {
    for (const auto& [name, done] : segments_[created].done) segments_[from].done[name].insert(done);
    segments_.erase(created);
  }
}

// Undone in reverse order, so that a placement that was moved twice returns to its first segment.
void JournalSegments::undo_moved_placements(const JournalWrite& write) {
  for (auto it = write.moved_placements.rbegin(); it != write.moved_placements.rend(); ++it) {
    Placement* placement = model_.find_placement(it->machine, it->attempt, it->index);
    if (placement != nullptr) placement->segment = it->segment;
  }
}

}  // namespace mothslip
