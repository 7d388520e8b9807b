#include "coordination/shard/journal.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>

#include "coordination/shard/gang_scheduler.hpp"
#include "coordination/shard/record_committer.hpp"
#include "coordination/shard/task_delegation.hpp"
#include "coordination/shard/worker_commands.hpp"

namespace mothslip {

namespace {
// Completions are kept by the workers until they are acknowledged: writing them a little later loses nothing.
constexpr double kCompletionDelay = 0.8;   // seconds
constexpr double kSegmentFill = 0.95;      // of the value size
constexpr double kSplitFill = 0.97;        // likewise, where a segment of larger limits is split
constexpr double kJournalShare = 0.7;      // of the shard's share of changes, for the journal
constexpr std::size_t kSegmentFrame = 20;  // bytes of an empty segment
// Upper bounds for the text of a machine's entry and of one placement in it.
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
}  // namespace

Journal::Journal(const ShardContext& context, ShardModel& model, RecordCommitter& committer,
                 GangScheduler& gangs, TaskDelegation& delegation, WorkerCommands& commands)
    : ctx_(context),
      model_(model),
      committer_(committer),
      gangs_(gangs),
      delegation_(delegation),
      commands_(commands) {}

void Journal::add_loaded_segment(int number, std::uint64_t revision, std::size_t bytes) {
  last_segment_ = std::max(last_segment_, number);
  JournalSegment& segment = segments_[number];
  segment.revision = revision;
  segment.oversized = static_cast<double>(bytes) > committer_.value_bytes();
}

void Journal::add_loaded_completions(int number, const std::string& name, RangeSet done) {
  segments_[number].done[name] = std::move(done);
}

void Journal::note_freed_placement(int segment) {
  has_freed_placements_ = true;
  mark_dirty(segment);
}

void Journal::mark_dirty(int segment) {
  const auto found = segments_.find(segment);
  if (found != segments_.end()) found->second.dirty = true;
}

void Journal::note_completion() {
  if (unrecorded_since_ == 0) unrecorded_since_ = ctx_.env->now();
}

void Journal::on_values_shrunk() {
  for (auto& [number, segment] : segments_)
    segment.oversized = static_cast<double>(segment_bytes(number)) > committer_.value_bytes();
}

struct Journal::JournalWrite {
  Transaction txn;
  std::size_t most = 0;         // changes
  std::size_t most_guards = 0;  // conditions
  std::set<int> puts;
  std::set<int> removes;
  std::map<std::string, std::uint64_t>
      job_records;  // of the jobs placed anew: a cancellation must not pass unseen
  std::map<int, std::size_t> bytes;
  struct Ref {
    std::string machine;
    std::uint64_t attempt = 0;
    int index = 0;
    int segment = 0;  // moved: where it was before
  };
  std::vector<Ref> added;
  std::vector<Ref> removed;
  std::vector<Ref> moved;
  std::vector<Ref> stops;  // of gangs, recorded as being stopped
  std::vector<std::pair<JobPtr, RangeSet>> saved;
  std::vector<std::pair<NewDelegation, Json>> delegations;
  std::map<std::string, std::uint64_t> owners;  // of the delegates' shards
  std::map<int, int> created;  // new segments, and the segment of which each took something over
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size() + delegations.size(); }
  [[nodiscard]] std::size_t guards() const { return 1 + changes() + job_records.size() + owners.size(); }
};

struct Journal::SegmentSplit {
  std::size_t segments = 1;
  std::vector<std::pair<JournalWrite::Ref, std::size_t>>
      placements;  // and to which of the segments each goes
  std::vector<std::pair<std::string, std::size_t>> notes;
};

void Journal::release_freed() {
  has_freed_placements_ = false;
  for (auto& [name, machine] : model_.machines()) {
    for (std::size_t i = 0; i < machine->placements.size();) {
      const Placement& placement = machine->placements[i];
      if (placement.stage == Placement::Stage::kFreeing &&
          (placement.segment == 0 || placement.job->record.aborted)) {
        model_.drop_placement(*machine, i);
      } else {
        i++;
      }
    }
  }
}

