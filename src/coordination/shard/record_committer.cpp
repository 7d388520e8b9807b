#include "coordination/shard/record_committer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <set>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kSilentAfter = 1.5;
constexpr double kLeastValueBytes = 1024;
// Two shards write these: the home shard and the delegate.
bool is_delegation(const std::string& key) { return key.rfind(keys::kDelegations, 0) == 0; }
}  // namespace

// One transaction is repeated until its fate is certain. When a copy of it went unanswered, a repeat can find
// that copy carried out: it is then refused for the revisions of the very keys that it changes. What shows
// this is a refusal for a key that nobody but this owner writes, one transaction at a time: only the copy can
// have changed it. Delegations show nothing of the kind by their revisions, for two shards write them: of a
// transaction that changes nothing else, what is read must be what was written. (A slow state service leaves
// many copies unanswered; giving the shard up each time once made takeovers of what was only delay. And a
// refusal for any key was once taken for success: an ending was told that was never written, because a
// delegation that goes with the job had changed.)
struct RecordCommitter::Write {
  RequestPriority priority = RequestPriority::kRest;
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
  ConflictHandler conflict;
  // Puts of keys that nobody else writes; where there is no such key, puts of delegations, then deletions.
  [[nodiscard]] std::vector<Effect> visible_effects() const;
};

RecordCommitter::RecordCommitter(const ShardContext& context, Hooks hooks)
    : ctx_(context), hooks_(std::move(hooks)), value_bytes_(ctx_.settings->value_kb * 1024) {}

Transaction RecordCommitter::guarded_transaction() const {
  Transaction txn;
  txn.guard(keys::shard_owner(ctx_.shard), ctx_.fencing_token);
  return txn;
}

void RecordCommitter::commit(RequestPriority priority, int slot, const Transaction& txn,
                             std::function<void(std::uint64_t)> done, ConflictHandler conflict) {
  inflight_[slot]++;
  auto write = std::make_shared<Write>();
  write->priority = priority;
  write->slot = slot;
  write->body = txn.body();
  write->changes = static_cast<int>(txn.changes.size());
  for (const Json& change : txn.changes)
    write->own.insert(change.at(change.contains("put") ? "put" : "delete").get<std::string>());
  write->done = std::move(done);
  write->conflict = std::move(conflict);
  try_commit(write);
}

bool RecordCommitter::state_silent() const {
  return stuck_since_ != 0 && ctx_.env->now() - stuck_since_ > kSilentAfter;
}

std::vector<RecordCommitter::Write::Effect> RecordCommitter::Write::visible_effects() const {
  const bool only_delegations = std::all_of(own.begin(), own.end(), is_delegation);
  const Json changes_made = parse_json(body)["then"];
  std::vector<Effect> out;
  for (const Json& change : changes_made) {
    if (!change.contains("put")) continue;
    const auto key = change["put"].get<std::string>();
    if (only_delegations || !is_delegation(key)) out.push_back({key, change["data"]});
  }
  for (const Json& change : changes_made) {
    if (only_delegations && !change.contains("put"))
      out.push_back({change["delete"].get<std::string>(), std::nullopt});
  }
  return out;
}

void RecordCommitter::try_commit(const std::shared_ptr<Write>& write) {
  ctx_.state->commit_body(
      write->priority, write->body, write->changes, alive_([this, write](const StateReply& reply) {
        if (reply.ok()) return settle(*write, reply.revision());
        if (reply.outcome == Outcome::kRefused || reply.outcome == Outcome::kUnknown) {
          if (stuck_since_ == 0) stuck_since_ = ctx_.env->now();
          write->unanswered |= reply.outcome == Outcome::kUnknown;
          ctx_.env->after(ctx_.env->uniform(0.15, 0.4), alive_([this, write] { try_commit(write); }));
          return;
        }
        on_refused(write, reply);
      }));
}

void RecordCommitter::on_refused(const std::shared_ptr<Write>& write, const StateReply& reply) {
  std::vector<std::string> failed;
  if (reply.outcome == Outcome::kConflict && reply.body.is_object() && reply.body.contains("failed")) {
    for (const Json& key : reply.body["failed"]) failed.push_back(key.get<std::string>());
  }
  const bool owner = std::find(failed.begin(), failed.end(), keys::shard_owner(ctx_.shard)) == failed.end();
  const bool only_delegations = std::all_of(write->own.begin(), write->own.end(), is_delegation);
  bool own = false;
  bool maybe_done = false;
  for (const std::string& key : failed) {
    if (write->own.count(key) == 0) continue;
    own = true;
    maybe_done |= only_delegations || !is_delegation(key);
  }
  if (owner && write->unanswered && maybe_done) {
    write->effects = write->visible_effects();
    return find_revision(write, 0, reply.revision());
  }
  const bool segment = std::any_of(failed.begin(), failed.end(), [this](const std::string& key) {
    return key.rfind(keys::segments(ctx_.shard), 0) == 0;
  });
  if (owner && segment && !write->unanswered) ctx_.contradicted("a page of the journal has changed");
  const bool too_large = reply.outcome == Outcome::kInvalid && !write->unanswered && shrink_writes();
  if ((too_large || (!failed.empty() && owner && !own)) && write->conflict && write->conflict(failed)) {
    stuck_since_ = 0;
    inflight_[write->slot]--;
    hooks_.send_due_writes();
    return;
  }
  ctx_.restart_shard("a commit was turned down: " + dump_json(reply.body));
}

// The state service calls a write invalid: its limits must have fallen below all that was announced. What is
// written from now on is smaller. False where it can't be.
bool RecordCommitter::shrink_writes() {
  if (value_bytes_ / 2 < kLeastValueBytes) return false;
  value_bytes_ /= 2;
  spdlog::warn("shard {}: the state service takes less than it announced: values of {} bytes from now on",
               ctx_.shard, value_bytes_);
  hooks_.values_shrunk();
  ctx_.state->shrink_transactions();
  return true;
}

// Its answer is lost: the revision is read from the first of its puts that is still there. A delegation that
// it put and that is gone was complete, which only this leader can have written, and its home has deleted it.
void RecordCommitter::find_revision(const std::shared_ptr<Write>& write, std::size_t at,
                                    std::uint64_t revision) {
  if (at == write->effects.size()) return settle(*write, revision);
  ctx_.state->get(
      write->priority, write->effects[at].key, alive_([this, write, at, revision](const StateReply& reply) {
        const Write::Effect& effect = write->effects[at];
        if (reply.outcome == Outcome::kMissing) {
          return effect.data ? find_revision(write, at + 1, revision) : settle(*write, revision);
        }
        if (!reply.ok() || !reply.body.contains("data")) {
          ctx_.env->after(0.3, alive_([this, write, at, revision] { find_revision(write, at, revision); }));
          return;
        }
        if (!is_delegation(effect.key) || (effect.data && reply.body["data"] == *effect.data)) {
          return settle(*write, reply.body.value("stamp", std::uint64_t{0}));
        }
        ctx_.restart_shard("a block that it writes was changed: " + effect.key);
      }));
}

void RecordCommitter::settle(const Write& write, std::uint64_t revision) {
  stuck_since_ = 0;
  inflight_[write.slot]--;
  write.done(revision);
  hooks_.send_due_writes();
}

}  // namespace mothslip
