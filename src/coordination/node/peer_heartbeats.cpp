#include "coordination/node/peer_heartbeats.hpp"

#include <string>
#include <utility>

namespace mothslip {

namespace {
constexpr double kIntervalSeconds = 2.0;
constexpr double kTimeoutSeconds = 1.0;
// The relative drift between the steady clocks of two nodes: twice what the protocol allows. ShardContext
// allows more for the clocks of workers.
constexpr double kMaxClockDriftFraction = 0.001;
}  // namespace

void PeerHeartbeats::start() {
  ctx_.env->after(kIntervalSeconds, [this] { send_at_intervals(); });
}

void PeerHeartbeats::send_at_intervals() {
  send();
  ctx_.env->after(kIntervalSeconds, [this] { send_at_intervals(); });
}

void PeerHeartbeats::send() {
  const auto round = std::make_shared<Round>(Round{ctx_.env->now(), 0});
  // Without other nodes, no node can replace this one.
  if (ctx_.settings->members.empty()) ctx_.ownership->confirm_not_replaced(round->sent_at);
  PeerHeartbeat heartbeat;
  heartbeat.node = ctx_.settings->node;
  heartbeat.owned = ctx_.owned_shards();
  if (heartbeat.owned.empty()) return;
  if (ctx_.monitor != nullptr) heartbeat.revision = ctx_.monitor->newest_revision();
  const std::string body = dump_json(heartbeat.to_json());
  for (const Member& member : ctx_.settings->members) {
    ctx_.env->call({member.address, "POST", peer_paths::kHeartbeat, body, kTimeoutSeconds},
                   [this, round](const HttpReply& reply) { on_reply(*round, reply); });
  }
}

// A node that received an answer from the state service after the end of this node's lease could know a new
// owner, or be one. Only the replies of all nodes together prove that no node has replaced this one. They
// must belong to one round of heartbeats, and they prove it for the time at which that round was sent.
void PeerHeartbeats::on_reply(Round& round, const HttpReply& reply) {
  if (reply.status != 200) return;
  const auto answer = PeerHeartbeatReply::from_json(parse_json(reply.body));
  if (!answer) return;
  const double last_contact_at = ctx_.env->now() - answer->silent_s * (1 - kMaxClockDriftFraction);
  if (last_contact_at >= ctx_.ownership->earliest_lease_expiry_at()) return;
  round.nodes_without_contact++;
  if (round.nodes_without_contact == ctx_.settings->members.size())
    ctx_.ownership->confirm_not_replaced(round.sent_at);
}

void PeerHeartbeats::on_heartbeat(const HttpRequest& request, const Responder& responder) {
  const auto heartbeat = PeerHeartbeat::from_json(parse_json(request.body));
  if (!heartbeat) {
    responder.send(400, R"({"error":"malformed"})");
    return;
  }
  if (ctx_.monitor != nullptr) ctx_.monitor->on_peer_revision(heartbeat->revision.value_or(0));
  std::vector<std::uint64_t> tokens;
  for (const OwnedShard& item : heartbeat->owned) {
    tokens.push_back(item.fencing_token);
    ctx_.ownership->on_owner_reported(item.shard, heartbeat->node, item.fencing_token);
  }
  ctx_.relay->on_owner_heartbeat(heartbeat->node, tokens, ctx_.env->now());
  responder.send(200, dump_json(PeerHeartbeatReply{ctx_.state->silent_s()}.to_json()));
}

}  // namespace mothslip
