// The part's journal: a few pages that hold placements by machine, and completions that no other record holds
// yet (docs/design.md, "The journal").
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/part.hpp"

namespace mothslip {

namespace {
constexpr double kPageFill = 0.95;      // of the value size
constexpr double kSplitFill = 0.97;     // likewise, where a page of larger limits is split
constexpr double kPageShare = 0.7;      // of the part's share of changes, for the journal
constexpr std::size_t kPageFrame = 20;  // bytes of an empty page

// Upper bounds for the text of a machine's entry and of one placement in it.
std::size_t host_bytes(const Machine& machine) {
  return 70 + machine.name.size() + machine.record.address.size() + machine.record.machine_type.size() +
         machine.record.zone.size();
}
std::size_t placement_bytes(const Placement& placement) {
  constexpr std::size_t kFrame = 12;  // with the index
  const std::size_t attempt = std::to_string(placement.attempt).size();
  // A gang's attempt may have to be named once more, as being stopped.
  return kFrame + placement.job->spec().ref.size() + attempt * (placement.job->is_gang() ? 2 : 1);
}
std::size_t note_bytes(const std::string& name, const RangeSet& done) {
  return name.size() + 8 + done.text_bytes();
}
}  // namespace

struct Part::PageCommit {
  Transaction txn;
  std::size_t most = 0;         // changes
  std::size_t most_guards = 0;  // conditions
  std::set<int> puts;
  std::set<int> removes;
  std::map<std::string, std::uint64_t> heads;  // of the jobs placed anew: a cancellation must not pass unseen
  std::map<int, std::size_t> bytes;
  struct Ref {
    std::string machine;
    std::uint64_t attempt = 0;
    int index = 0;
    int page = 0;  // moved: where it was before
  };
  std::vector<Ref> added;
  std::vector<Ref> removed;
  std::vector<Ref> moved;
  std::vector<Ref> stops;  // of gangs, recorded as being stopped
  std::vector<std::pair<JobPtr, RangeSet>> saved;
  std::vector<std::pair<NewBlock, Json>> blocks;
  std::map<std::string, std::uint64_t> owners;  // of the parts that borrow
  std::map<int, int> created;                   // new pages, and the page of which each took something over
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size() + blocks.size(); }
  [[nodiscard]] std::size_t guards() const { return 1 + changes() + heads.size() + owners.size(); }
};

struct Part::PageSplit {
  std::size_t pages = 1;
  std::vector<std::pair<PageCommit::Ref, std::size_t>> placements;  // and to which of the pages each goes
  std::vector<std::pair<std::string, std::size_t>> notes;
};

// What was freed before it was recorded, or belongs to a job that is durably cancelled, needs no write: no
// owner would start it again. The rest goes once its page is written without it.
void Part::sweep_freed() {
  freeing_ = false;
  for (auto& [name, machine] : machines_) {
    for (std::size_t i = 0; i < machine->placements.size();) {
      const Placement& placement = machine->placements[i];
      if (placement.stage == Placement::Stage::kFreeing &&
          (placement.page == 0 || placement.job->head.aborted)) {
        drop_placement(*machine, i);
      } else {
        i++;
      }
    }
  }
}

// The journal is written at most so often that the part keeps to its share of the changes: sooner while
// the budget is full (a quiet day), with more in each write while it is not.
double Part::page_gap(std::size_t changes) const {
  const double share = ctx_.state->write_rate() / ctx_.parts;
  const double gap = static_cast<double>(changes) / std::max(0.1, kPageShare * share);
  return ctx_.state->writes_left() > 0.6 ? gap / 4 : gap;
}

std::size_t Part::page_limit() const { return static_cast<std::size_t>(kPageFill * value_bytes_); }

// Completions that the job's own record, or its ending, is about to hold need no write here. (Written all the
// same, such pages used up the changes that those records were waiting for: with small pages a part wrote its
// journal for minutes and did nothing else.)
bool Part::notes_due() {
  const double now = ctx_.env->now();
  if (notes_since_ == 0 || now - notes_since_ < kNoteDelay) return false;
  if (std::any_of(jobs_.begin(), jobs_.end(), [this](const auto& item) { return can_note(*item.second); }))
    return true;
  notes_since_ = now;
  return false;
}