// The journal is written at most so often that the shard keeps to its share of the changes: sooner while
// the budget is full (a quiet day), with more in each write while it is not.
double Journal::write_interval(std::size_t changes) const {
  const double share = ctx_.state->write_rate() / ctx_.shard_count;
  const double gap = static_cast<double>(changes) / std::max(0.1, kJournalShare * share);
  return ctx_.state->writes_left() > 0.6 ? gap / 4 : gap;
}

std::size_t Journal::segment_limit() const {
  return static_cast<std::size_t>(kSegmentFill * committer_.value_bytes());
}

// Completions that the job's own record, or its ending, is about to hold need no write here. (Written all the
// same, such segments used up the changes that those records were waiting for: with small segments a shard
// wrote its journal for minutes and did nothing else.)
bool Journal::completions_due() {
  const double now = ctx_.env->now();
  if (unrecorded_since_ == 0 || now - unrecorded_since_ < kCompletionDelay) return false;
  if (std::any_of(model_.jobs().begin(), model_.jobs().end(),
                  [this](const auto& item) { return needs_journal_entry(*item.second); }))
    return true;
  unrecorded_since_ = now;
  return false;
}

bool Journal::needs_journal_entry(const Job& job) const {
  if (job.unsaved.empty() || job.finishing || job.record.aborted) return false;
  if (job.complete() && (job.delegated_here() || job.all_delegated_complete()))
    return false;  // its ending says it all
  return !job.fold_due && !job.progress_inflight;
}

bool Journal::write_journal() {
  if (!committer_.has_room(RecordCommitter::kJournalSlot)) return false;
  const double now = ctx_.env->now();
  const bool dirty =
      std::any_of(segments_.begin(), segments_.end(), [](const auto& item) { return item.second.dirty; });
  const bool notes = completions_due();
  if (!has_new_placements_ && !dirty && !notes && unwritten_delegations_.empty()) return false;
  if (now < next_write_at_) {
    if (!write_timer_armed_) {
      write_timer_armed_ = true;
      ctx_.env->after(next_write_at_ - now, alive_([this] {
                        write_timer_armed_ = false;
                        committer_.send_due_writes();
                      }));
    }
    return false;
  }
  if (split_oversized_segment()) return true;
  if (segments_[kActiveSegment].oversized) return false;  // it fits no write before more of it has ended
  JournalWrite commit = new_journal_write();
  commit.puts.insert(kActiveSegment);
  commit.bytes[kActiveSegment] = segment_bytes(kActiveSegment);
  segments_[kActiveSegment].dirty = false;
  for (auto& [number, segment] : segments_) {
    if (!segment.dirty || segment.oversized) continue;
    if (commit.changes() + 1 >= commit.most) break;  // leaves a change for what is new
    segment.dirty = false;
    commit.puts.insert(number);
  }
  if (has_new_placements_) add_new_placements(commit);
  add_delegations(commit);
  add_completions(commit);
  compact_segments(commit);
  send_journal_write(std::move(commit));
  return true;
}

Journal::JournalWrite Journal::new_journal_write() const {
  JournalWrite commit;
  commit.txn = committer_.guarded_transaction();
  commit.most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  commit.most_guards = 4 * static_cast<std::size_t>(ctx_.settings->txn_ops);
  return commit;
}

