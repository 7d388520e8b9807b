#include "coordination/ownership/ownership.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "bookkeeping/records.hpp"
#include "coordination/ownership/owner_records.hpp"

namespace mothslip {

namespace {
constexpr double kRetryDelaySeconds = 0.3;
constexpr double kUnknownFormatRecheckSeconds = 10;
constexpr double kAnnounceRetryDelaySeconds = 1.0;
}  // namespace

Ownership::Ownership(Env& env, StateClient& state, const Settings& settings, Capabilities capabilities,
                     Listener listener, StateMonitor* monitor)
    : env_(env),
      state_(state),
      settings_(settings),
      capabilities_(capabilities),
      monitor_(monitor),
      boot_id_(settings.node + "." + std::to_string(env.random() >> 16)),
      incarnation_check_(env, state, monitor),
      lease_(env, state, settings, incarnation_check_, monitor,
             {[this] { on_lease_opened(); }, [this](const char* why) { owners_.lose_all(why); }}),
      owners_(monitor, std::move(listener)),
      claims_(env, state, settings, boot_id_, lease_, owners_),
      watch_(env, state, owners_, claims_, live_nodes_),
      home_return_(env, state, settings, lease_, live_nodes_, owners_, claims_,
                   [this](int shard, const std::string& why) { restart_shard(shard, why); }) {}

void Ownership::start() {
  read_meta();
  lease_.open();
  home_return_.start();
}

bool Ownership::owns_exclusively(int shard) const {
  // A deletion in progress may have been carried out already, and the next owner may have ended jobs since.
  return is_lease_valid() && owns(shard) && !owners_.at(shard).release_sent_at;
}

double Ownership::worker_renewal_deadline(int shard) const {
  return lease_.worker_renewal_deadline(owners_.at(shard).release_sent_at);
}

void Ownership::read_meta() {
  state_.get(RequestPriority::kLease, keys::kMeta, [this](const StateReply& reply) {
    if (reply.has_data()) {
      on_meta(reply);
    } else if (reply.outcome == Outcome::kMissing) {
      write_meta();
    } else {
      env_.after(kRetryDelaySeconds, [this] { read_meta(); });
    }
  });
}

void Ownership::on_meta(const StateReply& reply) {
  const auto meta = incarnation_check_.read_current(reply.data());
  if (!meta) {
    if (monitor_ != nullptr) return monitor_->on_other_incarnation();
    spdlog::error(
        "meta record has an unknown format or incarnation, or is being rebuilt; claiming no shards until it "
        "matches");
    env_.after(kUnknownFormatRecheckSeconds, [this] { read_meta(); });
    return;
  }
  meta_revision_ = reply.item_revision();
  owners_.resize(meta->shards);
  watch_.read_all();
}

void Ownership::write_meta() {
  // One shard per node shares the work among all nodes; more shards would only cost additional writes.
  MetaRecord meta;
  meta.shards = static_cast<int>(settings_.members.size()) + 1;
  Transaction txn;
  txn.guard(keys::kMeta, 0);
  txn.put(keys::kMeta, meta.to_json());
  // The result of the commit does not matter, because the key is read again in every case.
  state_.commit(RequestPriority::kLease, txn, [this](const StateReply&) { read_meta(); });
}

void Ownership::on_lease_opened() {
  announce();
  claims_.try_claim_all();
}

// Announces to the other nodes that this node is live, and its capabilities, for as long as its lease lasts.
void Ownership::announce() {
  const std::uint64_t lease_id = lease_.id();
  Transaction txn;
  txn.put_with_lease(keys::announcement(settings_.node),
                     NodeAnnouncement{boot_id_, capabilities_.supports_gangs}.to_json(), lease_id);
  state_.commit(RequestPriority::kLease, txn, [this, lease_id](const StateReply& reply) {
    const bool same_lease = lease_.is_open() && lease_id == lease_.id();
    if (!reply.ok() && same_lease) env_.after(kAnnounceRetryDelaySeconds, [this] { announce(); });
  });
}

// The unexpected state may mean that records were lost or are being rebuilt. The rebuild then needs the state
// that this node holds in memory, so the incarnation is checked before the shard is given up.
void Ownership::restart_shard(int shard, const std::string& why) {
  if (!owns(shard)) return;
  const std::uint64_t fencing_token = owners_.at(shard).held_token;
  incarnation_check_.confirm([this, shard, fencing_token, why] { give_up(shard, fencing_token, why); },
                             [this, shard, why] { restart_shard(shard, why); });
}

void Ownership::give_up(int shard, std::uint64_t fencing_token, const std::string& why) {
  if (owners_.at(shard).held_token != fencing_token) return;
  spdlog::warn("shard {}: giving up ownership and claiming it again: {}", shard, why);
  owners_.lose(shard, "given up by this node");
  // This node claims the shard again immediately, under a new fencing token. Writes that are still in flight
  // fail because they carry the old token.
  owners_.at(shard).owner = {settings_.node, fencing_token};
  claims_.try_claim(shard);
}

void Ownership::on_owner_reported(int shard, const std::string& node, std::uint64_t fencing_token) {
  owners_.update_from_report(shard, node, fencing_token);
}

}  // namespace mothslip
