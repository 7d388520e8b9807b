#include "coordination/node/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/records.hpp"

namespace mothslip {

namespace {
constexpr double kBeat = 2.0;
constexpr double kRetry = 0.7;
constexpr double kFleetEvery = 1.0;
constexpr double kAskSeconds = 1.0;
constexpr double kRelaySeconds = 2.5;  // workers wait 4 s
const char* const kRelayPath = "/peer/hello";
constexpr double kCountersEvery = 30.0;
constexpr double kProbeEvery = 2.0;  // of the state service's revision, where lost state is watched for
// Of the state service's limits: what every node may use for its users, and what goes with the shards.
constexpr double kUsersShare = 0.3;
constexpr double kDrift = 0.001;  // of two steady clocks, twice what the protocol allows

// The machine types of several records, unless one of them is missing.
std::optional<MachineTypes> join_types(const std::vector<StateItem>& items) {
  Json all = {{"flavours", Json::array()}};
  for (const StateItem& item : items) {
    if (!item.data.is_object() || item.data.value("records", 0) != static_cast<int>(items.size()) ||
        !item.data.contains("flavours"))
      return std::nullopt;
    for (const Json& type : item.data["flavours"]) all["flavours"].push_back(type);
  }
  return MachineTypes::parse(all);
}
}  // namespace

Node::Node(Env& env, Settings settings, Capabilities capabilities, Incarnation incarnation,
           StateMonitor* monitor)
    : env_(env),
      settings_(std::move(settings)),
      monitor_(monitor),
      state_(env_, settings_, std::move(incarnation), monitor),
      cloud_(env_, settings_),
      ownership_(env_, state_, settings_, capabilities,
                 {[this](int shard, std::uint64_t fencing_token) { gained(shard, fencing_token); },
                  [this](int shard) { lost(shard); }, [] {}},
                 monitor),
      user_api_({&env_, &state_, &settings_, &types_, &ownership_,
                 [this](int index) -> ShardLeader* {
                   const auto it = shards_.find(index);
                   return it != shards_.end() && it->second->active() ? it->second.get() : nullptr;
                 },
                 [this](const std::string& node) { return address_of(node); }, capabilities.gangs,
                 [this] { return decides(); }}) {}

std::size_t Node::max_client_connections(const Settings& settings) {
  constexpr int kOurs = 80;  // to the state service, the cloud, other nodes; direct commands
  return settings.max_sockets <= 0
             ? 0
             : static_cast<std::size_t>(std::max(settings.max_sockets / 2,
                                                 settings.max_sockets - kOurs - settings.max_sockets / 20));
}

std::string Node::address_of(const std::string& node) const {
  for (const Member& member : settings_.members) {
    if (member.node == node) return member.address;
  }
  return "";
}

Node::~Node() = default;

const ShardLeader* Node::shard(int index) const {
  const auto it = shards_.find(index);
  return it == shards_.end() ? nullptr : it->second.get();
}

void Node::start() {
  share_calls();
  ownership_.start();
  load_types();
  env_.after(kBeat, [this] { beat(); });
  env_.after(kFleetEvery, [this] { report_to_fleet(); });
  env_.after(kCountersEvery, [this] { log_counters(); });
  if (monitor_ != nullptr) env_.after(kProbeEvery, [this] { probe_revision(); });
}

// ---------------------------------------------------------------- machine types

// The state service keeps what the cloud said last: a node that starts while the cloud is down can work.
void Node::load_types() {
  state_.get(RequestPriority::kLease, keys::kTypes, [this](const StateReply& reply) {
    if (!types_.empty()) return;
    if (reply.ok() && reply.body.contains("data")) {
      if (auto types = MachineTypes::parse(reply.body["data"])) {
        take_types(std::move(*types), false);
        return;
      }
    }
    if (reply.ok() || reply.outcome == Outcome::kMissing) {
      fetch_types();
    } else {
      env_.after(kRetry, [this] { load_types(); });
    }
  });
}

// Lists that are too long for one record are kept in several. They are looked for where the cloud is away.
void Node::load_split_types() {
  state_.list(RequestPriority::kLease, keys::kSplitTypes,
              [this](Outcome outcome, const std::vector<StateItem>& items, std::uint64_t) {
                if (!types_.empty()) return;
                auto types = outcome == Outcome::kOk ? join_types(items) : std::nullopt;
                if (types) return take_types(std::move(*types), false);
                env_.after(env_.uniform(1.0, 2.5), [this] { load_types(); });
              });
}

void Node::save_types() {
  Transaction txn;
  const auto most_bytes = static_cast<std::size_t>(settings_.value_kb * 1024);
  if (const Json whole = types_.to_json(); dump_json(whole).size() <= most_bytes) {
    txn.put(keys::kTypes, whole);
  } else {
    constexpr std::size_t kFrame = 40;
    std::vector<Json> records = {Json::array()};
    std::size_t bytes = kFrame;
    for (const Json& type : whole["flavours"]) {
      const std::size_t needs = dump_json(type).size() + 1;
      if (bytes + needs > most_bytes && !records.back().empty()) {
        records.push_back(Json::array());
        bytes = kFrame;
      }
      bytes += needs;
      records.back().push_back(type);
    }
    const bool too_large = std::any_of(records.begin(), records.end(), [most_bytes](const Json& record) {
      return dump_json(record).size() + kFrame > most_bytes;
    });
    if (too_large || records.size() > static_cast<std::size_t>(settings_.txn_ops)) {
      spdlog::warn("too many machine types to be recorded: nodes that start ask the cloud");
      return;
    }
    for (std::size_t i = 0; i < records.size(); i++) {
      txn.put(keys::kSplitTypes + std::to_string(i),
              {{"flavours", std::move(records[i])}, {"records", records.size()}});
    }
  }
  state_.commit(RequestPriority::kRest, txn, [](const StateReply&) {});
}

void Node::fetch_types() {
  cloud_.machine_types([this](const CloudReply& reply) {
    if (!types_.empty()) return;
    if (reply.status == 200) {
      if (auto types = MachineTypes::parse(reply.body)) {
        take_types(std::move(*types), true);
        return;
      }
    }
    load_split_types();
  });
}

void Node::take_types(MachineTypes types, bool save) {
  bool same = types.all().size() == types_.all().size();
  for (std::size_t i = 0; same && i < types.all().size(); i++)
    same = types.all()[i].name == types_.all()[i].name;
  const bool first = types_.empty();
  if (!same && !first) {
    spdlog::warn("the cloud's machine types have changed: loading anew");
    types_ = std::move(types);
    for (int p = 0; p < ownership_.shard_count(); p++) ownership_.restart_shard(p, "machine types changed");
  } else {
    types_ = std::move(types);
  }
  if (save) save_types();
  if (first) {
    const auto waiting = std::move(waiting_for_types_);
    waiting_for_types_.clear();
    for (const auto& [shard, fencing_token] : waiting) {
      if (ownership_.mine(shard)) gained(shard, fencing_token);
    }
  }
}

// ---------------------------------------------------------------- shards

void Node::gained(int shard, std::uint64_t fencing_token) {
  share_calls();
  if (types_.empty()) {
    waiting_for_types_[shard] = fencing_token;
    return;
  }
  ShardLeader::Context context;
  context.env = &env_;
  context.state = &state_;
  context.settings = &settings_;
  context.types = &types_;
  context.zones = &zones_;
  context.shard_count = ownership_.shard_count();
  context.ask = [this](int other, const std::string& path, const Json& body,
                       std::function<void(Json)> answer) { ask(other, path, body, std::move(answer)); };
  context.exclusive_owner = [this, shard] { return decides() && ownership_.exclusive(shard); };
  context.may_renew = [this, shard] { return ownership_.may_renew(shard); };
  context.owner_since = [this](int other) { return ownership_.owner(other).fencing_token; };
  // Both end the shard that calls: they run after its own code has returned.
  context.restart_shard = [this, shard, fencing_token](const std::string& why) {
    env_.after(0, [this, shard, fencing_token, why] {
      if (monitor_ != nullptr && monitor_->lost()) return;
      const auto it = shards_.find(shard);
      if (it != shards_.end() && it->second->fencing_token() == fencing_token)
        ownership_.restart_shard(shard, why);
    });
  };
  context.deposed = [this, shard](std::uint64_t newer) {
    env_.after(0, [this, shard, newer] { ownership_.heard(shard, "", newer); });
  };
  context.contradicted = [this](const std::string& what) {
    if (monitor_ != nullptr) monitor_->on_contradiction(what);
  };
  context.ended = [this](const std::string& ref, const JobStatus& status) {
    user_api_.note_terminal(ref, status);
  };
  auto fresh = std::make_unique<ShardLeader>(std::move(context), shard, fencing_token);
  ShardLeader* raw = fresh.get();
  shards_[shard] = std::move(fresh);
  raw->load();
  if (shard == 0) {
    Fleet::Context fleet;
    fleet.env = &env_;
    fleet.state = &state_;
    fleet.cloud = &cloud_;
    fleet.settings = &settings_;
    fleet.types = &types_;
    fleet.zones = &zones_;
    fleet.fencing_token = fencing_token;
    fleet.shard_count = ownership_.shard_count();
    fleet.exclusive_owner = [this, shard] { return decides() && ownership_.exclusive(shard); };
    fleet.new_types = [this](MachineTypes types) {
      env_.after(0, [this, types = std::move(types)]() mutable { take_types(std::move(types), false); });
    };
    fleet_ = std::make_unique<Fleet>(std::move(fleet));
    fleet_->start();
  }
  tell_peers();
}

void Node::ask(int shard, const std::string& path, const Json& body, std::function<void(Json)> answer) {
  const auto it = shards_.find(shard);
  if (it != shards_.end()) {
    env_.after(0, [this, shard, path, body, answer = std::move(answer)] {
      const auto found = shards_.find(shard);
      answer(found == shards_.end() ? Json() : found->second->on_peer(path, body));
    });
    return;
  }
  const std::string address = address_of(ownership_.owner(shard).node);
  if (address.empty()) {
    env_.after(kAskSeconds / 2, [answer = std::move(answer)] { answer(Json()); });
    return;
  }
  const Json message = {{"to", shard}, {"body", body}};
  env_.call({address, "POST", path, dump_json(message), kAskSeconds},
            [answer = std::move(answer)](const HttpReply& reply) {
              answer(reply.status == 200 ? parse_json(reply.body) : Json());
            });
}

void Node::on_peer(const HttpRequest& request, const Responder& responder) {
  const Json message = parse_json(request.body);
  if (!message.is_object() || !message.contains("body")) {
    return responder.send(400, R"({"error":"malformed"})");
  }
  const Json& body = message["body"];
  if (request.path == "/peer/summary") {
    auto summary = ShardSummary::from_json(body);
    if (!summary) return responder.send(400, R"({"error":"malformed"})");
    if (!fleet_) return responder.send(421, R"({"error":"no fleet here"})");
    return responder.send(200, dump_json(fleet_->take(std::move(*summary)).to_json()));
  }
  const auto it = shards_.find(message.value("to", -1));
  if (it == shards_.end()) return responder.send(421, R"({"error":"not the owner"})");
  responder.send(200, dump_json(it->second->on_peer(request.path, body)));
}

// Each shard tells the fleet, wherever that is, and does as it is told.
void Node::report_to_fleet() {
  env_.after(kFleetEvery, [this] { report_to_fleet(); });
  for (auto& [index, shard] : shards_) {
    if (!shard->active()) continue;
    if (fleet_) {
      shard->apply(fleet_->take(shard->summary()));
      continue;
    }
    const std::string address = ownership_.shard_count() > 0 ? address_of(ownership_.owner(0).node) : "";
    if (address.empty()) continue;
    const Json message = {{"to", 0}, {"body", shard->summary().to_json()}};
    env_.call({address, "POST", "/peer/summary", dump_json(message), kAskSeconds},
              [this, index = index, fencing_token = shard->fencing_token()](const HttpReply& reply) {
                if (reply.status != 200) return;
                const auto found = shards_.find(index);
                if (found == shards_.end() || found->second->fencing_token() != fencing_token) return;
                found->second->apply(FleetOrders::from_json(parse_json(reply.body)));
              });
  }
}

void Node::lost(int shard) {
  waiting_for_types_.erase(shard);
  if (shard == 0) fleet_.reset();
  shards_.erase(shard);
  share_calls();
}

void Node::share_calls() {
  const double nodes = static_cast<double>(settings_.members.size() + 1);
  const int shard_count = std::max(1, ownership_.shard_count());
  const double owned = static_cast<double>(ownership_.held_count()) / shard_count;
  // Until the shards are known nobody has any, and all have to start.
  state_.set_share(ownership_.shard_count() == 0 ? 1 / nodes
                                                 : kUsersShare / nodes + (1 - kUsersShare) * owned);
  cloud_.set_share(ownership_.shard_count() > 0 && ownership_.mine(0) ? 0.8 : 0.2 / nodes);
}

// Owners tell the others, so that one whom the state service cannot reach hears that it was deposed.
void Node::beat() {
  tell_peers();
  env_.after(kBeat, [this] { beat(); });
}

void Node::tell_peers() {
  Json owned = Json::array();
  for (const auto& [index, shard] : shards_)
    owned.push_back({{"part", index}, {"baton", shard->fencing_token()}});
  const double asked = env_.now();
  if (settings_.members.empty()) ownership_.note_unreplaced(asked);  // there is nobody who could replace us
  if (!owned.empty()) {
    Json beat = {{"node", settings_.node}, {"owned", owned}};
    if (monitor_ != nullptr) beat["revision"] = monitor_->newest();
    const std::string body = dump_json(beat);
    const auto silent_nodes = std::make_shared<std::size_t>(0);
    for (const Member& member : settings_.members) {
      env_.call({member.address, "POST", "/peer/beat", body, 1.0},
                [this, asked, silent_nodes](const HttpReply& reply) {
                  on_silence_reply(asked, silent_nodes, reply);
                });
    }
  }
}

// Each answer says since when that node has heard nothing from the state service. Had it heard something
// after the end of our lease, it could know of a new owner, or be one. Only all of them together vouch, each
// time anew, and for the moment at which they were asked.
void Node::on_silence_reply(double asked, const std::shared_ptr<std::size_t>& silent_nodes,
                            const HttpReply& reply) {
  if (reply.status != 200) return;
  const Json body = parse_json(reply.body);
  if (!body.is_object() || !body.contains("silent_s") || !body["silent_s"].is_number()) return;
  const double heard_at = env_.now() - body["silent_s"].get<double>() * (1 - kDrift);
  if (heard_at >= ownership_.lease_end()) return;
  if (++*silent_nodes == settings_.members.size()) ownership_.note_unreplaced(asked);
}

void Node::on_beat(const HttpRequest& request, const Responder& responder) {
  const Json body = parse_json(request.body);
  if (!body.is_object() || !body.contains("owned") || !body["owned"].is_array()) {
    responder.send(400, R"({"error":"malformed"})");
    return;
  }
  if (monitor_ != nullptr) monitor_->on_peer_revision(body.value("revision", std::uint64_t{0}));
  const std::string node = body.value("node", "");
  std::vector<std::uint64_t> tokens;
  for (const Json& item : body["owned"]) {
    tokens.push_back(item.value("baton", std::uint64_t{0}));
    ownership_.heard(item.value("part", -1), node, tokens.back());
  }
  relay_.heard_from(node, tokens, env_.now());
  responder.send(200, dump_json({{"silent_s", state_.silent_s()}}));
}

// ---------------------------------------------------------------- routing

void Node::on_client_request(const HttpRequest& request, const Responder& responder) {
  if (request.path == "/hello") {
    if (request.method != "POST") return responder.send(405, R"({"error":"method"})");
    on_hello(request, false, responder);
  } else if (request.path == "/ready") {
    if (request.method != "GET") return responder.send(405, R"({"error":"method"})");
    const bool ready = !types_.empty() && ownership_.shard_count() > 0;
    responder.send(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})", ready ? 0 : 1);
  } else {
    on_users(request, false, responder);
  }
}