void Journal::send_journal_write(JournalWrite commit) {
  for (const int number : commit.puts) {
    commit.txn.guard(keys::segment(ctx_.shard, number), segments_[number].revision);
    commit.txn.put(keys::segment(ctx_.shard, number), segment_record(number).to_json());
  }
  for (const int number : commit.removes) {
    commit.txn.guard(keys::segment(ctx_.shard, number), segments_[number].revision);
    commit.txn.remove(keys::segment(ctx_.shard, number));
  }
  for (const auto& [delegation, record] : commit.delegations) {
    commit.txn.guard(delegation.key, 0);
    commit.txn.put(delegation.key, record);
  }
  for (const auto& [key, revision] : commit.job_records) commit.txn.guard(key, revision);
  for (const auto& [key, revision] : commit.owners) commit.txn.guard(key, revision);
  for (const auto& [name, machine] : model_.machines()) {
    for (const Placement& placement : machine->placements) {
      if (commit.puts.count(placement.segment) == 0) continue;
      const JournalWrite::Ref ref{name, placement.attempt, placement.index, placement.segment};
      if (placement.stage == Placement::Stage::kFreeing) {
        commit.removed.push_back(ref);
      } else if (placement.job->attempt.stopping) {
        commit.stops.push_back(ref);
      }
    }
  }
  next_write_at_ = ctx_.env->now() + write_interval(commit.changes());
  model_.counters().journal_writes++;
  model_.counters().journal_changes += commit.changes();
  const auto shared = std::make_shared<JournalWrite>(std::move(commit));
  committer_.commit(
      RequestPriority::kLaunch, RecordCommitter::kJournalSlot, shared->txn,
      [this, shared](std::uint64_t revision) { on_journal_written(*shared, revision); },
      [this, shared](const std::vector<std::string>& failed) { return on_journal_refused(*shared, failed); });
}

// A segment that was written under larger limits, by a node of an earlier version perhaps, can't be written
// again as it is. When it has to be (something in it has ended, or it is the newest), what it holds is spread
// over itself and new segments in one transaction, so that at no moment a placement or a completion is in
// neither. Two copies of that transaction can't both succeed: each needs the segment as it was.
bool Journal::split_oversized_segment() {
  for (auto& [number, segment] : segments_) {
    if (!segment.oversized || (!segment.dirty && number != kActiveSegment)) continue;
    const auto limit = static_cast<std::size_t>(kSplitFill * committer_.value_bytes());
    JournalWrite commit = new_journal_write();
    const SegmentSplit split = plan_split(number, limit);
    if (split.segments > commit.most || split.segments + 1 > commit.most_guards) continue;
    spdlog::info("shard {}: journal segment {} is too large now, split into {}", ctx_.shard, number,
                 split.segments);
    std::vector<int> numbers = {number};
    while (numbers.size() < split.segments) numbers.push_back(++last_segment_);
    for (const int each : numbers) {
      commit.puts.insert(each);
      if (each != number) commit.created[each] = number;
    }
    for (const auto& [ref, at] : split.placements) {
      if (at == 0) continue;
      model_.find_placement(ref.machine, ref.attempt, ref.index)->segment = numbers[at];
      commit.moved.push_back(ref);
    }
    for (const auto& [name, at] : split.notes) {
      if (at != 0) segments_[numbers[at]].done.insert(segments_[number].done.extract(name));
    }
    for (const int each : numbers) segments_[each].dirty = segments_[each].oversized = false;
    send_journal_write(std::move(commit));
    return true;
  }
  return false;
}

Journal::SegmentSplit Journal::plan_split(int number, std::size_t limit) const {
  SegmentSplit out;
  std::size_t used = kSegmentFrame;
  const auto take = [&out, &used, limit](std::size_t bytes) {
    const bool next = used + bytes > limit && used > kSegmentFrame;
    if (next) {
      out.segments++;
      used = kSegmentFrame;
    }
    used += bytes;
    return next;
  };
  for (const auto& [name, machine] : model_.machines()) {
    bool entered = false;
    for (const Placement& placement : machine->placements) {
      if (placement.segment != number || placement.stage == Placement::Stage::kFreeing) continue;
      const std::size_t bytes = placement_bytes(placement);
      if (take(bytes + (entered ? 0 : machine_bytes(*machine))) && entered) used += machine_bytes(*machine);
      entered = true;
      out.placements.emplace_back(JournalWrite::Ref{name, placement.attempt, placement.index, number},
                                  out.segments - 1);
    }
  }
  for (const auto& [name, done] : segments_.at(number).done) {
    take(completion_bytes(name, done));
    out.notes.emplace_back(name, out.segments - 1);
  }
  return out;
}

