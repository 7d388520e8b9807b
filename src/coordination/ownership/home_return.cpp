#include "coordination/ownership/home_return.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kMinHomeUptimeSeconds = 15.0;  // a home node that has been back this long gets its shards
constexpr double kCheckIntervalSeconds = 3.0;
}  // namespace

HomeReturn::HomeReturn(Env& env, StateClient& state, const Settings& settings, const NodeLease& lease,
                       const LiveNodes& live_nodes, ShardOwners& owners, ShardClaims& claims,
                       ReleaseUnknownHandler on_release_unknown)
    : env_(env),
      state_(state),
      settings_(settings),
      lease_(lease),
      live_nodes_(live_nodes),
      owners_(owners),
      claims_(claims),
      on_release_unknown_(std::move(on_release_unknown)) {}

void HomeReturn::start() {
  env_.after(kCheckIntervalSeconds, [this] { check(); });
}

void HomeReturn::check() {
  start();
  if (is_releasing_ || !lease_.is_valid()) return;
  for (int shard = 0; shard < owners_.count(); shard++) {
    if (should_return(shard)) return release(shard);
  }
}

bool HomeReturn::should_return(int shard) const {
  if (!owners_.at(shard).is_held()) return false;
  const std::string home = claim_order(settings_, shard).front();
  return home != settings_.node && live_nodes_.is_alive_for(home, kMinHomeUptimeSeconds, env_.now());
}

void HomeReturn::release(int shard) {
  spdlog::info("shard {}: deleting its owner key so that its home node {} can claim it", shard,
               claim_order(settings_, shard).front());
  ShardOwners::Shard& entry = owners_.at(shard);
  is_releasing_ = true;
  entry.release_sent_at = env_.now();
  Transaction txn;
  txn.guard(keys::shard_owner(shard), entry.held_token);
  txn.remove(keys::shard_owner(shard));
  state_.commit(RequestPriority::kLease, txn,
                [this, shard, fencing_token = entry.held_token](const StateReply& reply) {
                  is_releasing_ = false;
                  owners_.at(shard).release_sent_at.reset();
                  on_released(shard, fencing_token, reply);
                });
}

void HomeReturn::on_released(int shard, std::uint64_t fencing_token, const StateReply& reply) {
  if (owners_.at(shard).held_token != fencing_token || reply.outcome == Outcome::kRefused) return;
  // The key may be deleted already, or at any later time, while this node's lease remains valid. Nothing
  // would notify this node of that.
  if (!reply.ok())
    return on_release_unknown_(
        shard, "the result of deleting its owner key, to return it to its home node, is unknown");
  owners_.release(shard, reply.revision());
  claims_.try_claim(shard);
}

}  // namespace mothslip