void Node::on_peer_request(const HttpRequest& request, const Responder& responder) {
  if (request.path == "/peer/beat") {
    if (request.method != "POST") return responder.send(405, R"({"error":"method"})");
    on_beat(request, responder);
  } else if (request.path == kRelayPath) {
    if (request.method != "POST") return responder.send(405, R"({"error":"method"})");
    on_hello(request, true, responder);
  } else if (request.path.rfind("/peer/", 0) == 0) {
    if (request.method != "POST") return responder.send(405, R"({"error":"method"})");
    on_peer(request, responder);
  } else {
    on_users(request, true, responder);
  }
}

void Node::on_users(const HttpRequest& request, bool forwarded, const Responder& responder) {
  static constexpr std::string_view kRuns = "/v2/runs";
  static constexpr std::string_view kCancel = "/cancel";
  const std::string& path = request.path;
  if (path == kRuns) {
    if (request.method != "POST") return responder.send(405, R"({"error":"method"})");
    user_api_.submit(request.body, responder);
    return;
  }
  if (path.compare(0, kRuns.size(), kRuns) == 0 && path.size() > kRuns.size() + 1 &&
      path[kRuns.size()] == '/') {
    std::string ref = path.substr(kRuns.size() + 1);
    if (ref.size() > kCancel.size() &&
        ref.compare(ref.size() - kCancel.size(), kCancel.size(), kCancel) == 0) {
      if (request.method != "POST") return responder.send(405, R"({"error":"method"})");
      ref.resize(ref.size() - kCancel.size());
      user_api_.cancel(ref, forwarded, responder);
      return;
    }
    if (ref.find('/') == std::string::npos) {
      if (request.method != "GET") return responder.send(405, R"({"error":"method"})");
      user_api_.poll(ref, forwarded, responder);
      return;
    }
  }
  responder.send(404, R"({"error":"no such path"})");
}