std::size_t Journal::segment_bytes(int number) const {
  std::size_t bytes = kSegmentFrame;
  for (const auto& [name, machine] : model_.machines()) {
    bool any = false;
    for (const Placement& placement : machine->placements) {
      if (placement.segment != number || placement.stage == Placement::Stage::kFreeing) continue;
      if (!any) bytes += machine_bytes(*machine);
      any = true;
      bytes += placement_bytes(placement);
    }
  }
  const auto segment = segments_.find(number);
  if (segment == segments_.end()) return bytes;
  for (const auto& [name, done] : segment->second.done) bytes += completion_bytes(name, done);
  return bytes;
}

SegmentRecord Journal::segment_record(int number) const {
  SegmentRecord out;
  for (const auto& [name, machine] : model_.machines()) {
    for (const Placement& placement : machine->placements) {
      if (placement.segment != number || placement.stage == Placement::Stage::kFreeing) continue;
      const auto [it, fresh] = out.machines.try_emplace(name);
      if (fresh) it->second = machine->record;
      it->second.placements.push_back({placement.job->spec().ref, placement.index, placement.attempt});
      std::vector<std::uint64_t>& stopping = it->second.stopping;
      if (placement.job->attempt.stopping && (stopping.empty() || stopping.back() != placement.attempt))
        stopping.push_back(placement.attempt);
    }
  }
  for (const auto& [name, done] : segments_.at(number).done) out.done.emplace(name, done.to_text());
  return out;
}

// The active segment is full: what it holds goes to a segment of its own, once, and stays there.
bool Journal::seal_active_segment(JournalWrite& commit) {
  if (commit.changes() + 1 > commit.most || commit.guards() + 2 > commit.most_guards) return false;
  const int turned = ++last_segment_;
  commit.created[turned] = kActiveSegment;
  JournalSegment& segment = segments_[turned];
  segment.done = std::move(segments_[kActiveSegment].done);
  segments_[kActiveSegment].done.clear();
  for (auto& [name, machine] : model_.machines()) {
    for (Placement& placement : machine->placements) {
      if (placement.segment != kActiveSegment) continue;
      placement.segment = turned;
      commit.moved.push_back({name, placement.attempt, placement.index, kActiveSegment});
    }
  }
  commit.bytes[kActiveSegment] = kSegmentFrame;
  commit.puts.insert(turned);
  return true;
}

// Room in the active segment for so many bytes more.
bool Journal::reserve_active_segment(JournalWrite& commit, std::size_t needs) {
  const std::size_t limit = segment_limit();
  if (commit.bytes[kActiveSegment] + needs > limit && !seal_active_segment(commit)) return false;
  commit.bytes[kActiveSegment] += needs;
  return true;
}

// All places of a gang go into one write, or none does: returns the gangs of which that is so. (One that is
// too large for a segment is spread over several writes like other placements: nothing of it is launched
// before the last is durable.)
std::set<JobPtr> Journal::add_gangs(JournalWrite& commit) {
  std::map<JobPtr, std::vector<std::pair<Machine*, Placement*>>> gangs;
  for (auto& [name, machine] : model_.machines()) {
    for (Placement& placement : machine->placements) {
      const bool is_new = placement.stage == Placement::Stage::kNew && placement.segment == 0;
      if (is_new && placement.job->is_gang()) gangs[placement.job].emplace_back(machine.get(), &placement);
    }
  }
  std::set<JobPtr> whole;
  for (const auto& [job, placements] : gangs) {
    std::size_t bytes = 0;
    const Machine* last = nullptr;
    for (const auto& [machine, placement] : placements) {
      bytes += placement_bytes(*placement) + (machine != last ? machine_bytes(*machine) : 0);
      last = machine;
    }
    if (bytes + kSegmentFrame > segment_limit()) continue;
    whole.insert(job);
    if (commit.guards() + 3 > commit.most_guards || !reserve_active_segment(commit, bytes)) {
      has_new_placements_ = true;
      continue;
    }
    commit.job_records[keys::job_record(job->home_shard, job->spec().ref)] = job->job_revision;
    for (const auto& [machine, placement] : placements) {
      placement->segment = kActiveSegment;
      commit.added.push_back({machine->name, placement->attempt, placement->index, 0});
    }
  }
  return whole;
}

