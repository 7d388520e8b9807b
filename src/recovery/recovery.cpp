#include "recovery/recovery.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/ownership/ownership.hpp"
#include "recovery/messages.hpp"
#include "recovery/state_answer.hpp"

namespace mothslip::recovery {

namespace {
constexpr double kLookSeconds = 0.5;   // between looks at `meta`
constexpr double kRenewSeconds = 1.0;  // between renewals of the leader's lease
constexpr double kRenewTimeoutSeconds = kRenewSeconds * 1.5;
constexpr std::uint64_t kNonces = 1'000'000'000;
}  // namespace

Recovery::Recovery(Context context)
    : ctx_(std::move(context)), store_(*ctx_.env, *ctx_.settings), begun_(ctx_.last.number) {}

void Recovery::start() { look(); }

RecoveryStatus Recovery::status() const {
  RecoveryStatus out;
  out.begun = begun_;
  out.leads = rebuild_ != nullptr;
  if (rebuild_) out.rebuild = rebuild_->status();
  return out;
}

void Recovery::look_again() {
  ctx_.env->after(kLookSeconds, [this] { look(); });
}

void Recovery::look() {
  store_.get(RequestPriority::kLease, keys::kMeta, [this](const StateReply& reply) { on_meta(reply); });
}

void Recovery::on_meta(const StateReply& reply) {
  if (reply.outcome == Outcome::kMissing) {
    MetaRecord meta;
    meta.shards = ctx_.shards > 0 ? ctx_.shards : static_cast<int>(ctx_.settings->members.size()) + 1;
    return claim(meta, 0);
  }
  const auto meta = meta_of(reply);
  if (!meta) {
    if (reply.ok()) spdlog::error("recovery: the record meta cannot be read");
    return look_again();
  }
  const std::uint64_t revision = stored_revision(reply);
  begun_ = std::max(begun_, meta->begun);
  if (meta->rebuilding()) return look_for_leader(*meta, revision);
  const int published = meta->incarnation.number;
  if (published > ctx_.last.number && published >= begun_) return ctx_.published(*meta);
  claim(*meta, revision);
}

void Recovery::look_for_leader(const MetaRecord& meta, std::uint64_t meta_revision) {
  store_.get(RequestPriority::kLease, kLeaderKey, [this, meta, meta_revision](const StateReply& reply) {
    if (reply.outcome == Outcome::kMissing) {
      claim(meta, meta_revision);
    } else {
      look_again();
    }
  });
}

void Recovery::claim(const MetaRecord& meta, std::uint64_t meta_revision) {
  store_.lease_create(Ownership::kLeaseSeconds, [this, meta, meta_revision](const StateReply& reply) {
    const std::uint64_t lease = created_lease(reply);
    if (lease == 0) return look_again();
    claim_with(lease, meta, meta_revision);
  });
}

// One write takes the lead, makes `meta` say that records are being rebuilt, and takes the shards of the
// incarnation before from their owners.
void Recovery::claim_with(std::uint64_t lease, const MetaRecord& meta, std::uint64_t meta_revision) {
  MetaRecord next = meta;
  next.begun = std::max({meta.begun, begun_, ctx_.last.number}) + 1;
  Transaction transaction;
  transaction.guard(keys::kMeta, meta_revision);
  transaction.guard(kLeaderKey, 0);
  transaction.put(keys::kMeta, next.to_json());
  transaction.put_with_lease(kLeaderKey, LeaderRecord{ctx_.settings->node, next.begun}.to_json(), lease);
  const auto most = static_cast<std::size_t>(ctx_.settings->txn_ops);
  for (int shard = 0; shard < meta.shards && transaction.then.size() < most; shard++)
    transaction.put(meta.incarnation.prefix + keys::shard_owner(shard), {{"node", kRebuiltOwner}});
  store_.commit(RequestPriority::kLease, transaction, [this, lease, next](const StateReply& reply) {
    if (reply.ok()) {
      lead(lease, next, reply.revision());
    } else {
      look_again();  // somebody else was first, or nobody knows: the lease of a lost claim runs out
    }
  });
}

void Recovery::lead(std::uint64_t lease, const MetaRecord& meta, std::uint64_t revision) {
  lease_ = lease;
  begun_ = meta.begun;
  Rebuild::Plan plan;
  plan.meta = meta;
  plan.meta_revision = revision;
  plan.leader_revision = revision;
  plan.nonce = std::to_string(ctx_.env->random() % kNonces);
  plan.last_incarnation = ctx_.last;
  plan.process_uptime_s = ctx_.env->now() - ctx_.process_started;
  plan.own_evidence = ctx_.own_evidence;
  const auto deposed = [this] { ctx_.env->after(0, [this] { stop_leading(); }); };
  rebuild_ = std::make_unique<Rebuild>(*ctx_.env, *ctx_.settings, std::move(plan),
                                       Rebuild::Handlers{ctx_.published, deposed});
  ctx_.env->after(kRenewSeconds, [this, lease] { renew(lease); });
  rebuild_->start();
}

void Recovery::renew(std::uint64_t lease) {
  if (lease != lease_) return;
  store_.lease_renew(lease, kRenewTimeoutSeconds, [this, lease](const StateReply& reply) {
    if (lease != lease_) return;
    if (reply.outcome == Outcome::kMissing) return stop_leading();
    ctx_.env->after(reply.ok() ? kRenewSeconds : kLookSeconds, [this, lease] { renew(lease); });
  });
}

void Recovery::stop_leading() {
  spdlog::warn("recovery: this controller leads no more");
  lease_ = 0;
  rebuild_.reset();
  look();
}

}  // namespace mothslip::recovery
