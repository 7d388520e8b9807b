#include "coordination/shard/record_committer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <set>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kSilenceThresholdSeconds = 1.5;
constexpr double kMinValueBytes = 1024;
// Whether the key is that of a delegation record. The leaders of two shards write these records: that of the
// home shard and that of the delegate.
bool is_delegation(const std::string& key) { return key.rfind(keys::kDelegations, 0) == 0; }
}  // namespace

// A transaction that is repeated until its outcome is certain.
//
// If a copy of the transaction got no answer, that copy may have succeeded. A repeated copy is then rejected,
// because the revisions of the keys that the transaction changes have changed. A failed guard on a key that
// only this leader writes, one transaction at a time, proves that the earlier copy succeeded: nothing else
// can have changed the key. A failed guard on a delegation record proves nothing, because two leaders write
// those records. If a transaction changes only delegation records, the records are therefore read and
// compared with what was written.
//
// Restarting the shard after every unanswered copy is not an option: a slow state service leaves many copies
// unanswered, and mere delays then led to takeovers. Treating a failed guard on any changed key as success is
// wrong: when a delegation that is deleted along with its job had changed, an ending was reported that had
// never been written.
struct RecordCommitter::Write {
  RequestPriority priority = RequestPriority::kOther;
  int slot = 0;
  std::string body;
  int change_count = 0;
  std::set<std::string> changed_keys;
  bool has_unanswered_copy = false;  // a copy got no answer and may have succeeded
  struct Effect {
    std::string key;
    std::optional<Json> data;  // nullopt: the key has been deleted
  };
  std::vector<Effect> effects;  // checked one by one when the answer is lost
  std::function<void(std::uint64_t)> on_done;
  ConflictHandler on_conflict;
  // Returns the effects by which a read can show that the transaction succeeded: puts of keys that nobody
  // else writes. If the transaction changes only delegation records: their puts, then their deletions.
  [[nodiscard]] std::vector<Effect> visible_effects() const;
};

RecordCommitter::RecordCommitter(const ShardContext& context, Hooks hooks)
    : ctx_(context), hooks_(std::move(hooks)), max_value_bytes_(ctx_.settings->value_kb * 1024) {}

Transaction RecordCommitter::guarded_transaction() const {
  Transaction txn;
  txn.guard(keys::shard_owner(ctx_.shard), ctx_.fencing_token);
  return txn;
}

void RecordCommitter::commit(RequestPriority priority, int slot, const Transaction& txn,
                             std::function<void(std::uint64_t)> on_done, ConflictHandler on_conflict) {
  inflight_[slot]++;
  auto write = std::make_shared<Write>();
  write->priority = priority;
  write->slot = slot;
  write->body = txn.body();
  write->change_count = static_cast<int>(txn.changes.size());
  for (const Json& change : txn.changes)
    write->changed_keys.insert(change.at(change.contains("put") ? "put" : "delete").get<std::string>());
  write->on_done = std::move(on_done);
  write->on_conflict = std::move(on_conflict);
  try_commit(write);
}

bool RecordCommitter::is_state_service_unresponsive() const {
  return unanswered_since_ != 0 && ctx_.env->now() - unanswered_since_ > kSilenceThresholdSeconds;
}

std::vector<RecordCommitter::Write::Effect> RecordCommitter::Write::visible_effects() const {
  const bool only_delegations = std::all_of(changed_keys.begin(), changed_keys.end(), is_delegation);
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
  ctx_.state->commit_body(write->priority, write->body, write->change_count,
                          callback_guard_([this, write](const StateReply& reply) {
                            if (reply.ok()) return settle(*write, reply.revision());
                            if (reply.outcome == Outcome::kRefused || reply.outcome == Outcome::kUnknown) {
                              if (unanswered_since_ == 0) unanswered_since_ = ctx_.env->now();
                              write->has_unanswered_copy |= reply.outcome == Outcome::kUnknown;
                              ctx_.env->after(ctx_.env->uniform(0.15, 0.4),
                                              callback_guard_([this, write] { try_commit(write); }));
                              return;
                            }
                            on_refused(write, reply);
                          }));
}