void Node::on_hello(const HttpRequest& request, bool relayed, const Responder& responder) {
  auto report = parse_report(parse_json(request.body));
  if (!report) {
    responder.send(400, R"({"error":"malformed report"})");
    return;
  }
  if (ownership_.shard_count() == 0) {
    responder.send(503, R"({"error":"starting"})", 1);
    return;
  }
  check_token(newest_shown(*report));
  const int index = shard_of(report->machine_name, ownership_.shard_count());
  const auto it = shards_.find(index);
  if (it != shards_.end()) {
    it->second->on_report(std::move(*report), relayed, responder);
    return;
  }
  const std::string& owner = ownership_.owner(index).node;
  if (owner.empty() || owner == settings_.node) {
    responder.send(503, R"({"error":"no owner"})", 1);
  } else if (relayed) {
    responder.send(421, dump_json({{"parent", owner}}));
  } else {
    serve_elsewhere(index, *report, request, responder);
  }
}

void Node::serve_elsewhere(int index, const Report& report, const HttpRequest& request,
                           const Responder& responder) {
  const ShardOwner& owner = ownership_.owner(index);
  switch (relay_.route({report.machine_name, report.fencing_token, owner.node, owner.fencing_token},
                       env_.now())) {
    case ReportRelay::Route::kRedirect:
      responder.send(421, dump_json({{"parent", owner.node}}));
      return;
    case ReportRelay::Route::kNextNode:
      responder.send(421, R"({"error":"owner not reached"})");
      return;
    case ReportRelay::Route::kRelay:
      relay_report(owner.node, request, responder);
      return;
  }
}

