// What a part writes: pages of its journal, endings, cancellations.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/part.hpp"

namespace mothslip {

namespace {
constexpr double kPageFill = 0.75;       // of the value size
constexpr double kPageShare = 0.45;      // of the part's share of changes, for the journal
constexpr std::size_t kMergeBlocks = 3;  // completed blocks worth a transaction of their own

// Two parts write these: the one that lends and the one that borrows.
bool is_block(const std::string& key) { return key.rfind(keys::kBlocks, 0) == 0; }
}  // namespace

Transaction Part::guarded() const {
  Transaction txn;
  txn.guard(keys::part(id_), baton_);
  return txn;
}

// One transaction is repeated until its fate is certain. When a copy of it went unanswered, a repeat can find
// that copy carried out: it is then refused for the revisions of the very keys that it changes. What shows
// this is a refusal for a key that nobody but this owner writes, one transaction at a time: only the copy can
// have changed it. Blocks show nothing of the kind by their revisions, for two parts write them: of a
// transaction that changes nothing else, what is read must be what was written. (A slow state service leaves
// many copies unanswered; giving the part up each time once made takeovers of what was only delay. And a
// refusal for any key was once taken for success: an ending was told that was never written, because a block
// that goes with the job had changed.)
struct Part::Write {
  Lane lane = Lane::kRest;
  int slot = 0;
  std::string body;
  int changes = 0;
  std::set<std::string> own;  // keys it changes
  bool unanswered = false;    // a copy may have been carried out
  struct Effect {
    std::string key;
    std::optional<Json> data;  // none: the key is gone
  };
  std::vector<Effect> effects;  // what a read can show of it; looked for when its answer is lost
  std::function<void(std::uint64_t)> done;
  Conflict conflict;
  // Puts of keys that nobody else writes; where there is no such key, puts of blocks, then deletions.
  [[nodiscard]] std::vector<Effect> visible_effects() const;
};

std::vector<Part::Write::Effect> Part::Write::visible_effects() const {
  const bool only_blocks = std::all_of(own.begin(), own.end(), is_block);
  const Json changes_made = parse_json(body)["then"];
  std::vector<Effect> out;
  for (const Json& change : changes_made) {
    if (!change.contains("put")) continue;
    const auto key = change["put"].get<std::string>();
    if (only_blocks || !is_block(key)) out.push_back({key, change["data"]});
  }
  for (const Json& change : changes_made) {
    if (only_blocks && !change.contains("put"))
      out.push_back({change["delete"].get<std::string>(), std::nullopt});
  }
  return out;
}

void Part::send_commit(Lane lane, int slot, const Transaction& txn, std::function<void(std::uint64_t)> done,
                       Conflict conflict) {
  inflight_[slot]++;
  auto write = std::make_shared<Write>();
  write->lane = lane;
  write->slot = slot;
  write->body = txn.body();
  write->changes = static_cast<int>(txn.then.size());
  for (const Json& change : txn.then)
    write->own.insert(change.at(change.contains("put") ? "put" : "delete").get<std::string>());
  write->done = std::move(done);
  write->conflict = std::move(conflict);
  try_commit(write);
}

void Part::try_commit(const std::shared_ptr<Write>& write) {
  ctx_.state->commit_body(
      write->lane, write->body, write->changes, alive([this, write](const StateReply& reply) {
        if (reply.ok()) return settle(*write, reply.epoch());
        if (reply.outcome == Outcome::kRefused || reply.outcome == Outcome::kUnknown) {
          if (stuck_since_ == 0) stuck_since_ = ctx_.env->now();
          write->unanswered |= reply.outcome == Outcome::kUnknown;
          ctx_.env->after(ctx_.env->uniform(0.15, 0.4), alive([this, write] { try_commit(write); }));
          return;
        }
        on_refused(write, reply);
      }));
}

void Part::on_refused(const std::shared_ptr<Write>& write, const StateReply& reply) {
  std::vector<std::string> failed;
  if (reply.outcome == Outcome::kConflict && reply.body.is_object() && reply.body.contains("failed")) {
    for (const Json& key : reply.body["failed"]) failed.push_back(key.get<std::string>());
  }
  const bool owner = std::find(failed.begin(), failed.end(), keys::part(id_)) == failed.end();
  const bool only_blocks = std::all_of(write->own.begin(), write->own.end(), is_block);
  bool own = false;
  bool maybe_done = false;
  for (const std::string& key : failed) {
    if (write->own.count(key) == 0) continue;
    own = true;
    maybe_done |= only_blocks || !is_block(key);
  }
  if (owner && write->unanswered && maybe_done) {
    write->effects = write->visible_effects();
    return find_stamp(write, 0, reply.epoch());
  }
  if (!failed.empty() && owner && !own && write->conflict && write->conflict(failed)) {
    stuck_since_ = 0;
    inflight_[write->slot]--;
    pump();
    return;
  }
  ctx_.abdicate("a commit was turned down: " + dump_json(reply.body));
}

// Its answer is lost: the revision is read from the first of its puts that is still there. A block that it
// put and that is gone was complete, which only we can have written, and its home has deleted it.
void Part::find_stamp(const std::shared_ptr<Write>& write, std::size_t at, std::uint64_t epoch) {
  if (at == write->effects.size()) return settle(*write, epoch);
  ctx_.state->get(write->lane, write->effects[at].key,
                  alive([this, write, at, epoch](const StateReply& reply) {
                    const Write::Effect& effect = write->effects[at];
                    if (reply.outcome == Outcome::kMissing) {
                      return effect.data ? find_stamp(write, at + 1, epoch) : settle(*write, epoch);
                    }
                    if (!reply.ok() || !reply.body.contains("data")) {
                      ctx_.env->after(0.3, alive([this, write, at, epoch] { find_stamp(write, at, epoch); }));
                      return;
                    }
                    if (!is_block(effect.key) || (effect.data && reply.body["data"] == *effect.data)) {
                      return settle(*write, reply.body.value("stamp", std::uint64_t{0}));
                    }
                    ctx_.abdicate("a block that it writes was changed: " + effect.key);
                  }));
}

void Part::settle(const Write& write, std::uint64_t epoch) {
  stuck_since_ = 0;
  inflight_[write.slot]--;
  write.done(epoch);
  pump();
}

void Part::pump() {
  if (!active_ || pumping_) return;
  pumping_ = true;
  while (inflight_[kCancelSlot] < kSlotLimit[kCancelSlot] && commit_cancels()) {
  }
  if (freeing_) sweep_freed();
  commit_pages();
  while (inflight_[kDoneSlot] < kSlotLimit[kDoneSlot] && commit_dones()) {
  }
  while (inflight_[kDoneSlot] < kSlotLimit[kDoneSlot] && commit_blocks()) {
  }
  while (inflight_[kRestSlot] < kSlotLimit[kRestSlot] && (commit_rest() || note_cancels())) {
  }
  pumping_ = false;
}

bool Part::commit_cancels() {
  for (auto& [ref, job] : jobs_) {
    if (job->borrowed() || job->cancel_waiters.empty() || job->finishing || job->cancelling ||
        job->head.aborted)
      continue;
    if (job->complete()) continue;  // commit_dones ends it
    job->cancelling = true;
    HeadRecord head = job->head;
    head.aborted = true;
    head.spread = !job->lent_all_complete();
    Transaction txn = guarded();
    txn.guard(keys::head(id_, ref), job->head_stamp);
    txn.put(keys::head(id_, ref), head.to_json());
    send_commit(Lane::kCancel, kCancelSlot, txn, [this, job = job, head](std::uint64_t epoch) {
      job->cancelling = false;
      job->head = head;
      job->head_stamp = epoch;
      job->waiting.clear();
      job->backoff.clear();
      spdlog::info("{} cancelled, {} tasks to stop", job->spec().ref, job->placed);
      cancelled(job);
    });
    stop_directly(job);
    return true;
  }
  return false;
}

// ---------------------------------------------------------------- the journal's pages

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
    std::uint64_t try_no = 0;
    int page = 0;  // moved: where it was before
  };
  std::vector<Ref> added;
  std::vector<Ref> removed;
  std::vector<Ref> moved;
  std::vector<std::pair<JobPtr, RangeSet>> saved;
  std::vector<std::pair<NewBlock, Json>> blocks;
  std::map<std::string, std::uint64_t> owners;  // of the parts that borrow
  int turned = 0;                               // the page that took over what the newest one held
  [[nodiscard]] std::size_t changes() const { return puts.size() + removes.size() + blocks.size(); }
  [[nodiscard]] std::size_t guards() const { return 1 + changes() + heads.size() + owners.size(); }
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
double Part::page_gap() const {
  const double share = ctx_.settings->state_write_rps / ctx_.parts;
  const double gap = 1 / std::max(0.1, kPageShare * share);
  return ctx_.state->writes_left() > 0.6 ? gap / 4 : gap;
}