void Journal::add_new_placements(JournalWrite& commit) {
  std::vector<Machine*> machines;
  for (auto& [name, machine] : model_.machines()) {
    const bool any =
        std::any_of(machine->placements.begin(), machine->placements.end(),
                    [](const Placement& p) { return p.stage == Placement::Stage::kNew && p.segment == 0; });
    if (any) machines.push_back(machine.get());
  }
  // Where a write could not take all, the next begins behind it.
  const auto next = std::find_if(machines.begin(), machines.end(),
                                 [this](const Machine* machine) { return machine->name > last_written_; });
  std::rotate(machines.begin(), next, machines.end());
  has_new_placements_ = false;
  const std::set<JobPtr> gangs = add_gangs(commit);
  for (Machine* machine : machines) {
    bool entered = false;
    for (Placement& placement : machine->placements) {
      if (placement.stage != Placement::Stage::kNew || placement.segment != 0) continue;
      if (gangs.count(placement.job) > 0) continue;
      const std::string job_record = keys::job_record(placement.job->home_shard, placement.job->spec().ref);
      const bool known = commit.job_records.count(job_record) > 0;
      if (commit.guards() + (known ? 0 : 1) + 2 > commit.most_guards) {
        has_new_placements_ = true;
        return;
      }
      const std::size_t created = commit.created.size();
      if (!reserve_active_segment(commit,
                                  placement_bytes(placement) + (entered ? 0 : machine_bytes(*machine)))) {
        has_new_placements_ = true;
        return;
      }
      if (entered && commit.created.size() != created)
        commit.bytes[kActiveSegment] += machine_bytes(*machine);
      commit.job_records[job_record] = placement.job->job_revision;
      entered = true;
      placement.segment = kActiveSegment;
      commit.added.push_back({machine->name, placement.attempt, placement.index, 0});
    }
    last_written_ = machine->name;
  }
}

void Journal::add_delegations(JournalWrite& commit) {
  while (!unwritten_delegations_.empty() && commit.changes() < commit.most &&
         commit.guards() + 3 <= commit.most_guards) {
    NewDelegation delegation = std::move(unwritten_delegations_.front());
    unwritten_delegations_.pop_front();
    const Job& job = *delegation.job;
    const auto delegated = job.delegated.find(delegation.key);
    if (delegated == job.delegated.end()) continue;
    if (job.over() || job.cancelling) {
      revoke_delegation(delegation);
      continue;
    }
    DelegationRecord record;
    record.home_shard = ctx_.shard;
    record.job_revision = job.job_revision;
    record.job = job.record;
    record.works = !job.done.empty();
    record.range = delegated->second.range;
    commit.job_records[keys::job_record(ctx_.shard, job.spec().ref)] = job.job_revision;
    commit.owners[keys::shard(delegation.to)] = delegation.to_fencing_token;
    commit.delegations.emplace_back(std::move(delegation), record.to_json());
  }
}

// The delegation was not written: its tasks are still ours.
void Journal::revoke_delegation(const NewDelegation& delegation) {
  if (delegation.job->delegated.count(delegation.key) == 0) return;
  delegation_.reclaim_tasks(delegation.job, delegation.key, {}, {});
  delegation.job->delegated.erase(delegation.key);
}

