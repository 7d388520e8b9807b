#include "sim/state_service.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "sim/query.hpp"
#include "sim/world.hpp"

namespace mothslip::sim {

StateService::StateService(World& world)
    : world_(world),
      call_limiter_(world.options.state_rps, world.options.state_rps, 0),
      write_limiter_(world.options.write_rps, world.options.write_rps, 0),
      value_kb_(world.options.value_kb),
      txn_ops_(static_cast<std::size_t>(world.options.txn_ops)) {}

void StateService::lower_limits(double value_kb, int txn_ops, double write_rps) {
  value_kb_ = value_kb;
  txn_ops_ = static_cast<std::size_t>(txn_ops);
  write_limiter_.set_rate(write_rps, write_rps, world_.now);
}

std::uint64_t StateService::revision(const std::string& key) const {
  const auto it = revisions_.find(key);
  return it == revisions_.end() ? 0 : it->second;
}

void StateService::set_outage(bool out) {
  expire_leases();
  outage_ = out;
  if (!out) {
    for (auto& [id, lease] : leases_) lease.expires_at = world_.now + lease.ttl_s;  // full time to live
    serve_watches();
  }
}

void StateService::erase(const std::string& key) {
  values_.erase(key);
  revisions_.erase(key);
  lease_ids_.erase(key);
}

void StateService::record_change(const std::string& key, Json event) {
  changes_.push_back({revision_, key, std::move(event)});
}

void StateService::expire_leases() {
  if (outage_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires_at > world_.now) {
      ++it;
      continue;
    }
    std::vector<std::string> expired_keys;
    for (const auto& [key, lease_id] : lease_ids_) {
      if (lease_id == it->first) expired_keys.push_back(key);
    }
    if (!expired_keys.empty()) revision_++;
    for (const std::string& key : expired_keys) {
      erase(key);
      record_change(key, {{"delete", key}, {"stamp", revision_}});
    }
    it = leases_.erase(it);
  }
  serve_watches();
}

StateService::Snapshot StateService::snapshot() const {
  Snapshot out{values_, revisions_, lease_ids_, {}, revision_, next_lease_};
  for (const auto& [id, lease] : leases_) out.leases[id] = lease.ttl_s;
  return out;
}

// Models an operator who restores a backup. Leases get their full time to live, and watches stay open and
// wait for revisions that they take for new ones.
void StateService::restore(const Snapshot& snapshot) {
  values_ = snapshot.values;
  revisions_ = snapshot.revisions;
  lease_ids_ = snapshot.lease_ids;
  revision_ = snapshot.revision;
  next_lease_ = snapshot.next_lease;
  leases_.clear();
  for (const auto& [id, ttl_s] : snapshot.leases) leases_[id] = {ttl_s, world_.now + ttl_s};
  std::erase_if(changes_, [this](const Change& change) { return change.revision > revision_; });
}

void StateService::rewrite_unchanged(const std::string& key) {
  revision_++;
  revisions_[key] = revision_;
  record_change(key, {{"put", key}, {"data", values_.at(key)}, {"stamp", revision_}});
  serve_watches();
}

void StateService::resume_watches() {
  are_watches_paused = false;
  serve_watches();
}

bool StateService::answer_watch(Watch& watch) {
  if (outage_ || are_watches_paused) return false;
  Json events = Json::array();
  const auto first =
      std::upper_bound(changes_.begin(), changes_.end(), watch.from,
                       [](std::uint64_t from, const Change& change) { return from < change.revision; });
  for (auto it = first; it != changes_.end(); ++it) {
    if (starts_with(it->key, watch.prefix)) events.push_back(it->event);
  }
  if (events.empty()) return false;
  watch.is_closed = true;
  watch.reply(200, {{"epoch", revision_}, {"events", events}});
  return true;
}

void StateService::serve_watches() {
  const auto open = watches_;
  for (const auto& watch : open) {
    if (!watch->is_closed) answer_watch(*watch);
  }
  std::erase_if(watches_, [](const auto& watch) { return watch->is_closed; });
}

void StateService::handle(const std::string& /*method*/, const std::string& target, const std::string& body,
                          const Reply& reply) {
  expire_leases();
  if (outage_) return reply(503, {{"error", "trouble"}});
  const std::string path = target.substr(0, target.find('?'));
  if (world_.options.enforces_rate_limits) {
    if (!call_limiter_.can_take(1, 0, world_.now)) {
      rate_limited_calls++;
      return reply(429, Json::object());
    }
    call_limiter_.take(1, world_.now);
  }
  if (path == "/changes") return open_watch(target, reply);
  if (path == "/keys") return list_keys(target, reply);
  if (starts_with(path, "/keys/")) return read_key(path.substr(6), reply);
  const Json request = body.empty() ? Json::object() : parse_json(body);
  if (path == "/commit") return commit(request, body, reply);
  if (path == "/leases") return grant_lease(request, reply);
  if (starts_with(path, "/leases/")) return renew_lease(std::stoull(path.substr(8)), reply);
  reply(400, {{"error", "malformed"}});
}

// ---------------------------------------------------------------- reads

