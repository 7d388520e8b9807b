#include "coordination/ownership/ownership.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/records.hpp"
#include "protocol/names.hpp"

namespace mothslip {

namespace {
constexpr double kSteady = 15.0;  // a node that has been back this long gets its shards back
constexpr double kHomeEvery = 3.0;
constexpr double kRenewEvery = 1.0;
constexpr double kDrift = 0.001;  // twice what the protocol allows
constexpr double kMargin = 0.05;
constexpr double kGoneMargin = 1.0;  // of a worker's lease against cancel_s: messages and steps of its clock
constexpr double kRetry = 0.3;
constexpr double kWatch = 8.0;  // a watch whose answer is lost tells nothing until it is over

// "parts/@roost-1" says that the node lives; it goes with its lease.
std::string node_of(const std::string& key) {
  const std::size_t at = keys::kShardOwners.size();
  return key.size() > at + 1 && key[at] == '@' ? key.substr(at + 1) : "";
}
}  // namespace

Ownership::Ownership(Env& env, StateClient& state, const Settings& settings, Capabilities capabilities,
                     Listener listener, StateMonitor* monitor)
    : env_(env),
      state_(state),
      settings_(settings),
      capabilities_(capabilities),
      listener_(std::move(listener)),
      monitor_(monitor),
      boot_(settings.node + "." + std::to_string(env.random() >> 16)) {}

void Ownership::start() {
  read_meta();
  open_lease();
  env_.after(kHomeEvery, [this] { send_home(); });
}

int Ownership::held_count() const {
  return static_cast<int>(std::count_if(held_.begin(), held_.end(),
                                        [](std::uint64_t fencing_token) { return fencing_token != 0; }));
}

void Ownership::read_meta() {
  state_.get(RequestPriority::kLease, keys::kMeta, [this](const StateReply& reply) {
    if (reply.ok() && reply.body.contains("data")) {
      const auto meta = MetaRecord::from_json(reply.body["data"]);
      if (!meta || meta->rebuilding() || meta->incarnation != state_.key_space().incarnation()) {
        if (monitor_ != nullptr) return monitor_->on_other_incarnation();
        spdlog::error(
            "the state service holds records of another form: they are left alone, nothing is done");
        env_.after(10, [this] { read_meta(); });
        return;
      }
      meta_revision_ = reply.body.value("stamp", std::uint64_t{0});
      const auto count = static_cast<std::size_t>(meta->shards);
      owners_.resize(count);
      owner_boots_.resize(count);
      held_.resize(count);
      claiming_.resize(count);
      release_sent_.resize(count);
      read_shards();
    } else if (reply.outcome == Outcome::kMissing) {
      write_meta();
    } else {
      env_.after(kRetry, [this] { read_meta(); });
    }
  });
}

void Ownership::write_meta() {
  Transaction txn;
  txn.guard(keys::kMeta, 0);
  // One shard a node: each does its share, and more would only cost changes.
  txn.put(keys::kMeta, {{"parts", settings_.members.size() + 1}, {"form", kRecordForm}});
  // Whatever the answer, what counts is what the key says afterwards.
  state_.commit(RequestPriority::kLease, txn, [this](const StateReply&) { read_meta(); });
}

void Ownership::open_lease() {
  const double asked = env_.now();
  state_.lease_create(kLeaseSeconds, [this, asked](const StateReply& reply) {
    const std::uint64_t lease_id = reply.ok() ? reply.body.value("hold", std::uint64_t{0}) : 0;
    if (lease_id == 0) {
      env_.after(kRetry, [this] { open_lease(); });
      return;
    }
    lease_id_ = lease_id;
    renewed(asked);
    env_.after(kRenewEvery, [this] { renew(); });
    announce();
    for (int p = 0; p < shard_count(); p++) consider(p);
  });
}

// Where lost state is watched for, a lease counts only together with a look at `meta`: a controller that has
// not noticed the loss stops deciding when its lease is over, however long the service goes on renewing it.
void Ownership::renew() {
  const double asked = env_.now();
  if (monitor_ == nullptr) return renew_lease(asked);
  state_.get(RequestPriority::kLease, keys::kMeta, [this, asked](const StateReply& reply) {
    if (reply.outcome == Outcome::kMissing || (reply.ok() && !same_incarnation(reply)))
      return monitor_->on_other_incarnation();
    if (reply.ok()) return renew_lease(asked);
    env_.after(kRetry, [this] { renew(); });
  });
}

bool Ownership::same_incarnation(const StateReply& meta) {
  const auto record = MetaRecord::from_json(meta.body.value("data", Json()));
  return record && !record->rebuilding() && record->incarnation == state_.key_space().incarnation();
}

// The lease ended before its time: the service does not know any more that it gave it. Otherwise it may just
// have run out; but if state was lost as well, what we know must not be dropped before that is noticed.
void Ownership::lease_missing() {
  if (monitor_ == nullptr) return lease_lost("lease ended");
  if (env_.now() < lease_end_) return monitor_->on_contradiction("a lease ended before its time");
  state_.get(RequestPriority::kLease, keys::kNone, [this](const StateReply& reply) {
    if (reply.outcome != Outcome::kMissing) {
      env_.after(kRetry, [this] { lease_missing(); });
    } else if (!monitor_->lost()) {
      lease_lost("lease ended");
    }
  });
}

void Ownership::renew_lease(double asked) {
  const std::uint64_t lease_id = lease_id_;
  state_.lease_renew(lease_id, kRenewEvery * 1.5, [this, asked, lease_id](const StateReply& reply) {
    if (lease_id != lease_id_) return;
    if (reply.outcome == Outcome::kMissing) {
      lease_missing();
      return;
    }
    if (reply.ok()) renewed(asked);
    const double wait = reply.ok() ? kRenewEvery - (env_.now() - asked) : kRetry;
    env_.after(std::max(0.05, wait), [this] { renew(); });
  });
}

void Ownership::renewed(double asked) {
  lease_end_ = std::max(lease_end_, asked + kLeaseSeconds * (1 - kDrift));
  valid_until_ = lease_end_ - kMargin;
}

// (A deletion that is under way may be carried out already, and the next owner may have ended jobs since.)
bool Ownership::exclusive(int shard) const {
  return valid() && mine(shard) && release_sent_[static_cast<std::size_t>(shard)] == 0;
}

double Ownership::renew_deadline(int shard) const {
  const double since = release_sent_[static_cast<std::size_t>(shard)];
  double unreplaced = std::max(lease_end_, unreplaced_at_);
  if (since != 0) unreplaced = std::min(unreplaced, since);
  const double spare = settings_.cancel_s * (1 - kDrift) - settings_.lease_s * (1 + kDrift) - kGoneMargin;
  return unreplaced + spare;
}

void Ownership::lease_lost(const char* why) {
  lease_id_ = 0;
  valid_until_ = lease_end_ = unreplaced_at_ = 0;
  for (int p = 0; p < shard_count(); p++) lose(p, why);
  open_lease();
}

void Ownership::lose(int shard, const char* why) {
  const auto at = static_cast<std::size_t>(shard);
  if (held_[at] == 0) return;
  if (monitor_ != nullptr && monitor_->lost()) return;  // what it knows is needed to rebuild
  spdlog::info("shard {} lost, fencing token {}: {}", shard, held_[at], why);
  held_[at] = 0;
  listener_.lost(shard);
}

void Ownership::read_shards() {
  if (reading_) return;
  reading_ = true;
  state_.list(RequestPriority::kLease, keys::kShardOwners,
              [this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t revision) {
                reading_ = false;
                if (outcome != Outcome::kOk) {
                  env_.after(kRetry, [this] { read_shards(); });
                  return;
                }
                std::vector<bool> present(owners_.size(), false);
                live_nodes_.clear();
                for (const StateItem& item : items) {
                  if (const std::string node = node_of(item.key); !node.empty()) {
                    see_node(node, item.data);
                    continue;
                  }
                  const int shard = std::atoi(item.key.c_str() + keys::kShardOwners.size());
                  if (shard < 0 || shard >= shard_count()) continue;
                  present[static_cast<std::size_t>(shard)] = true;
                  see(shard, {item.data.value("node", ""), item.data.value("boot", ""), item.revision});
                }
                for (int p = 0; p < shard_count(); p++) {
                  if (!present[static_cast<std::size_t>(p)]) see(p, {"", "", revision});
                }
                watched_ = revision;
                if (!watching_) watch_shards();
                if (!shards_read_) {
                  shards_read_ = true;
                  for (int p = 0; p < shard_count(); p++) consider(p);
                }
              });
}

void Ownership::watch_shards() {
  watching_ = true;
  const double asked = env_.now();
  state_.watch(keys::kShardOwners, watched_, kWatch, [this, asked](const StateReply& reply) {
    watching_ = false;
    if (reply.outcome == Outcome::kOk) {
      const auto events = reply.body.find("events");
      if (events != reply.body.end() && events->is_array()) {
        for (const Json& event : *events) {
          const bool put = event.contains("put");
          const std::string key = event.value(put ? "put" : "delete", "");
          if (key.size() <= keys::kShardOwners.size()) continue;
          if (const std::string node = node_of(key); !node.empty()) {
            see_node(node, put ? event.value("data", Json::object()) : Json());
            continue;
          }
          const int shard = std::atoi(key.c_str() + keys::kShardOwners.size());
          if (shard < 0 || shard >= shard_count()) continue;
          const auto revision = event.value("stamp", std::uint64_t{0});
          if (put) {
            see(shard, {event["data"].value("node", ""), event["data"].value("boot", ""), revision});
          } else {
            see(shard, {"", "", revision});
          }
        }
      }
      watched_ = std::max(watched_, reply.revision());
      watch_shards();
    } else if (reply.outcome == Outcome::kGone) {
      read_shards();
    } else {
      // A watch that failed may have missed changes only up to what the next one reports.
      env_.after(env_.now() - asked < 1 ? kRetry : 0.0, [this] {
        if (!watching_) watch_shards();
      });
    }
  });
}

// `revision` dates the sight: what is older than what we know already (a claim's own answer overtakes the
// watch) must not take a fresh shard away from us.
void Ownership::see(int shard, const Sight& sight) {
  const auto at = static_cast<std::size_t>(shard);
  if (sight.revision < owners_[at].fencing_token) return;
  const std::string& node = sight.node;
  if (monitor_ != nullptr && node == kRebuiltOwner) return monitor_->on_other_incarnation();
  if (held_[at] != 0) {
    if (node.empty()) {
      lose(shard, "key gone");
    } else if (sight.revision > held_[at]) {
      lose(shard, "another owner");
    }
  }
  const bool changed = owners_[at].node != node || owners_[at].fencing_token != sight.revision;
  owners_[at] = {node, sight.revision};
  owner_boots_[at] = sight.boot;
  if (changed) {
    listener_.owners_changed();
    consider(shard);
  }
}

void Ownership::announce() {
  const std::uint64_t lease_id = lease_id_;
  Transaction txn;
  Json announced = {{"boot", boot_}};
  if (capabilities_.gangs) announced["gangs"] = true;
  txn.put_with_lease(keys::kShardOwners + "@" + settings_.node, std::move(announced), lease_id);
  state_.commit(RequestPriority::kLease, txn, [this, lease_id](const StateReply& reply) {
    if (!reply.ok() && lease_id == lease_id_ && lease_id != 0) env_.after(1.0, [this] { announce(); });
  });
}

// `announced`: null when the announcement is gone.
void Ownership::see_node(const std::string& node, const Json& announced) {
  if (announced.is_object()) {
    live_nodes_[node] = {env_.now(), announced.value("gangs", false)};  // a new announcement is a new process
  } else {
    live_nodes_.erase(node);
  }
}

bool Ownership::earlier_version_alive() const {
  return std::any_of(live_nodes_.begin(), live_nodes_.end(),
                     [](const auto& item) { return !item.second.gangs; });
}

// The nodes in the order in which they take a shard: its home first. The same on every node.
std::vector<std::string> Ownership::order_of(int shard) const {
  std::vector<std::string> names = {settings_.node};
  for (const Member& member : settings_.members) names.push_back(member.node);
  std::sort(names.begin(), names.end());
  std::rotate(names.begin(), names.begin() + shard % static_cast<int>(names.size()), names.end());
  return names;
}

// A free shard is taken at once by its home; the others hold back a little, so that claims do not collide.
double Ownership::claim_delay(int shard) const {
  const std::vector<std::string> order = order_of(shard);
  const auto mine_at = std::find(order.begin(), order.end(), settings_.node) - order.begin();
  return 0.15 * static_cast<double>(mine_at);
}

// Shards of a node that was away go home once it is steady: the holder deletes the key, home claims it.
void Ownership::send_home() {
  env_.after(kHomeEvery, [this] { send_home(); });
  if (releasing_ || !valid()) return;
  for (int p = 0; p < shard_count(); p++) {
    const auto at = static_cast<std::size_t>(p);
    if (held_[at] == 0) continue;
    const std::string home = order_of(p).front();
    const auto live = live_nodes_.find(home);
    if (home == settings_.node || live == live_nodes_.end() || env_.now() - live->second.since < kSteady)
      continue;
    spdlog::info("shard {} is handed back to its home {}", p, home);
    releasing_ = true;
    release_sent_[at] = env_.now();
    Transaction txn;
    txn.guard(keys::shard(p), held_[at]);
    txn.remove(keys::shard(p));
    state_.commit(RequestPriority::kLease, txn,
                  [this, p, at, fencing_token = held_[at]](const StateReply& reply) {
                    releasing_ = false;
                    release_sent_[at] = 0;
                    if (held_[at] != fencing_token || reply.outcome == Outcome::kRefused) return;
                    // The key may be gone, or go at any later time, while our lease goes on: nothing would
                    // tell us.
                    if (!reply.ok()) return restart_shard(p, "sending it home: nobody knows");
                    owners_[at] = {"", reply.revision()};
                    lose(p, "sent home");
                    listener_.owners_changed();
                    consider(p);
                  });
    return;
  }
}

void Ownership::consider(int shard) {
  const auto at = static_cast<std::size_t>(shard);
  if (lease_id_ == 0 || !shards_read_ || held_[at] != 0 || claiming_[at]) return;
  if (owners_[at].node.empty()) {
    env_.after(claim_delay(shard), [this, shard, at] {
      if (lease_id_ != 0 && held_[at] == 0 && !claiming_[at] && owners_[at].node.empty()) claim(shard, 0);
    });
  } else if (owners_[at].node == settings_.node) {
    // Held by an earlier process of this very node, which has ended: no need to wait for its lease. Or by a
    // late copy of a claim of ours, for a shard that we gave away since: the others take it for ours.
    claim(shard, owners_[at].fencing_token);
  }
}

void Ownership::claim(int shard, std::uint64_t revision) {
  const auto at = static_cast<std::size_t>(shard);
  claiming_[at] = true;
  const std::uint64_t lease_id = lease_id_;
  Transaction txn;
  txn.guard(keys::shard(shard), revision);
  txn.put_with_lease(keys::shard(shard), {{"node", settings_.node}, {"boot", boot_}}, lease_id);
  state_.commit(RequestPriority::kLease, txn, [this, shard, at, lease_id](const StateReply& reply) {
    claiming_[at] = false;
    if (reply.ok() && lease_id == lease_id_) {
      held_[at] = reply.revision();
      owners_[at] = {settings_.node, reply.revision()};
      owner_boots_[at] = boot_;
      spdlog::info("shard {} gained, fencing token {}", shard, reply.revision());
      listener_.gained(shard, reply.revision());
      listener_.owners_changed();
      return;
    }
    // Lost the race, or nobody knows: look at the key itself.
    claiming_[at] = true;
    state_.get(RequestPriority::kLease, keys::shard(shard),
               [this, shard, at, lease_id](const StateReply& now) {
                 claiming_[at] = false;
                 if (now.ok() && now.body.contains("data")) {
                   const std::string node = now.body["data"].value("node", "");
                   const std::string boot = now.body["data"].value("boot", "");
                   const std::uint64_t found = now.body.value("stamp", std::uint64_t{0});
                   if (boot == boot_ && lease_id == lease_id_ && lease_id_ != 0 &&
                       now.body.value("hold", std::uint64_t{0}) == lease_id_) {
                     if (held_[at] == found) return;
                     held_[at] = found;
                     owners_[at] = {node, found};
                     owner_boots_[at] = boot;
                     spdlog::info("shard {} gained, fencing token {} (found)", shard, found);
                     listener_.gained(shard, found);
                     listener_.owners_changed();
                   } else {
                     see(shard, {node, boot, found});
                     // What we see may be no news, and still be ours to take: a start once stalled here.
                     env_.after(kRetry, [this, shard] { consider(shard); });
                   }
                   return;
                 }
                 if (now.outcome == Outcome::kMissing) see(shard, {"", "", now.revision()});
                 env_.after(kRetry, [this, shard] { consider(shard); });
               });
  });
}

void Ownership::restart_shard(int shard, const std::string& why) {
  const auto at = static_cast<std::size_t>(shard);
  if (held_[at] == 0) return;
  if (monitor_ == nullptr) return give_up(shard, held_[at], why);
  // What contradicts us may be that records were lost, or are being rebuilt. What we know is needed then.
  state_.get(RequestPriority::kLease, keys::kMeta,
             [this, shard, fencing_token = held_[at], why](const StateReply& reply) {
               if (reply.outcome == Outcome::kMissing || (reply.ok() && !same_incarnation(reply)))
                 return monitor_->on_other_incarnation();
               if (reply.ok()) return give_up(shard, fencing_token, why);
               env_.after(kRetry, [this, shard, why] { restart_shard(shard, why); });
             });
}

void Ownership::give_up(int shard, std::uint64_t fencing_token, const std::string& why) {
  const auto at = static_cast<std::size_t>(shard);
  if (held_[at] != fencing_token) return;
  spdlog::warn("shard {} given up: {}", shard, why);
  lose(shard, "given up");
  // The same node takes it again at once under a new fencing token; whatever is still on its way dies with
  // the old one.
  owner_boots_[at] = "given up";
  owners_[at] = {settings_.node, fencing_token};
  consider(shard);
}

void Ownership::heard(int shard, const std::string& node, std::uint64_t fencing_token) {
  if (shard < 0 || shard >= shard_count()) return;
  const auto at = static_cast<std::size_t>(shard);
  if (fencing_token <= owners_[at].fencing_token) return;
  if (held_[at] != 0) lose(shard, "a newer owner was heard of");
  owners_[at] = {node, fencing_token};
  owner_boots_[at] = "heard";
  listener_.owners_changed();
}

}  // namespace mothslip