// Completions that no other record is about to hold: they must be durable before they are reaped.
void Journal::add_completions(JournalWrite& commit) {
  if (unrecorded_since_ == 0) return;
  const std::size_t limit = segment_limit();
  bool left = false;
  for (const auto& [name, job] : model_.jobs()) {
    if (!needs_journal_entry(*job)) {
      left |= !job->unsaved.empty() && (job->fold_due || job->progress_inflight);
      continue;
    }
    const std::size_t needs = completion_bytes(name, job->unsaved) + 1;
    if (needs > limit / 4) {
      job->fold_due = true;
      left = true;
      continue;
    }
    if (!reserve_active_segment(commit, needs)) {
      left = true;
      break;
    }
    RangeSet& noted = segments_[kActiveSegment].done[name];
    noted.insert(job->unsaved);
    // Many scattered completions of one job are cheaper in its own record.
    if (noted.text_bytes() > limit / 8) job->fold_due = true;
    commit.saved.emplace_back(job, job->unsaved);
  }
  unrecorded_since_ = left ? ctx_.env->now() : 0;
}

// Segments in which nothing counts any more go; when there are many more than needed, the emptiest moves into
// the newest. Only along with other changes, so that it costs no transaction.
void Journal::compact_segments(JournalWrite& commit) {
  if (commit.changes() >= commit.most || segments_.size() < 2) return;
  for (auto& [number, segment] : segments_) {
    std::erase_if(segment.done, [this](const auto& item) { return model_.jobs().count(item.first) == 0; });
  }
  std::map<int, std::size_t> live;
  for (const auto& [name, machine] : model_.machines()) {
    for (const Placement& placement : machine->placements) live[placement.segment]++;
  }
  std::size_t total = 0;
  std::size_t least = 0;
  int emptiest = 0;
  const std::size_t limit = segment_limit();
  for (const auto& [number, segment] : segments_) {
    if (commit.changes() >= commit.most || commit.guards() + 2 > commit.most_guards) return;
    if (commit.puts.count(number) > 0) continue;
    if (live[number] == 0 && segment.done.empty()) {
      commit.removes.insert(number);
      continue;
    }
    const std::size_t bytes = segment_bytes(number);
    total += bytes;
    if (emptiest == 0 || bytes < least) {
      emptiest = number;
      least = bytes;
    }
  }
  const std::size_t enough = 2 + 2 * total / std::max<std::size_t>(1, limit);
  if (emptiest == 0 || segments_.size() - commit.removes.size() <= enough || commit.changes() >= commit.most)
    return;
  // (Moving much would only fill the newest and have it turned.)
  if (segments_[emptiest].dirty || least > limit / 3 || commit.bytes[kActiveSegment] + least > limit) return;
  for (auto& [name, machine] : model_.machines()) {
    for (Placement& placement : machine->placements) {
      if (placement.segment != emptiest) continue;
      placement.segment = kActiveSegment;
      commit.moved.push_back({name, placement.attempt, placement.index, emptiest});
    }
  }
  for (const auto& [name, done] : segments_[emptiest].done) {
    segments_[kActiveSegment].done[name].insert(done);
  }
  commit.removes.insert(emptiest);
}

void Journal::on_journal_written(const JournalWrite& commit, std::uint64_t revision) {
  for (const int number : commit.puts) segments_[number].revision = revision;
  for (const int number : commit.removes) segments_.erase(number);
  for (const auto& [delegation, record] : commit.delegations) {
    const auto delegated = delegation.job->delegated.find(delegation.key);
    if (delegated != delegation.job->delegated.end())
      delegated->second.revision = std::max(delegated->second.revision, revision);
  }
  for (const auto& [job, indices] : commit.saved) job->saved(indices);
  std::set<JobPtr> gangs;
  for (const auto& ref : commit.added) {
    Placement* placement = model_.find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    if (placement->stage == Placement::Stage::kNew) placement->stage = Placement::Stage::kRecorded;
    if (placement->job->is_gang()) gangs.insert(placement->job);
  }
  gangs_.gangs_written(gangs);
  std::set<JobPtr> stopped;
  for (const auto& ref : commit.stops) {
    Placement* placement = model_.find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    placement->stop_recorded = true;
    stopped.insert(placement->job);
  }
  for (const auto& ref : commit.removed) {
    const auto it = model_.machines().find(ref.machine);
    if (it == model_.machines().end()) continue;
    auto& placements = it->second->placements;
    for (std::size_t i = 0; i < placements.size(); i++) {
      if (placements[i].attempt != ref.attempt || placements[i].index != ref.index) continue;
      model_.drop_placement(*it->second, i);
      break;
    }
  }
  gangs_.stops_written(stopped);
  for (const auto& ref : commit.added) {
    const auto it = model_.machines().find(ref.machine);
    if (it != model_.machines().end()) commands_.answer(*it->second);
  }
}