bool Part::can_note(const Job& job) const {
  if (job.unsaved.empty() || job.finishing || job.head.aborted) return false;
  if (job.complete() && (job.borrowed() || job.lent_all_complete())) return false;  // its ending says it all
  return !job.fold_due && !job.progress_inflight;
}

bool Part::commit_pages() {
  if (inflight_[kPageSlot] > 0) return false;
  const double now = ctx_.env->now();
  const bool dirty =
      std::any_of(pages_.begin(), pages_.end(), [](const auto& item) { return item.second.dirty; });
  const bool notes = notes_due();
  if (!fresh_ && !dirty && !notes && new_blocks_.empty()) return false;
  if (now < next_pages_at_) {
    if (!pages_timer_) {
      pages_timer_ = true;
      ctx_.env->after(next_pages_at_ - now, alive([this] {
                        pages_timer_ = false;
                        pump();
                      }));
    }
    return false;
  }
  if (split_oversized_page()) return true;
  if (pages_[kNewest].oversized) return false;  // it fits no write before more of it has ended
  PageCommit commit = new_page_commit();
  commit.puts.insert(kNewest);
  commit.bytes[kNewest] = page_bytes(kNewest);
  pages_[kNewest].dirty = false;
  for (auto& [number, page] : pages_) {
    if (!page.dirty || page.oversized) continue;
    if (commit.changes() + 1 >= commit.most) break;  // leaves a change for what is new
    page.dirty = false;
    commit.puts.insert(number);
  }
  if (fresh_) add_new_placements(commit);
  add_blocks(commit);
  add_notes(commit);
  clean_pages(commit);
  send_page_commit(std::move(commit));
  return true;
}

Part::PageCommit Part::new_page_commit() const {
  PageCommit commit;
  commit.txn = guarded();
  commit.most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  commit.most_guards = 4 * static_cast<std::size_t>(ctx_.settings->txn_ops);
  return commit;
}

void Part::send_page_commit(PageCommit commit) {
  for (const int number : commit.puts) {
    commit.txn.guard(keys::page(id_, number), pages_[number].revision);
    commit.txn.put(keys::page(id_, number), page_record(number).to_json());
  }
  for (const int number : commit.removes) {
    commit.txn.guard(keys::page(id_, number), pages_[number].revision);
    commit.txn.remove(keys::page(id_, number));
  }
  for (const auto& [block, record] : commit.blocks) {
    commit.txn.guard(block.key, 0);
    commit.txn.put(block.key, record);
  }
  for (const auto& [key, revision] : commit.heads) commit.txn.guard(key, revision);
  for (const auto& [key, revision] : commit.owners) commit.txn.guard(key, revision);
  for (const auto& [name, machine] : machines_) {
    for (const Placement& placement : machine->placements) {
      if (commit.puts.count(placement.page) == 0) continue;
      const PageCommit::Ref ref{name, placement.attempt, placement.index, placement.page};
      if (placement.stage == Placement::Stage::kFreeing) {
        commit.removed.push_back(ref);
      } else if (placement.job->attempt.stopping) {
        commit.stops.push_back(ref);
      }
    }
  }
  next_pages_at_ = ctx_.env->now() + page_gap(commit.changes());
  counters_.pages++;
  counters_.page_changes += commit.changes();
  const auto shared = std::make_shared<PageCommit>(std::move(commit));
  send_commit(
      Lane::kLaunch, kPageSlot, shared->txn,
      [this, shared](std::uint64_t revision) { pages_written(*shared, revision); },
      [this, shared](const std::vector<std::string>& failed) { return pages_refused(*shared, failed); });
}