void RecordCommitter::on_refused(const std::shared_ptr<Write>& write, const StateReply& reply) {
  std::vector<std::string> failed;
  if (reply.outcome == Outcome::kConflict) failed = reply.failed_keys();
  const bool is_still_owner =
      std::find(failed.begin(), failed.end(), keys::shard_owner(ctx_.shard)) == failed.end();
  const bool only_delegations =
      std::all_of(write->changed_keys.begin(), write->changed_keys.end(), is_delegation);
  bool changed_key_failed = false;
  bool may_have_succeeded = false;
  for (const std::string& key : failed) {
    if (write->changed_keys.count(key) == 0) continue;
    changed_key_failed = true;
    may_have_succeeded |= only_delegations || !is_delegation(key);
  }
  if (is_still_owner && write->has_unanswered_copy && may_have_succeeded) {
    write->effects = write->visible_effects();
    return find_revision(write, 0, reply.revision());
  }
  if (is_still_owner && !write->has_unanswered_copy) report_contradiction(*write, failed);
  const bool too_large =
      reply.outcome == Outcome::kInvalid && !write->has_unanswered_copy && reduce_write_sizes();
  if ((too_large || (!failed.empty() && is_still_owner && !changed_key_failed)) && write->on_conflict &&
      write->on_conflict(failed)) {
    unanswered_since_ = 0;
    inflight_[write->slot]--;
    hooks_.send_due_writes();
    return;
  }
  ctx_.restart_shard("the state service rejected a transaction: " + dump_json(reply.body));
}

// Reports lost state if a rejection shows that a record which only this leader writes has changed. The shard
// is then not restarted: the leader's memory becomes evidence for the rebuild.
void RecordCommitter::report_contradiction(const Write& write, const std::vector<std::string>& failed) const {
  const auto has_prefix = [](const std::string& key, const std::string& prefix) {
    return key.rfind(prefix, 0) == 0;
  };
  for (const std::string& key : failed) {
    if (has_prefix(key, keys::segments(ctx_.shard))) {
      // This text is shown to operators as the reason in the recovery status and stays as it is.
      ctx_.on_state_contradiction("a page of the journal has changed");
      return;
    }
    const bool only_leader_writes =
        has_prefix(key, keys::job_records(ctx_.shard)) || has_prefix(key, keys::progress_records(ctx_.shard));
    if (only_leader_writes && write.changed_keys.count(key) > 0) {
      ctx_.on_state_contradiction("a record of this shard has changed");
      return;
    }
  }
}

// Called when the state service rejects a transaction as invalid, which means that its limits are now lower
// than announced. Reduces the sizes of all later writes. Returns false if they cannot be reduced further.
bool RecordCommitter::reduce_write_sizes() {
  if (max_value_bytes_ / 2 < kMinValueBytes) return false;
  max_value_bytes_ /= 2;
  spdlog::warn(
      "shard {}: the state service rejected a transaction within its announced limits; values are limited to "
      "{} bytes from now on",
      ctx_.shard, max_value_bytes_);
  hooks_.value_limit_reduced();
  ctx_.state->shrink_transactions();
  return true;
}

// Determines the revision of a transaction whose answer was lost, by reading the first of its puts that still
// exists. If a delegation record that it put no longer exists, the home shard has deleted it because it was
// complete, and only this leader can have written it as complete.
void RecordCommitter::find_revision(const std::shared_ptr<Write>& write, std::size_t effect_index,
                                    std::uint64_t revision) {
  if (effect_index == write->effects.size()) return settle(*write, revision);
  ctx_.state->get(
      write->priority, write->effects[effect_index].key,
      callback_guard_([this, write, effect_index, revision](const StateReply& reply) {
        const Write::Effect& effect = write->effects[effect_index];
        if (reply.outcome == Outcome::kMissing) {
          return effect.data ? find_revision(write, effect_index + 1, revision) : settle(*write, revision);
        }
        if (!reply.has_data()) {
          ctx_.env->after(0.3, callback_guard_([this, write, effect_index, revision] {
                            find_revision(write, effect_index, revision);
                          }));
          return;
        }
        if (!is_delegation(effect.key) || (effect.data && reply.data() == *effect.data)) {
          return settle(*write, reply.item_revision());
        }
        ctx_.restart_shard(
            "a delegation record was changed while the outcome of a write to it was unknown: " + effect.key);
      }));
}

void RecordCommitter::settle(const Write& write, std::uint64_t revision) {
  unanswered_since_ = 0;
  inflight_[write.slot]--;
  write.on_done(revision);
  hooks_.send_due_writes();
}

}  // namespace mothslip