void StateService::open_watch(const std::string& target, const Reply& reply) {
  auto watch = std::make_shared<Watch>();
  watch->prefix = query_parameter(target, "prefix");
  watch->from = std::stoull(query_parameter(target, "from"));
  watch->reply = reply;
  if (answer_watch(*watch)) return;
  watches_.push_back(watch);
  world_.in(std::stod(query_parameter(target, "wait_ms")) / 1000, [this, watch] {
    if (watch->is_closed || outage_ || are_watches_paused) return;
    watch->is_closed = true;
    watch->reply(200, {{"epoch", revision_}, {"events", Json::array()}});
  });
}

void StateService::list_keys(const std::string& target, const Reply& reply) {
  const std::string prefix = query_parameter(target, "prefix");
  const std::string from = query_parameter(target, "from");
  const std::string most = query_parameter(target, "most");
  const std::size_t page_size =
      std::min<std::size_t>(world_.options.items_per_page, most.empty() ? SIZE_MAX : std::stoul(most));
  Json items = Json::array();
  bool more = false;
  for (auto it = values_.lower_bound(prefix); it != values_.end() && starts_with(it->first, prefix); ++it) {
    if (!from.empty() && it->first <= from) continue;
    if (items.size() == page_size) {
      more = true;
      break;
    }
    items.push_back({{"k", it->first}, {"data", it->second}, {"stamp", revisions_[it->first]}});
  }
  reply(200, {{"items", items}, {"more", more}, {"epoch", revision_}});
}

void StateService::read_key(const std::string& key, const Reply& reply) {
  const auto it = values_.find(key);
  if (it == values_.end()) return reply(404, {{"epoch", revision_}});
  Json out = {{"k", key}, {"data", it->second}, {"stamp", revisions_[key]}};
  if (lease_ids_.count(key) > 0) out["hold"] = lease_ids_[key];
  reply(200, out);
}

// ---------------------------------------------------------------- transactions

bool StateService::exceeds_limits(const Json& changes, std::size_t conditions) const {
  if (changes.size() > txn_ops_ || conditions > 4 * txn_ops_) return true;
  return std::any_of(changes.begin(), changes.end(), [this](const Json& change) {
    return change.contains("put") && static_cast<double>(change["data"].dump().size()) > 1024 * value_kb_;
  });
}

bool StateService::try_take_writes(std::size_t changes) {
  if (!world_.options.enforces_rate_limits || changes == 0) return true;
  const auto cost = static_cast<double>(changes);
  if (!write_limiter_.can_take(cost, 0, world_.now)) return false;
  write_limiter_.take(cost, world_.now);
  return true;
}

Json StateService::failed_guards(const Json& transaction) const {
  Json failed = Json::array();
  for (const Json& guard : transaction["guards"]) {
    if (revision(guard["k"]) != guard["stamp"].get<std::uint64_t>()) failed.push_back(guard["k"]);
  }
  return failed;
}

bool StateService::has_unknown_lease(const Json& changes) const {
  return std::any_of(changes.begin(), changes.end(), [this](const Json& change) {
    return change.contains("hold") && leases_.count(change["hold"].get<std::uint64_t>()) == 0;
  });
}

// `text` is the transaction as it was received.
void StateService::commit(const Json& transaction, const std::string& text, const Reply& reply) {
  const Json& changes = transaction["then"];
  if (exceeds_limits(changes, transaction["guards"].size())) {
    oversized_transactions++;
    if (!allows_oversized)
      world_.report_violation("transaction exceeds the size limits: " + text.substr(0, 300));
    return reply(400, {{"error", "too large"}});
  }
  if (!try_take_writes(changes.size())) {
    rate_limited_calls++;
    return reply(429, Json::object());
  }
  requested_changes += static_cast<int>(changes.size());
  const Json failed = failed_guards(transaction);
  if (has_unknown_lease(changes)) return reply(400, {{"error", "no such lease"}});
  if (!failed.empty()) return reply(409, {{"failed", failed}, {"epoch", revision_}});
  if (!changes.empty()) revision_++;
  for (const Json& change : changes) apply(change);
  reply(200, {{"epoch", revision_}});
  serve_watches();
}

void StateService::apply(const Json& change) {
  if (change.contains("put")) {
    const std::string key = change["put"];
    values_[key] = change["data"];
    revisions_[key] = revision_;
    lease_ids_.erase(key);
    if (change.contains("hold")) lease_ids_[key] = change["hold"].get<std::uint64_t>();
    record_change(key, {{"put", key}, {"data", change["data"]}, {"stamp", revision_}});
    return;
  }
  const std::string key = change["delete"];
  if (values_.count(key) == 0) return;
  erase(key);
  record_change(key, {{"delete", key}, {"stamp", revision_}});
}

// ---------------------------------------------------------------- leases

void StateService::grant_lease(const Json& request, const Reply& reply) {
  const double ttl_s = request["ttl_ms"].get<double>() / 1000;
  leases_[next_lease_] = {ttl_s, world_.now + ttl_s};
  reply(200, {{"hold", next_lease_++}});
}

void StateService::renew_lease(std::uint64_t id, const Reply& reply) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) return reply(404, Json::object());
  it->second.expires_at = world_.now + it->second.ttl_s;
  reply(200, {{"hold", it->first}});
}

}  // namespace mothslip::sim