// A page that was written under larger limits, by a node of an earlier version perhaps, can't be written
// again as it is. When it has to be (something in it has ended, or it is the newest), what it holds is spread
// over itself and new pages in one transaction, so that at no moment a placement or a completion is in
// neither. Two copies of that transaction can't both succeed: each needs the page as it was.
bool Part::split_oversized_page() {
  for (auto& [number, page] : pages_) {
    if (!page.oversized || (!page.dirty && number != kNewest)) continue;
    const auto limit = static_cast<std::size_t>(kSplitFill * value_bytes_);
    PageCommit commit = new_page_commit();
    const PageSplit split = plan_split(number, limit);
    if (split.pages > commit.most || split.pages + 1 > commit.most_guards) continue;
    spdlog::info("part {}: page {} is too large now, split into {}", id_, number, split.pages);
    std::vector<int> numbers = {number};
    while (numbers.size() < split.pages) numbers.push_back(++next_page_);
    for (const int each : numbers) {
      commit.puts.insert(each);
      if (each != number) commit.created[each] = number;
    }
    for (const auto& [ref, at] : split.placements) {
      if (at == 0) continue;
      find_placement(ref.machine, ref.attempt, ref.index)->page = numbers[at];
      commit.moved.push_back(ref);
    }
    for (const auto& [name, at] : split.notes) {
      if (at != 0) pages_[numbers[at]].done.insert(pages_[number].done.extract(name));
    }
    for (const int each : numbers) pages_[each].dirty = pages_[each].oversized = false;
    send_page_commit(std::move(commit));
    return true;
  }
  return false;
}

Part::PageSplit Part::plan_split(int number, std::size_t limit) const {
  PageSplit out;
  std::size_t used = kPageFrame;
  const auto take = [&out, &used, limit](std::size_t bytes) {
    const bool next = used + bytes > limit && used > kPageFrame;
    if (next) {
      out.pages++;
      used = kPageFrame;
    }
    used += bytes;
    return next;
  };
  for (const auto& [name, machine] : machines_) {
    bool entered = false;
    for (const Placement& placement : machine->placements) {
      if (placement.page != number || placement.stage == Placement::Stage::kFreeing) continue;
      const std::size_t bytes = placement_bytes(placement);
      if (take(bytes + (entered ? 0 : host_bytes(*machine))) && entered) used += host_bytes(*machine);
      entered = true;
      out.placements.emplace_back(PageCommit::Ref{name, placement.attempt, placement.index, number},
                                  out.pages - 1);
    }
  }
  for (const auto& [name, done] : pages_.at(number).done) {
    take(note_bytes(name, done));
    out.notes.emplace_back(name, out.pages - 1);
  }
  return out;
}

std::size_t Part::page_bytes(int number) const {
  std::size_t bytes = kPageFrame;
  for (const auto& [name, machine] : machines_) {
    bool any = false;
    for (const Placement& placement : machine->placements) {
      if (placement.page != number || placement.stage == Placement::Stage::kFreeing) continue;
      if (!any) bytes += host_bytes(*machine);
      any = true;
      bytes += placement_bytes(placement);
    }
  }
  const auto page = pages_.find(number);
  if (page == pages_.end()) return bytes;
  for (const auto& [name, done] : page->second.done) bytes += note_bytes(name, done);
  return bytes;
}

PageRecord Part::page_record(int number) const {
  PageRecord out;
  for (const auto& [name, machine] : machines_) {
    for (const Placement& placement : machine->placements) {
      if (placement.page != number || placement.stage == Placement::Stage::kFreeing) continue;
      const auto [it, fresh] = out.hosts.try_emplace(name);
      if (fresh) it->second = machine->record;
      it->second.placements.push_back({placement.job->spec().ref, placement.index, placement.attempt});
      std::vector<std::uint64_t>& stopping = it->second.stopping;
      if (placement.job->attempt.stopping && (stopping.empty() || stopping.back() != placement.attempt))
        stopping.push_back(placement.attempt);
    }
  }
  for (const auto& [name, done] : pages_.at(number).done) out.done.emplace(name, done.to_text());
  return out;
}

// The newest page is full: what it holds goes to a page of its own, once, and stays there.
bool Part::turn_page(PageCommit& commit) {
  if (commit.changes() + 1 > commit.most || commit.guards() + 2 > commit.most_guards) return false;
  const int turned = ++next_page_;
  commit.created[turned] = kNewest;
  Page& page = pages_[turned];
  page.done = std::move(pages_[kNewest].done);
  pages_[kNewest].done.clear();
  for (auto& [name, machine] : machines_) {
    for (Placement& placement : machine->placements) {
      if (placement.page != kNewest) continue;
      placement.page = turned;
      commit.moved.push_back({name, placement.attempt, placement.index, kNewest});
    }
  }
  commit.bytes[kNewest] = kPageFrame;
  commit.puts.insert(turned);
  return true;
}