// Only job records may have changed: they were cancelled meanwhile, by us or, of delegated ones, by their
// home. Nothing of this was written; what belongs to other jobs is tried again.
bool Journal::on_journal_refused(const JournalWrite& commit, const std::vector<std::string>& failed) {
  const std::set<std::string> over(failed.begin(), failed.end());
  std::set<JobPtr> delegated_here;
  for (const std::string& key : over) {
    bool explained = false;
    for (const auto& [name, job] : model_.jobs()) {
      if (keys::job_record(job->home_shard, job->spec().ref) != key) continue;
      if (job->delegated_here()) delegated_here.insert(job);
      explained |= job->delegated_here() || job->cancelling || job->record.aborted;
    }
    // A job that is no longer here has ended, and its new placements with it.
    explained |= key.rfind(keys::job_records(ctx_.shard), 0) == 0 &&
                 model_.jobs().count(key.substr(keys::job_records(ctx_.shard).size())) == 0;
    explained |= commit.owners.count(key) > 0;  // a delegate was deposed
    if (!explained) return false;
  }
  for (const JobPtr& job : delegated_here) delegation_.drop_delegated(job);
  // (A segment that was created from the newest took over what those created before it had left there.)
  for (const auto& [created, from] : commit.created) {
    for (const auto& [name, done] : segments_[created].done) segments_[from].done[name].insert(done);
    segments_.erase(created);
  }
  for (const auto& [delegation, record] : commit.delegations) {
    const bool out = over.count(keys::shard(delegation.to)) > 0 ||
                     over.count(keys::job_record(ctx_.shard, delegation.job->spec().ref)) > 0;
    if (out) {
      revoke_delegation(delegation);
    } else {
      unwritten_delegations_.push_back(delegation);
    }
  }
  // (Backwards: one that was moved twice goes to where it was at first.)
  for (auto it = commit.moved.rbegin(); it != commit.moved.rend(); ++it) {
    const JournalWrite::Ref& ref = *it;
    if (Placement* placement = model_.find_placement(ref.machine, ref.attempt, ref.index))
      placement->segment = ref.segment;
  }
  for (const auto& ref : commit.added) {
    Placement* placement = model_.find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    placement->segment = 0;
    if (over.count(keys::job_record(placement->job->home_shard, placement->job->spec().ref)) > 0) {
      model_.free_placement(*placement, 0);
    }
    has_freed_placements_ = true;
  }
  for (const auto& ref : commit.removed) {
    if (commit.created.count(ref.segment) == 0) segments_[ref.segment].dirty = true;
  }
  for (const int number : commit.puts) {
    // (Those that were split may be too large again: the next write finds out.)
    if (commit.created.count(number) == 0)
      segments_[number].oversized |=
          static_cast<double>(segment_bytes(number)) > kSplitFill * committer_.value_bytes();
  }
  segments_[kActiveSegment].dirty = true;
  has_new_placements_ = true;
  if (!commit.saved.empty() && unrecorded_since_ == 0) unrecorded_since_ = ctx_.env->now() - kCompletionDelay;
  return true;
}

void Journal::on_completions_recorded(const JobPtr& job, const std::string& name, const RangeSet& done) {
  job->saved(done);
  for (auto& [number, segment] : segments_) {
    const auto it = segment.done.find(name);
    if (it == segment.done.end()) continue;
    it->second.erase(done);
    if (it->second.empty()) segment.done.erase(it);
  }
}

}  // namespace mothslip