std::size_t Part::page_limit() const { return static_cast<std::size_t>(kPageFill * value_bytes_); }

bool Part::commit_pages() {
  if (inflight_[kPageSlot] > 0) return false;
  const double now = ctx_.env->now();
  const bool dirty =
      std::any_of(pages_.begin(), pages_.end(), [](const auto& item) { return item.second.dirty; });
  const bool notes = notes_since_ != 0 && now - notes_since_ >= kNoteDelay;
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
  PageCommit commit;
  commit.txn = guarded();
  commit.most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  commit.most_guards = 4 * static_cast<std::size_t>(ctx_.settings->txn_ops);
  commit.puts.insert(kNewest);
  commit.bytes[kNewest] = page_bytes(kNewest);
  pages_[kNewest].dirty = false;
  for (auto& [number, page] : pages_) {
    if (!page.dirty || commit.changes() + 1 >= commit.most) continue;  // leaves a change for what is new
    page.dirty = false;
    commit.puts.insert(number);
  }
  if (fresh_) add_new_placements(commit);
  add_blocks(commit);
  add_notes(commit);
  clean_pages(commit);
  for (const int number : commit.puts) {
    commit.txn.guard(keys::page(id_, number), pages_[number].stamp);
    commit.txn.put(keys::page(id_, number), page_record(number).to_json());
  }
  for (const int number : commit.removes) {
    commit.txn.guard(keys::page(id_, number), pages_[number].stamp);
    commit.txn.remove(keys::page(id_, number));
  }
  for (const auto& [block, record] : commit.blocks) {
    commit.txn.guard(block.key, 0);
    commit.txn.put(block.key, record);
  }
  for (const auto& [key, stamp] : commit.heads) commit.txn.guard(key, stamp);
  for (const auto& [key, stamp] : commit.owners) commit.txn.guard(key, stamp);
  for (const auto& [name, machine] : machines_) {
    for (const Placement& placement : machine->placements) {
      if (placement.stage == Placement::Stage::kFreeing && commit.puts.count(placement.page) > 0) {
        commit.removed.push_back({name, placement.try_no, placement.page});
      }
    }
  }
  next_pages_at_ = now + page_gap();
  counters_.pages++;
  counters_.page_changes += commit.changes();
  const auto shared = std::make_shared<PageCommit>(std::move(commit));
  send_commit(
      Lane::kLaunch, kPageSlot, shared->txn,
      [this, shared](std::uint64_t epoch) { pages_written(*shared, epoch); },
      [this, shared](const std::vector<std::string>& failed) { return pages_refused(*shared, failed); });
  return true;
}