// The owner's answer is passed on as it is: its token, not our name, is what the worker goes by. (Workers
// drop answers after 4 s; a launch that is lost on the way is sent again, as when any answer is lost.)
void Node::relay_report(const std::string& owner, const HttpRequest& request, const Responder& responder) {
  const double asked = env_.now();
  env_.call({address_of(owner), "POST", kRelayPath, request.body, kRelaySeconds},
            [this, owner, asked, responder](const HttpReply& reply) {
              // (After standing still we may find an answer here that the owner gave long ago.)
              if (reply.unanswered() || env_.now() - asked > kRelaySeconds) {
                relay_.relay_failed(owner);
                responder.send(503, R"({"error":"owner not reached"})", 1);
              } else {
                responder.send(reply.status, reply.body, reply.status == 503 ? 1 : 0);
              }
            });
}

// ---------------------------------------------------------------- lost state

// Other calls tell the revision only now and then; one that falls has to be noticed before others raise it
// again.
void Node::probe_revision() {
  state_.get(RequestPriority::kLease, keys::kNone, [](const StateReply&) {});
  env_.after(kProbeEvery, [this] { probe_revision(); });
}

// Tokens and attempt numbers come from revisions: what a worker shows is no newer than the service, which is
// asked now. (The answer itself goes to the monitor too, which does not know of the token.)
void Node::check_token(std::uint64_t token) {
  if (monitor_ == nullptr || token <= monitor_->newest() || checking_token_) return;
  checking_token_ = true;
  state_.get(RequestPriority::kLease, keys::kNone, [this, token](const StateReply& reply) {
    checking_token_ = false;
    if (reply.outcome == Outcome::kMissing) monitor_->on_revision(token, reply.revision());
  });
}