// Room in the newest page for so many bytes more.
bool Part::use_newest(PageCommit& commit, std::size_t needs) {
  const std::size_t limit = page_limit();
  if (commit.bytes[kNewest] + needs > limit && !turn_page(commit)) return false;
  commit.bytes[kNewest] += needs;
  return true;
}

// All places of a gang go into one write, or none does: returns the gangs of which that is so. (One that is
// too large for a page is spread over several writes like other placements: nothing of it is launched before
// the last is durable.)
std::set<JobPtr> Part::add_gangs(PageCommit& commit) {
  std::map<JobPtr, std::vector<std::pair<Machine*, Placement*>>> gangs;
  for (auto& [name, machine] : machines_) {
    for (Placement& placement : machine->placements) {
      const bool is_new = placement.stage == Placement::Stage::kNew && placement.page == 0;
      if (is_new && placement.job->is_gang()) gangs[placement.job].emplace_back(machine.get(), &placement);
    }
  }
  std::set<JobPtr> whole;
  for (const auto& [job, placements] : gangs) {
    std::size_t bytes = 0;
    const Machine* last = nullptr;
    for (const auto& [machine, placement] : placements) {
      bytes += placement_bytes(*placement) + (machine != last ? host_bytes(*machine) : 0);
      last = machine;
    }
    if (bytes + kPageFrame > page_limit()) continue;
    whole.insert(job);
    if (commit.guards() + 3 > commit.most_guards || !use_newest(commit, bytes)) {
      fresh_ = true;
      continue;
    }
    commit.heads[keys::head(job->home, job->spec().ref)] = job->job_revision;
    for (const auto& [machine, placement] : placements) {
      placement->page = kNewest;
      commit.added.push_back({machine->name, placement->attempt, placement->index, 0});
    }
  }
  return whole;
}

void Part::add_new_placements(PageCommit& commit) {
  std::vector<Machine*> machines;
  for (auto& [name, machine] : machines_) {
    const bool any =
        std::any_of(machine->placements.begin(), machine->placements.end(),
                    [](const Placement& p) { return p.stage == Placement::Stage::kNew && p.page == 0; });
    if (any) machines.push_back(machine.get());
  }
  // Where a write could not take all, the next begins behind it.
  const auto next = std::find_if(machines.begin(), machines.end(),
                                 [this](const Machine* machine) { return machine->name > last_written_; });
  std::rotate(machines.begin(), next, machines.end());
  fresh_ = false;
  const std::set<JobPtr> gangs = add_gangs(commit);
  for (Machine* machine : machines) {
    bool entered = false;
    for (Placement& placement : machine->placements) {
      if (placement.stage != Placement::Stage::kNew || placement.page != 0) continue;
      if (gangs.count(placement.job) > 0) continue;
      const std::string head = keys::head(placement.job->home, placement.job->spec().ref);
      const bool known = commit.heads.count(head) > 0;
      if (commit.guards() + (known ? 0 : 1) + 2 > commit.most_guards) {
        fresh_ = true;
        return;
      }
      const std::size_t created = commit.created.size();
      if (!use_newest(commit, placement_bytes(placement) + (entered ? 0 : host_bytes(*machine)))) {
        fresh_ = true;
        return;
      }
      if (entered && commit.created.size() != created) commit.bytes[kNewest] += host_bytes(*machine);
      commit.heads[head] = placement.job->job_revision;
      entered = true;
      placement.page = kNewest;
      commit.added.push_back({machine->name, placement.attempt, placement.index, 0});
    }
    last_written_ = machine->name;
  }
}

void Part::add_blocks(PageCommit& commit) {
  while (!new_blocks_.empty() && commit.changes() < commit.most &&
         commit.guards() + 3 <= commit.most_guards) {
    NewBlock block = std::move(new_blocks_.front());
    new_blocks_.pop_front();
    const Job& job = *block.job;
    const auto lent = job.lent.find(block.key);
    if (lent == job.lent.end()) continue;
    if (job.over() || job.cancelling) {
      unlend(block);
      continue;
    }
    BlockRecord record;
    record.home = id_;
    record.job_revision = job.job_revision;
    record.head = job.head;
    record.works = !job.done.empty();
    record.range = lent->second.range;
    commit.heads[keys::head(id_, job.spec().ref)] = job.job_revision;
    commit.owners[keys::part(block.to)] = block.to_fencing_token;
    commit.blocks.emplace_back(std::move(block), record.to_json());
  }
}