namespace {
// Upper bounds for the text of a machine's entry and of one placement in it.
std::size_t host_bytes(const Machine& machine) {
  return 70 + machine.name.size() + machine.record.address.size() + machine.record.flavour.size() +
         machine.record.hall.size();
}
std::size_t placement_bytes(const Placement& placement) { return 34 + placement.job->spec().ref.size(); }
constexpr std::size_t kBytesPerNote = 12;  // of text, a range
}  // namespace

std::size_t Part::page_bytes(int number) const {
  std::size_t bytes = 20;
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
  for (const auto& [name, done] : page->second.done)
    bytes += name.size() + 8 + done.range_count() * kBytesPerNote;
  return bytes;
}

PageRecord Part::page_record(int number) const {
  PageRecord out;
  for (const auto& [name, machine] : machines_) {
    for (const Placement& placement : machine->placements) {
      if (placement.page != number || placement.stage == Placement::Stage::kFreeing) continue;
      const auto [it, fresh] = out.hosts.try_emplace(name);
      if (fresh) it->second = machine->record;
      it->second.placements.push_back({placement.job->spec().ref, placement.index, placement.try_no});
    }
  }
  for (const auto& [name, done] : pages_.at(number).done) out.done.emplace(name, done.to_text());
  return out;
}

// The newest page is full: what it holds goes to a page of its own, once, and stays there.
bool Part::turn_page(PageCommit& commit) {
  if (commit.turned != 0 || commit.changes() + 1 > commit.most || commit.guards() + 2 > commit.most_guards)
    return false;
  commit.turned = ++next_page_;
  Page& page = pages_[commit.turned];
  page.done = std::move(pages_[kNewest].done);
  pages_[kNewest].done.clear();
  for (auto& [name, machine] : machines_) {
    for (Placement& placement : machine->placements) {
      if (placement.page != kNewest) continue;
      placement.page = commit.turned;
      commit.moved.push_back({name, placement.try_no, kNewest});
    }
  }
  commit.bytes[kNewest] = 20;
  commit.puts.insert(commit.turned);
  return true;
}

