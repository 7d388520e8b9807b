#include "coordination/shard/journal_segments.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/shard/record_committer.hpp"

namespace mothslip {

namespace {
constexpr double kSegmentFill = 0.95;  // of the value size
constexpr double kSplitFill = 0.97;    // likewise, where a segment of larger limits is split

// The segment's record names the placement: what is being freed is left out of it.
bool is_recorded_in(const Placement& placement, int segment) {
  return placement.segment == segment && placement.stage != Placement::Stage::kFreeing;
}
}  // namespace

std::size_t machine_bytes(const Machine& machine) {
  return 70 + machine.name.size() + machine.record.address.size() + machine.record.machine_type.size() +
         machine.record.zone.size();
}

std::size_t placement_bytes(const Placement& placement) {
  constexpr std::size_t kFrame = 12;  // with the index
  const std::size_t attempt = std::to_string(placement.attempt).size();
  // A gang's attempt may have to be named once more, as being stopped.
  return kFrame + placement.job->spec().ref.size() + attempt * (placement.job->is_gang() ? 2 : 1);
}

std::size_t completion_bytes(const std::string& name, const RangeSet& done) {
  return name.size() + 8 + done.text_bytes();
}

JournalSegments::JournalSegments(const ShardContext& context, ShardModel& model, RecordCommitter& committer)
    : ctx_(context), model_(model), committer_(committer) {}

void JournalSegments::add_loaded(int number, std::uint64_t revision, std::size_t bytes) {
  last_number_ = std::max(last_number_, number);
  JournalSegment& segment = segments_[number];
  segment.revision = revision;
  segment.oversized = static_cast<double>(bytes) > committer_.value_bytes();
}

void JournalSegments::mark_dirty(int number) {
  const auto found = segments_.find(number);
  if (found != segments_.end()) found->second.dirty = true;
}

bool JournalSegments::any_dirty() const {
  return std::any_of(segments_.begin(), segments_.end(), [](const auto& item) { return item.second.dirty; });
}

void JournalSegments::on_values_shrunk() {
  for (auto& [number, segment] : segments_)
    segment.oversized = static_cast<double>(bytes(number)) > committer_.value_bytes();
}

void JournalSegments::recheck_size(int number) {
  segments_[number].oversized |= static_cast<double>(bytes(number)) > kSplitFill * committer_.value_bytes();
}

void JournalSegments::erase_completions(const std::string& name, const RangeSet& done) {
  for (auto& [number, segment] : segments_) {
    const auto it = segment.done.find(name);
    if (it == segment.done.end()) continue;
    it->second.erase(done);
    if (it->second.empty()) segment.done.erase(it);
  }
}

std::size_t JournalSegments::limit() const {
  return static_cast<std::size_t>(kSegmentFill * committer_.value_bytes());
}

std::size_t JournalSegments::bytes(int number) const {
  std::size_t bytes = kFrameBytes;
  for (const auto& [name, machine] : model_.machines()) {
    bool entered = false;
    for (const Placement& placement : machine->placements) {
      if (!is_recorded_in(placement, number)) continue;
      if (!entered) bytes += machine_bytes(*machine);
      entered = true;
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
      const auto [it, fresh] = out.machines.try_emplace(name);
      if (fresh) it->second = machine->record;
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
  write.puts.insert(kActiveSegment);
  write.bytes[kActiveSegment] = bytes(kActiveSegment);
  segments_[kActiveSegment].dirty = false;
  for (auto& [number, segment] : segments_) {
    if (!segment.dirty || segment.oversized) continue;
    if (write.changes() + 1 >= write.max_changes) break;  // leaves a change for what is new
    segment.dirty = false;
    write.puts.insert(number);
  }
}

bool JournalSegments::reserve(JournalWrite& write, std::size_t needed_bytes) {
  if (write.bytes[kActiveSegment] + needed_bytes > limit() && !seal_active(write)) return false;
  write.bytes[kActiveSegment] += needed_bytes;
  return true;
}

// The active segment is full: what it holds goes to a segment of its own, once, and stays there.
bool JournalSegments::seal_active(JournalWrite& write) {
  if (write.changes() + 1 > write.max_changes || write.guards() + 2 > write.max_guards) return false;
  const int sealed = ++last_number_;
  write.created[sealed] = kActiveSegment;
  JournalSegment& segment = segments_[sealed];
  segment.done = std::move(segments_[kActiveSegment].done);
  segments_[kActiveSegment].done.clear();
  move_placements(write, kActiveSegment, sealed);
  write.bytes[kActiveSegment] = kFrameBytes;
  write.puts.insert(sealed);
  return true;
}

void JournalSegments::move_placements(JournalWrite& write, int from, int to) {
  for (auto& [name, machine] : model_.machines()) {
    for (Placement& placement : machine->placements) {
      if (placement.segment != from) continue;
      placement.segment = to;
      write.moved.push_back({name, placement.attempt, placement.index, from});
    }
  }
}

// A segment that was written under larger limits, by a node of an earlier version perhaps, can't be written
// again as it is. When it has to be (something in it has ended, or it is the active one), what it holds is
// spread over itself and new segments in one transaction, so that at no moment a placement or a completion is
// in neither. Two copies of that transaction can't both succeed: each needs the segment as it was.
bool JournalSegments::split_oversized(JournalWrite& write) {
  for (const auto& [number, segment] : segments_) {
    if (!segment.oversized || (!segment.dirty && number != kActiveSegment)) continue;
    const SegmentSplit split =
        plan_split(number, static_cast<std::size_t>(kSplitFill * committer_.value_bytes()));
    if (split.segments > write.max_changes || split.segments + 1 > write.max_guards) continue;
    apply_split(write, number, split);
    return true;
  }
  return false;
}

JournalSegments::SegmentSplit JournalSegments::plan_split(int number, std::size_t limit) const {
  SegmentSplit out;
  std::size_t used = kFrameBytes;
  const auto take = [&out, &used, limit](std::size_t bytes) {
    const bool next = used + bytes > limit && used > kFrameBytes;
    if (next) {
      out.segments++;
      used = kFrameBytes;
    }
    used += bytes;
    return next;
  };
  for (const auto& [name, machine] : model_.machines()) {
    bool entered = false;
    for (const Placement& placement : machine->placements) {
      if (!is_recorded_in(placement, number)) continue;
      const std::size_t bytes = placement_bytes(placement);
      if (take(bytes + (entered ? 0 : machine_bytes(*machine))) && entered) used += machine_bytes(*machine);
      entered = true;
      out.placements.emplace_back(PlacementRef{name, placement.attempt, placement.index, number},
                                  out.segments - 1);
    }
  }
  for (const auto& [name, done] : segments_.at(number).done) {
    take(completion_bytes(name, done));
    out.completions.emplace_back(name, out.segments - 1);
  }
  return out;
}

void JournalSegments::apply_split(JournalWrite& write, int number, const SegmentSplit& split) {
  spdlog::info("shard {}: journal segment {} is too large now, split into {}", ctx_.shard, number,
               split.segments);
  std::vector<int> numbers = {number};
  while (numbers.size() < split.segments) numbers.push_back(++last_number_);
  for (const int each : numbers) {
    write.puts.insert(each);
    if (each != number) write.created[each] = number;
  }
  for (const auto& [ref, position] : split.placements) {
    if (position == 0) continue;
    model_.find_placement(ref.machine, ref.attempt, ref.index)->segment = numbers[position];
    write.moved.push_back(ref);
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

// Adds the segments in which nothing counts to the removals. Returns the smallest of the others where there
// are many more than needed; none where the write is full.
std::optional<JournalSegments::SegmentSize> JournalSegments::remove_unused(JournalWrite& write) {
  std::map<int, std::size_t> placements = placement_counts();
  std::size_t total = 0;
  SegmentSize smallest;
  for (const auto& [number, segment] : segments_) {
    if (write.changes() >= write.max_changes || write.guards() + 2 > write.max_guards) return std::nullopt;
    if (write.puts.count(number) > 0) continue;
    if (placements[number] == 0 && segment.done.empty()) {
      write.removes.insert(number);
      continue;
    }
    const std::size_t size = bytes(number);
    total += size;
    if (smallest.number == 0 || size < smallest.bytes) smallest = {number, size};
  }
  const std::size_t enough = 2 + 2 * total / std::max<std::size_t>(1, limit());
  if (smallest.number == 0 || segments_.size() - write.removes.size() <= enough) return std::nullopt;
  return smallest;
}

void JournalSegments::compact(JournalWrite& write) {
  if (write.changes() >= write.max_changes || segments_.size() < 2) return;
  for (auto& [number, segment] : segments_) {
    std::erase_if(segment.done, [this](const auto& item) { return model_.jobs().count(item.first) == 0; });
  }
  const auto smallest = remove_unused(write);
  if (!smallest || write.changes() >= write.max_changes) return;
  // (Moving much would only fill the active segment and have it sealed.)
  if (segments_[smallest->number].dirty || smallest->bytes > limit() / 3 ||
      write.bytes[kActiveSegment] + smallest->bytes > limit())
    return;
  move_placements(write, smallest->number, kActiveSegment);
  for (const auto& [name, done] : segments_[smallest->number].done) {
    segments_[kActiveSegment].done[name].insert(done);
  }
  write.removes.insert(smallest->number);
}

// (A segment that was created from the active one took over what those created before it had left there.)
void JournalSegments::undo_created(const JournalWrite& write) {
  for (const auto& [created, from] : write.created) {
    for (const auto& [name, done] : segments_[created].done) segments_[from].done[name].insert(done);
    segments_.erase(created);
  }
}

// (Backwards: one that was moved twice goes to where it was at first.)
void JournalSegments::undo_moved(const JournalWrite& write) {
  for (auto it = write.moved.rbegin(); it != write.moved.rend(); ++it) {
    Placement* placement = model_.find_placement(it->machine, it->attempt, it->index);
    if (placement != nullptr) placement->segment = it->segment;
  }
}

}  // namespace mothslip