// The block was not written: its tasks are still ours.
void Part::unlend(const NewBlock& block) {
  if (block.job->lent.count(block.key) == 0) return;
  take_back(block.job, block.key, {}, {});
  block.job->lent.erase(block.key);
}

// Completions that no other record is about to hold: they must be durable before they are reaped.
void Part::add_notes(PageCommit& commit) {
  if (notes_since_ == 0) return;
  const std::size_t limit = page_limit();
  bool left = false;
  for (const auto& [name, job] : jobs_) {
    if (!can_note(*job)) {
      left |= !job->unsaved.empty() && (job->fold_due || job->progress_inflight);
      continue;
    }
    const std::size_t needs = note_bytes(name, job->unsaved) + 1;
    if (needs > limit / 4) {
      job->fold_due = true;
      left = true;
      continue;
    }
    if (!use_newest(commit, needs)) {
      left = true;
      break;
    }
    RangeSet& noted = pages_[kNewest].done[name];
    noted.insert(job->unsaved);
    // Many scattered completions of one job are cheaper in its own record.
    if (noted.text_bytes() > limit / 8) job->fold_due = true;
    commit.saved.emplace_back(job, job->unsaved);
  }
  notes_since_ = left ? ctx_.env->now() : 0;
}

// Pages in which nothing counts any more go; when there are many more than needed, the emptiest moves into
// the newest. Only along with other changes, so that it costs no transaction.
void Part::clean_pages(PageCommit& commit) {
  if (commit.changes() >= commit.most || pages_.size() < 2) return;
  for (auto& [number, page] : pages_) {
    std::erase_if(page.done, [this](const auto& item) { return jobs_.count(item.first) == 0; });
  }
  std::map<int, std::size_t> live;
  for (const auto& [name, machine] : machines_) {
    for (const Placement& placement : machine->placements) live[placement.page]++;
  }
  std::size_t total = 0;
  std::size_t least = 0;
  int emptiest = 0;
  const std::size_t limit = page_limit();
  for (const auto& [number, page] : pages_) {
    if (commit.changes() >= commit.most || commit.guards() + 2 > commit.most_guards) return;
    if (commit.puts.count(number) > 0) continue;
    if (live[number] == 0 && page.done.empty()) {
      commit.removes.insert(number);
      continue;
    }
    const std::size_t bytes = page_bytes(number);
    total += bytes;
    if (emptiest == 0 || bytes < least) {
      emptiest = number;
      least = bytes;
    }
  }
  const std::size_t enough = 2 + 2 * total / std::max<std::size_t>(1, limit);
  if (emptiest == 0 || pages_.size() - commit.removes.size() <= enough || commit.changes() >= commit.most)
    return;
  // (Moving much would only fill the newest and have it turned.)
  if (pages_[emptiest].dirty || least > limit / 3 || commit.bytes[kNewest] + least > limit) return;
  for (auto& [name, machine] : machines_) {
    for (Placement& placement : machine->placements) {
      if (placement.page != emptiest) continue;
      placement.page = kNewest;
      commit.moved.push_back({name, placement.attempt, placement.index, emptiest});
    }
  }
  for (const auto& [name, done] : pages_[emptiest].done) {
    pages_[kNewest].done[name].insert(done);
  }
  commit.removes.insert(emptiest);
}

// (The tasks of a gang share an attempt number, and some of them a machine.)
Placement* Part::find_placement(const std::string& machine, std::uint64_t attempt, int index) {
  const auto it = machines_.find(machine);
  if (it == machines_.end()) return nullptr;
  for (Placement& placement : it->second->placements) {
    if (placement.attempt == attempt && placement.index == index) return &placement;
  }
  return nullptr;
}

