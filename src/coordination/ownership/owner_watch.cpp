#include "coordination/ownership/owner_watch.hpp"

#include <algorithm>
#include <optional>

#include "bookkeeping/records.hpp"
#include "coordination/ownership/owner_records.hpp"

namespace mothslip {

namespace {
constexpr double kRetryDelaySeconds = 0.3;
// If the answer to a watch is lost, no change is received until the watch ends, so it must be short.
constexpr double kMaxWatchSeconds = 8.0;
constexpr double kQuickFailureSeconds = 1.0;
}  // namespace

OwnerWatch::OwnerWatch(Env& env, StateClient& state, const ShardOwners& owners, ShardClaims& claims,
                       LiveNodes& live_nodes)
    : env_(env), state_(state), owners_(owners), claims_(claims), live_nodes_(live_nodes) {}

void OwnerWatch::read_all() {
  if (is_reading_) return;
  is_reading_ = true;
  state_.list(RequestPriority::kLease, keys::kShardOwners,
              [this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t revision) {
                is_reading_ = false;
                if (outcome != Outcome::kOk) {
                  env_.after(kRetryDelaySeconds, [this] { read_all(); });
                  return;
                }
                on_records(items, revision);
                watched_revision_ = revision;
                if (!is_watching_) watch();
                claims_.on_owners_read();
              });
}

void OwnerWatch::on_records(const std::vector<StateItem>& items, std::uint64_t revision) {
  std::vector<bool> present(static_cast<std::size_t>(owners_.count()), false);
  live_nodes_.clear();
  for (const StateItem& item : items) {
    const auto key = parse_owner_key(item.key, owners_.count());
    if (!key) continue;
    if (!key->node.empty()) {
      on_announcement(key->node, item.data);
      continue;
    }
    present[static_cast<std::size_t>(key->shard)] = true;
    claims_.on_owner_read(key->shard, OwnerRecord::from_json(item.data).node, item.revision);
  }
  for (int shard = 0; shard < owners_.count(); shard++) {
    if (!present[static_cast<std::size_t>(shard)]) claims_.on_owner_read(shard, "", revision);
  }
}

void OwnerWatch::watch() {
  is_watching_ = true;
  const double sent_at = env_.now();
  state_.watch(keys::kShardOwners, watched_revision_, kMaxWatchSeconds,
               [this, sent_at](const StateReply& reply) {
                 is_watching_ = false;
                 on_watch_reply(sent_at, reply);
               });
}

void OwnerWatch::on_watch_reply(double sent_at, const StateReply& reply) {
  if (reply.ok()) {
    for (const WatchEvent& event : reply.events()) on_event(event);
    watched_revision_ = std::max(watched_revision_, reply.revision());
    watch();
  } else if (reply.outcome == Outcome::kGone) {
    read_all();
  } else {
    // No reread is needed: the next watch starts at the same revision and reports the missed changes.
    const bool failed_quickly = env_.now() - sent_at < kQuickFailureSeconds;
    env_.after(failed_quickly ? kRetryDelaySeconds : 0.0, [this] {
      if (!is_watching_) watch();
    });
  }
}

void OwnerWatch::on_event(const WatchEvent& event) {
  const auto key = parse_owner_key(event.key, owners_.count());
  if (!key) return;
  if (!key->node.empty()) {
    const Json without_fields = Json::object();
    on_announcement(key->node, event.is_put && !event.has_data ? without_fields : event.data);
  } else {
    const std::string node = event.is_put ? OwnerRecord::from_json(event.data).node : "";
    claims_.on_owner_read(key->shard, node, event.revision);
  }
}

// `announced` is null if the announcement was deleted.
void OwnerWatch::on_announcement(const std::string& node, const Json& announced) {
  if (const auto announcement = NodeAnnouncement::from_json(announced)) {
    live_nodes_.on_announced(node, *announcement, env_.now());
  } else {
    live_nodes_.on_gone(node);
  }
}

}  // namespace mothslip
