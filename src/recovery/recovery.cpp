#include "recovery/recovery.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/ownership/ownership.hpp"

namespace mothslip::recovery {

namespace {
constexpr double kLookEvery = 0.5;
constexpr double kRenewEvery = 1.0;
}  // namespace

Recovery::Recovery(Context context)
    : ctx_(std::move(context)), store_(*ctx_.env, *ctx_.settings), begun_(ctx_.last.number) {}

void Recovery::start() { look(); }

Json Recovery::status() const {
  Json out = {{"begun", begun_}, {"leads", rebuild_ != nullptr}};
  if (rebuild_) out["rebuild"] = rebuild_->status();
  return out;
}

void Recovery::look_again() {
  ctx_.env->after(kLookEvery, [this] { look(); });
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
  const auto meta = reply.ok() ? MetaRecord::from_json(reply.body.value("data", Json())) : std::nullopt;
  if (!meta) {
    if (reply.ok()) spdlog::error("recovery: the record meta cannot be read");
    return look_again();
  }
  const auto revision = reply.body.value("stamp", std::uint64_t{0});
  begun_ = std::max(begun_, meta->begun);
  if (meta->rebuilding()) return look_for_leader(*meta, revision);
  const bool newer = meta->incarnation.number > ctx_.last.number && meta->incarnation.number >= begun_;
  if (newer) return ctx_.published(*meta);
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
    const std::uint64_t lease = reply.ok() ? reply.body.value("hold", std::uint64_t{0}) : 0;
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
  transaction.put_with_lease(kLeaderKey, {{"node", ctx_.settings->node}, {"begun", next.begun}}, lease);
  const auto most = static_cast<std::size_t>(ctx_.settings->txn_ops);
  for (int shard = 0; shard < meta.shards && transaction.then.size() < most; shard++)
    transaction.put(meta.incarnation.prefix + keys::shard(shard), {{"node", kRebuiltOwner}});
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
  plan.nonce = std::to_string(ctx_.env->random() % 1'000'000'000);
  plan.last = ctx_.last;
  plan.process_uptime_s = ctx_.env->now() - ctx_.process_started;
  plan.own_evidence = ctx_.own_evidence;
  const auto deposed = [this] { ctx_.env->after(0, [this] { stop_leading(); }); };
  rebuild_ = std::make_unique<Rebuild>(*ctx_.env, *ctx_.settings, std::move(plan),
                                       Rebuild::Handlers{ctx_.published, deposed});
  ctx_.env->after(kRenewEvery, [this, lease] { renew(lease); });
  rebuild_->start();
}

void Recovery::renew(std::uint64_t lease) {
  if (lease != lease_) return;
  store_.lease_renew(lease, kRenewEvery * 1.5, [this, lease](const StateReply& reply) {
    if (lease != lease_) return;
    if (reply.outcome == Outcome::kMissing) return stop_leading();
    ctx_.env->after(reply.ok() ? kRenewEvery : kLookEvery, [this, lease] { renew(lease); });
  });
}

void Recovery::stop_leading() {
  spdlog::warn("recovery: this controller leads no more");
  lease_ = 0;
  rebuild_.reset();
  look();
}

}  // namespace mothslip::recovery