void Part::pages_written(const PageCommit& commit, std::uint64_t revision) {
  for (const int number : commit.puts) pages_[number].revision = revision;
  for (const int number : commit.removes) pages_.erase(number);
  for (const auto& [block, record] : commit.blocks) {
    const auto lent = block.job->lent.find(block.key);
    if (lent != block.job->lent.end()) lent->second.revision = std::max(lent->second.revision, revision);
  }
  for (const auto& [job, indices] : commit.saved) job->saved(indices);
  std::set<JobPtr> gangs;
  for (const auto& ref : commit.added) {
    Placement* placement = find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    if (placement->stage == Placement::Stage::kNew) placement->stage = Placement::Stage::kRecorded;
    if (placement->job->is_gang()) gangs.insert(placement->job);
  }
  gangs_written(gangs);
  std::set<JobPtr> stopped;
  for (const auto& ref : commit.stops) {
    Placement* placement = find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    placement->stop_recorded = true;
    stopped.insert(placement->job);
  }
  for (const auto& ref : commit.removed) {
    const auto it = machines_.find(ref.machine);
    if (it == machines_.end()) continue;
    auto& placements = it->second->placements;
    for (std::size_t i = 0; i < placements.size(); i++) {
      if (placements[i].attempt != ref.attempt || placements[i].index != ref.index) continue;
      drop_placement(*it->second, i);
      break;
    }
  }
  stops_written(stopped);
  for (const auto& ref : commit.added) {
    const auto it = machines_.find(ref.machine);
    if (it != machines_.end()) answer(*it->second);
  }
}

// Only heads of jobs may have changed: they were cancelled meanwhile, by us or, of borrowed ones, by their
// home. Nothing of this was written; what belongs to other jobs is tried again.
bool Part::pages_refused(const PageCommit& commit, const std::vector<std::string>& failed) {
  const std::set<std::string> over(failed.begin(), failed.end());
  std::set<JobPtr> borrowed;
  for (const std::string& key : over) {
    bool explained = false;
    for (const auto& [name, job] : jobs_) {
      if (keys::head(job->home, job->spec().ref) != key) continue;
      if (job->borrowed()) borrowed.insert(job);
      explained |= job->borrowed() || job->cancelling || job->head.aborted;
    }
    // A job that is no longer here has ended, and its new placements with it.
    explained |= key.rfind(keys::heads(id_), 0) == 0 && jobs_.count(key.substr(keys::heads(id_).size())) == 0;
    explained |= commit.owners.count(key) > 0;  // a borrower was deposed
    if (!explained) return false;
  }
  for (const JobPtr& job : borrowed) drop_borrowed(job);
  // (A page that was created from the newest took over what those created before it had left there.)
  for (const auto& [created, from] : commit.created) {
    for (const auto& [name, done] : pages_[created].done) pages_[from].done[name].insert(done);
    pages_.erase(created);
  }
  for (const auto& [block, record] : commit.blocks) {
    const bool out =
        over.count(keys::part(block.to)) > 0 || over.count(keys::head(id_, block.job->spec().ref)) > 0;
    if (out) {
      unlend(block);
    } else {
      new_blocks_.push_back(block);
    }
  }
  // (Backwards: one that was moved twice goes to where it was at first.)
  for (auto it = commit.moved.rbegin(); it != commit.moved.rend(); ++it) {
    const PageCommit::Ref& ref = *it;
    if (Placement* placement = find_placement(ref.machine, ref.attempt, ref.index))
      placement->page = ref.page;
  }
  for (const auto& ref : commit.added) {
    Placement* placement = find_placement(ref.machine, ref.attempt, ref.index);
    if (placement == nullptr) continue;
    placement->page = 0;
    if (over.count(keys::head(placement->job->home, placement->job->spec().ref)) > 0) {
      free_placement(*placement, 0);
    }
    freeing_ = true;
  }
  for (const auto& ref : commit.removed) {
    if (commit.created.count(ref.page) == 0) pages_[ref.page].dirty = true;
  }
  for (const int number : commit.puts) {
    // (Those that were split may be too large again: the next write finds out.)
    if (commit.created.count(number) == 0)
      pages_[number].oversized |= static_cast<double>(page_bytes(number)) > kSplitFill * value_bytes_;
  }
  pages_[kNewest].dirty = true;
  fresh_ = true;
  if (!commit.saved.empty() && notes_since_ == 0) notes_since_ = ctx_.env->now() - kNoteDelay;
  return true;
}

}  // namespace mothslip
