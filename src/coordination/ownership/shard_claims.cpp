#include "coordination/ownership/shard_claims.hpp"

#include <algorithm>
#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/ownership/owner_records.hpp"

namespace mothslip {

namespace {
constexpr double kClaimStaggerSeconds = 0.15;  // between the claims of successive nodes in the claim order
constexpr double kRetryDelaySeconds = 0.3;
}  // namespace

std::vector<std::string> claim_order(const Settings& settings, int shard) {
  std::vector<std::string> names = {settings.node};
  for (const Member& member : settings.members) names.push_back(member.node);
  std::sort(names.begin(), names.end());
  std::rotate(names.begin(), names.begin() + shard % static_cast<int>(names.size()), names.end());
  return names;
}

ShardClaims::ShardClaims(Env& env, StateClient& state, const Settings& settings, std::string boot_id,
                         const NodeLease& lease, ShardOwners& owners)
    : env_(env),
      state_(state),
      settings_(settings),
      boot_id_(std::move(boot_id)),
      lease_(lease),
      owners_(owners) {}

void ShardClaims::on_owners_read() {
  if (owners_read_) return;
  owners_read_ = true;
  try_claim_all();
}

void ShardClaims::on_owner_read(int shard, const std::string& node, std::uint64_t revision) {
  if (owners_.update_from_state(shard, node, revision)) try_claim(shard);
}

void ShardClaims::try_claim_all() {
  for (int shard = 0; shard < owners_.count(); shard++) try_claim(shard);
}

bool ShardClaims::may_claim(int shard) const {
  const ShardOwners::Shard& entry = owners_.at(shard);
  return lease_.is_open() && !entry.is_held() && !entry.is_claiming;
}

void ShardClaims::try_claim(int shard) {
  if (!owners_read_ || !may_claim(shard)) return;
  const ShardOwner& owner = owners_.at(shard).owner;
  if (owner.node.empty()) {
    env_.after(claim_delay_s(shard), [this, shard] {
      if (may_claim(shard) && owners_.at(shard).owner.node.empty()) claim(shard, 0);
    });
  } else if (owner.node == settings_.node) {
    // Either an earlier process of this node holds the shard; that process has ended, so there is no need to
    // wait for its lease to expire. Or a late duplicate of a claim by this process took effect after the
    // process had released the shard; the other nodes then regard this node as the owner.
    claim(shard, owner.fencing_token);
  }
}

// The home node claims a free shard immediately. The other nodes wait a little, so that claims do not
// collide.
double ShardClaims::claim_delay_s(int shard) const {
  const std::vector<std::string> order = claim_order(settings_, shard);
  const auto turn = std::find(order.begin(), order.end(), settings_.node) - order.begin();
  return kClaimStaggerSeconds * static_cast<double>(turn);
}

// `revision` is the current revision of the shard's key; 0 if the key does not exist.
void ShardClaims::claim(int shard, std::uint64_t revision) {
  owners_.at(shard).is_claiming = true;
  const std::uint64_t lease_id = lease_.id();
  Transaction txn;
  txn.guard(keys::shard_owner(shard), revision);
  txn.put_with_lease(keys::shard_owner(shard), OwnerRecord{settings_.node, boot_id_}.to_json(), lease_id);
  state_.commit(RequestPriority::kLease, txn, [this, shard, lease_id](const StateReply& reply) {
    owners_.at(shard).is_claiming = false;
    if (reply.ok() && lease_id == lease_.id()) {
      owners_.gain(shard, settings_.node, reply.revision(), "");
    } else {
      read_key(shard, lease_id);  // another node claimed it first, or the result is unknown
    }
  });
}

void ShardClaims::read_key(int shard, std::uint64_t lease_id) {
  owners_.at(shard).is_claiming = true;
  state_.get_with_lease(RequestPriority::kLease, keys::shard_owner(shard),
                        [this, shard, lease_id](const StateReply& reply) {
                          owners_.at(shard).is_claiming = false;
                          on_key_read(shard, lease_id, reply);
                        });
}

void ShardClaims::on_key_read(int shard, std::uint64_t lease_id, const StateReply& reply) {
  if (reply.has_data()) {
    const OwnerRecord found = OwnerRecord::from_json(reply.data());
    const std::uint64_t revision = reply.item_revision();
    const bool same_lease = lease_.is_open() && lease_id == lease_.id() && reply.lease_id() == lease_.id();
    if (found.boot_id == boot_id_ && same_lease) {
      if (owners_.at(shard).held_token != revision)
        owners_.gain(shard, found.node, revision, " (its earlier claim had succeeded)");
      return;
    }
    on_owner_read(shard, found.node, revision);
  } else if (reply.outcome == Outcome::kMissing) {
    on_owner_read(shard, "", reply.revision());
  }
  // The record that was read may contain nothing new while the shard is still available. Without this retry a
  // node once stalled at start-up.
  env_.after(kRetryDelaySeconds, [this, shard] { try_claim(shard); });
}

}  // namespace mothslip