// Room in the newest page for so many bytes more.
bool Part::use_newest(PageCommit& commit, std::size_t needs) {
  const std::size_t limit = page_limit();
  if (commit.bytes[kNewest] + needs > limit && !turn_page(commit)) return false;
  commit.bytes[kNewest] += needs;
  return true;
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
  for (Machine* machine : machines) {
    bool entered = false;
    for (Placement& placement : machine->placements) {
      if (placement.stage != Placement::Stage::kNew || placement.page != 0) continue;
      const std::string head = keys::head(placement.job->home, placement.job->spec().ref);
      const bool known = commit.heads.count(head) > 0;
      if (commit.guards() + (known ? 0 : 1) + 2 > commit.most_guards) {
        fresh_ = true;
        return;
      }
      const int turned = commit.turned;
      if (!use_newest(commit, placement_bytes(placement) + (entered ? 0 : host_bytes(*machine)))) {
        fresh_ = true;
        return;
      }
      if (commit.turned != turned) commit.bytes[kNewest] += host_bytes(*machine);
      commit.heads[head] = placement.job->head_stamp;
      entered = true;
      placement.page = kNewest;
      commit.added.push_back({machine->name, placement.try_no, 0});
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
    record.head_stamp = job.head_stamp;
    record.head = job.head;
    record.works = !job.done.empty();
    record.range = lent->second.range;
    commit.heads[keys::head(id_, job.spec().ref)] = job.head_stamp;
    commit.owners[keys::part(block.to)] = block.to_baton;
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
    if (job->unsaved.empty() || job->finishing || job->head.aborted) continue;
    if (job->complete() && (job->borrowed() || job->lent_all_complete())) continue;  // its ending says it all
    if (job->fold_due || job->progress_inflight) {
      left = true;
      continue;
    }
    const std::size_t needs = name.size() + 8 + (job->unsaved.range_count() + 1) * kBytesPerNote;
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
    if (noted.range_count() * kBytesPerNote > limit / 8) job->fold_due = true;
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
  if (pages_[emptiest].dirty || commit.bytes[kNewest] + least > limit) return;
  for (auto& [name, machine] : machines_) {
    for (Placement& placement : machine->placements) {
      if (placement.page != emptiest) continue;
      placement.page = kNewest;
      commit.moved.push_back({name, placement.try_no, emptiest});
    }
  }
  for (const auto& [name, done] : pages_[emptiest].done) {
    pages_[kNewest].done[name].insert(done);
  }
  commit.removes.insert(emptiest);
}

Placement* Part::find_placement(const std::string& machine, std::uint64_t try_no) {
  const auto it = machines_.find(machine);
  if (it == machines_.end()) return nullptr;
  for (Placement& placement : it->second->placements) {
    if (placement.try_no == try_no) return &placement;
  }
  return nullptr;
}

void Part::pages_written(const PageCommit& commit, std::uint64_t epoch) {
  for (const int number : commit.puts) pages_[number].stamp = epoch;
  for (const int number : commit.removes) pages_.erase(number);
  for (const auto& [block, record] : commit.blocks) {
    const auto lent = block.job->lent.find(block.key);
    if (lent != block.job->lent.end()) lent->second.stamp = std::max(lent->second.stamp, epoch);
  }
  for (const auto& [job, indices] : commit.saved) job->saved(indices);
  for (const auto& ref : commit.added) {
    Placement* placement = find_placement(ref.machine, ref.try_no);
    if (placement != nullptr && placement->stage == Placement::Stage::kNew)
      placement->stage = Placement::Stage::kRecorded;
  }
  for (const auto& ref : commit.removed) {
    const auto it = machines_.find(ref.machine);
    if (it == machines_.end()) continue;
    auto& placements = it->second->placements;
    for (std::size_t i = 0; i < placements.size(); i++) {
      if (placements[i].try_no != ref.try_no) continue;
      drop_placement(*it->second, i);
      break;
    }
  }
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
  if (commit.turned != 0) {
    for (const auto& [name, done] : pages_[commit.turned].done) {
      pages_[kNewest].done[name].insert(done);
    }
    pages_.erase(commit.turned);
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
  for (const auto& ref : commit.moved) {
    if (Placement* placement = find_placement(ref.machine, ref.try_no)) placement->page = ref.page;
  }
  for (const auto& ref : commit.added) {
    Placement* placement = find_placement(ref.machine, ref.try_no);
    if (placement == nullptr) continue;
    placement->page = 0;
    if (over.count(keys::head(placement->job->home, placement->job->spec().ref)) > 0) {
      free_placement(*placement, 0);
    }
    freeing_ = true;
  }
  for (const auto& ref : commit.removed) {
    if (ref.page != commit.turned) pages_[ref.page].dirty = true;
  }
  pages_[kNewest].dirty = true;
  fresh_ = true;
  if (!commit.saved.empty() && notes_since_ == 0) notes_since_ = ctx_.env->now() - kNoteDelay;
  return true;
}

// The job's own record holds these now.
void Part::folded(const JobPtr& job, const std::string& name, const RangeSet& done) {
  job->saved(done);
  for (auto& [number, page] : pages_) {
    const auto it = page.done.find(name);
    if (it == page.done.end()) continue;
    it->second.erase(done);
    if (it->second.empty()) page.done.erase(it);
  }
}

// ---------------------------------------------------------------- jobs

// The last completion of a job ends it. Before that, completions are in the journal's pages, and are folded
// into the job's own record when they have grown long there. Blocks that others have completed are taken into
// it and deleted.
// Jobs whose ending can be written, urgent ones first. (A swarm of one-task jobs brings more endings than the
// state service takes changes: in the order of their names, urgent jobs were told to be done minutes late.)
std::vector<JobPtr> Part::jobs_to_end() const {
  std::vector<JobPtr> out;
  for (const auto& [name, job] : jobs_) {
    const bool busy = job->finishing || job->cancelling || job->head.aborted || job->progress_inflight;
    if (!job->borrowed() && !busy && job->complete() && job->lent_all_complete()) out.push_back(job);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const JobPtr& a, const JobPtr& b) { return goes_before(*a, *b); });
  return out;
}

bool Part::commit_dones() {
  Transaction txn = guarded();
  std::vector<JobPtr> finished;
  std::vector<std::pair<JobPtr, RangeSet>> saved;
  std::vector<std::pair<JobPtr, std::string>> merged;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (const JobPtr& job : jobs_to_end()) {
    const std::string& ref = job->spec().ref;
    const std::size_t needs = 3 + job->lent.size();
    if (needs > most || txn.then.size() + needs > most) continue;
    job->finishing = true;
    counters_.endings++;
    txn.guard(keys::head(id_, ref), job->head_stamp);
    txn.guard(keys::progress(id_, ref), job->progress_stamp);
    txn.put(keys::ending(id_, ref), ending_json("done", job->spec().pieces));
    txn.remove(keys::head(id_, ref));
    if (job->progress_stamp != 0) txn.remove(keys::progress(id_, ref));
    for (const auto& [key, lent] : job->lent) {
      txn.guard(key, lent.stamp);
      txn.remove(key);
    }
    finished.push_back(job);
  }
  for (auto& [ref, job] : jobs_) {
    if (job->borrowed() || job->finishing || job->cancelling || job->progress_inflight || job->head.aborted)
      continue;
    std::size_t complete = 0;
    for (const auto& [key, lent] : job->lent) complete += lent.complete() ? 1 : 0;
    // A completed job comes here only when it has too many blocks to end in one go.
    const bool too_many = job->complete() && 3 + job->lent.size() > most;
    const bool due = job->fold_due && !job->complete();
    if (!due && !too_many && (job->complete() || complete < kMergeBlocks)) continue;
    if (txn.then.size() + 1 + (complete > 0 ? 1 : 0) > most) break;
    job->progress_inflight = true;
    txn.guard(keys::progress(id_, ref), job->progress_stamp);
    // (The head, too: it ends with the job, so that no late copy of this leaves a record behind.)
    txn.guard(keys::head(id_, ref), job->head_stamp);
    txn.put(keys::progress(id_, ref), {{"done", job->done.to_text()}});
    job->fold_due = false;
    saved.emplace_back(job, job->done);
    for (const auto& [key, lent] : job->lent) {
      if (!lent.complete() || txn.then.size() + 1 > most) continue;
      txn.guard(key, lent.stamp);
      txn.remove(key);
      merged.emplace_back(job, key);
    }
  }
  if (finished.empty() && saved.empty()) return false;
  const auto done = [this, finished, saved, merged](std::uint64_t epoch) {
    for (const auto& [job, key] : merged) job->lent.erase(key);
    for (const auto& [job, indices] : saved) {
      job->progress_inflight = false;
      job->progress_stamp = epoch;
      folded(job, job->spec().ref, indices);
    }
    for (const JobPtr& job : finished) {
      const std::string ref = job->spec().ref;
      spdlog::info("{} done after {:.1f} s", ref, ctx_.env->wall() - job->head.submitted);
      for (const Job::CancelWaiter& waiter : job->cancel_waiters) {
        waiter.responder.send(200, cancellation_body(ref, JobPhase::kDone));
      }
      ctx_.ended(ref, {JobPhase::kDone, job->spec().pieces, 0});
      job->unsaved.clear();
      forget(ref);
    }
  };
  // A cancellation came in between: what belongs to other jobs is tried again.
  const auto conflict = [this, finished, saved](const std::vector<std::string>& failed) {
    for (const std::string& key : failed) {
      const auto it = jobs_.find(key.substr(key.rfind('/') + 1));
      const bool cancelled = key.rfind(keys::heads(id_), 0) == 0 &&
                             (it == jobs_.end() || it->second->cancelling || it->second->head.aborted);
      if (!cancelled) return false;
    }
    for (const auto& [job, indices] : saved) {
      job->progress_inflight = false;
      job->fold_due = true;
    }
    for (const JobPtr& job : finished) job->finishing = false;
    return true;
  };
  send_commit(Lane::kDone, kDoneSlot, txn, done, conflict);
  return true;
}

// Cancelled jobs whose last task is known to be gone.
bool Part::commit_rest() {
  Transaction txn = guarded();
  std::vector<std::string> cleaned;
  const auto most = static_cast<std::size_t>(ctx_.state->writes_per_txn());
  for (auto& [name, job] : jobs_) {
    if (!job->head.aborted || job->cleaning || job->placed > 0 || job->progress_inflight) continue;
    if (job->borrowed()) {
      // A block whose record is complete is the home's to delete.
      if (job->complete() && job->unsaved.empty()) continue;
      if (txn.then.size() + 1 > most) break;
      txn.guard(name, job->block_stamp);
      txn.remove(name);
    } else {
      const std::string& ref = name;
      if (!job->lent_all_complete()) continue;  // their borrowers delete them
      std::size_t blocks = job->lent.size();
      if (txn.then.size() + 3 + blocks > most && !txn.then.empty()) break;
      txn.guard(keys::head(id_, ref), job->head_stamp);
      txn.guard(keys::progress(id_, ref), job->progress_stamp);
      txn.put(keys::ending(id_, ref), ending_json("aborted", job->spec().pieces));
      txn.remove(keys::head(id_, ref));
      if (job->progress_stamp != 0) txn.remove(keys::progress(id_, ref));
      for (const auto& [key, lent] : job->lent) {
        txn.guard(key, lent.stamp);
        txn.remove(key);
      }
    }
    job->cleaning = true;
    cleaned.push_back(name);
  }
  if (cleaned.empty()) return false;
  send_commit(Lane::kRest, kRestSlot, txn, [this, cleaned](std::uint64_t) {
    for (const std::string& name : cleaned) {
      // Its blocks are gone or complete: their borrowers know, or have nothing left of it.
      const auto it = jobs_.find(name);
      if (it == jobs_.end()) continue;
      if (!it->second->borrowed()) confirm(it->second);
      forget(name);
    }
  });
  return true;
}

}  // namespace mothslip
