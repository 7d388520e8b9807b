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
constexpr double kMetaPollIntervalSeconds = 0.5;  // also the delay before a failed renewal is retried
constexpr double kRenewalIntervalSeconds = 1.0;   // for the leader's lease
constexpr double kRenewalTimeoutSeconds = kRenewalIntervalSeconds * 1.5;
constexpr std::uint64_t kNonceLimit = 1'000'000'000;
}  // namespace

Recovery::Recovery(Context context)
    : ctx_(std::move(context)),
      store_(*ctx_.env, *ctx_.settings),
      target_incarnation_(ctx_.last_incarnation.number) {}

void Recovery::start() { read_meta(); }

RecoveryStatus Recovery::status() const {
  RecoveryStatus out;
  out.target_incarnation = target_incarnation_;
  out.is_leader = rebuild_ != nullptr;
  if (rebuild_) out.rebuild = rebuild_->status();
  return out;
}

void Recovery::read_meta_later() {
  ctx_.env->after(kMetaPollIntervalSeconds, [this] { read_meta(); });
}

void Recovery::read_meta() {
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
    if (reply.ok())
      spdlog::error(
          "recovery: the record meta has a format that this version does not know; reading it again");
    return read_meta_later();
  }
  const std::uint64_t revision = reply.item_revision();
  target_incarnation_ = std::max(target_incarnation_, meta->target_incarnation);
  if (meta->is_rebuilding()) return check_for_leader(*meta, revision);
  const int published = meta->incarnation.number;
  if (published > ctx_.last_incarnation.number && published >= target_incarnation_)
    return ctx_.published(*meta);
  claim(*meta, revision);
}

void Recovery::check_for_leader(const MetaRecord& meta, std::uint64_t meta_revision) {
  store_.get(RequestPriority::kLease, kLeaderKey, [this, meta, meta_revision](const StateReply& reply) {
    if (reply.outcome == Outcome::kMissing) {
      claim(meta, meta_revision);
    } else {
      read_meta_later();
    }
  });
}

void Recovery::claim(const MetaRecord& meta, std::uint64_t meta_revision) {
  store_.lease_create(Ownership::kLeaseSeconds, [this, meta, meta_revision](const StateReply& reply) {
    const std::uint64_t lease = reply.ok() ? reply.lease_id() : 0;
    if (lease == 0) return read_meta_later();
    claim_with_lease(lease, meta, meta_revision);
  });
}

// One transaction takes the leader key, marks `meta` as being rebuilt, and takes the shards of the previous
// incarnation from their owners.
void Recovery::claim_with_lease(std::uint64_t lease, const MetaRecord& meta, std::uint64_t meta_revision) {
  MetaRecord next = meta;
  next.target_incarnation =
      std::max({meta.target_incarnation, target_incarnation_, ctx_.last_incarnation.number}) + 1;
  Transaction transaction;
  transaction.guard(keys::kMeta, meta_revision);
  transaction.guard(kLeaderKey, 0);
  transaction.put(keys::kMeta, next.to_json());
  transaction.put_with_lease(kLeaderKey, LeaderRecord{ctx_.settings->node, next.target_incarnation}.to_json(),
                             lease);
  const auto max_operations = static_cast<std::size_t>(ctx_.settings->txn_ops);
  for (int shard = 0; shard < meta.shards && transaction.changes.size() < max_operations; shard++)
    transaction.put(meta.incarnation.prefix + keys::shard_owner(shard), {{"node", kRebuiltOwner}});
  store_.commit(RequestPriority::kLease, transaction, [this, lease, next](const StateReply& reply) {
    if (reply.ok()) {
      start_leading(lease, next, reply.revision());
    } else {
      read_meta_later();  // another controller was first, or the outcome is unknown; the unused lease expires
    }
  });
}

void Recovery::start_leading(std::uint64_t lease, const MetaRecord& meta, std::uint64_t revision) {
  lease_ = lease;
  target_incarnation_ = meta.target_incarnation;
  Rebuild::Plan plan;
  plan.meta = meta;
  plan.meta_revision = revision;
  plan.leader_revision = revision;
  plan.nonce = std::to_string(ctx_.env->random() % kNonceLimit);
  plan.last_incarnation = ctx_.last_incarnation;
  plan.process_uptime_s = ctx_.env->now() - ctx_.process_started_at;
  plan.own_evidence = ctx_.own_evidence;
  const auto deposed = [this] { ctx_.env->after(0, [this] { stop_leading(); }); };
  rebuild_ = std::make_unique<Rebuild>(*ctx_.env, *ctx_.settings, std::move(plan),
                                       Rebuild::Handlers{ctx_.published, deposed});
  ctx_.env->after(kRenewalIntervalSeconds, [this, lease] { renew(lease); });
  rebuild_->start();
}

void Recovery::renew(std::uint64_t lease) {
  if (lease != lease_) return;
  store_.lease_renew(lease, kRenewalTimeoutSeconds, [this, lease](const StateReply& reply) {
    if (lease != lease_) return;
    if (reply.outcome == Outcome::kMissing) return stop_leading();
    ctx_.env->after(reply.ok() ? kRenewalIntervalSeconds : kMetaPollIntervalSeconds,
                    [this, lease] { renew(lease); });
  });
}

void Recovery::stop_leading() {
  spdlog::warn("recovery: this controller no longer leads the rebuild; reading meta to find the next leader");
  lease_ = 0;
  rebuild_.reset();
  read_meta();
}

}  // namespace mothslip::recovery