NodeMemory Node::memory() const {
  NodeMemory out;
  out.shards = ownership_.shard_count();
  const double lease_left = ownership_.lease_end() - env_.now();
  for (const auto& [index, shard] : shards_) {
    if (!ownership_.mine(index)) continue;
    ShardMemory memory;
    if (shard->active()) memory = shard->memory();
    memory.shard = index;
    memory.token = shard->fencing_token();
    memory.loaded = shard->active();
    memory.lease_left_s = lease_left;
    memory.renew_left_s = ownership_.renew_deadline(index) - env_.now();
    out.owned.push_back(std::move(memory));
  }
  user_api_.remember(out);
  return out;
}

std::string Node::owner_address(int index) const {
  return index >= 0 && index < ownership_.shard_count() ? address_of(ownership_.owner(index).node) : "";
}

ShardLeader* Node::owned_shard(int index) {
  const auto it = shards_.find(index);
  return it != shards_.end() && it->second->active() ? it->second.get() : nullptr;
}

void Node::log_counters() {
  const auto& calls = state_.counters();
  spdlog::info("state calls {}, writes {}, refused here {}, 429 {}, unanswered {}", calls.calls, calls.writes,
               calls.refused_here, calls.too_many, calls.unanswered);
  for (const auto& [index, shard] : shards_) {
    const auto& c = shard->counters();
    spdlog::info(
        "shard {}: heartbeats {}, launches {}, fetches {}, relaunches {}, done {}, delegated {}, received "
        "{}, returned {}, "
        "errors {}, preempted {}, freed by lease {} "
        "incarnation {} return "
        "{}; journal writes {} with {} changes, delegations {}, quota transfers {}, endings {}",
        index, c.reports, c.launches, c.fetches, c.relaunches, c.completions, c.tasks_delegated,
        c.tasks_received, c.tasks_returned, c.errors, c.preempted, c.freed_by_lease, c.freed_by_incarnation,
        c.freed_by_return, c.journal_writes, c.journal_changes, c.delegations, c.moves, c.endings);
  }
  env_.after(kCountersEvery, [this] { log_counters(); });
}

}  // namespace mothslip
