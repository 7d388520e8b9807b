#include "coordination/node/shard_router.hpp"

#include <utility>

#include "coordination/node/peer_messages.hpp"

namespace mothslip {

namespace {
constexpr double kSummaryIntervalSeconds = 1.0;
constexpr double kTimeoutSeconds = 1.0;
// The delay before a request is answered with null because no owner is known.
constexpr double kNoOwnerReplyDelaySeconds = kTimeoutSeconds / 2;
}  // namespace

void ShardRouter::start() {
  env_.after(kSummaryIntervalSeconds, [this] { send_summaries(); });
}

std::string ShardRouter::owner_address(int shard) const {
  return settings_.member_address(ownership_.owner(shard).node);
}

void ShardRouter::call_leader(int shard, const std::string& path, const Json& body,
                              std::function<void(Json)> answer) {
  if (shards_.find(shard) != nullptr) {
    env_.after(0, [this, shard, path, body, answer = std::move(answer)] {
      ShardLeader* leader = shards_.find(shard);
      answer(leader == nullptr ? Json() : leader->on_peer_request(path, body));
    });
    return;
  }
  const std::string address = owner_address(shard);
  if (address.empty()) {
    env_.after(kNoOwnerReplyDelaySeconds, [answer = std::move(answer)] { answer(Json()); });
    return;
  }
  env_.call({address, "POST", path, dump_json(PeerRequest{shard, body}.to_json()), kTimeoutSeconds},
            [answer = std::move(answer)](const HttpReply& reply) {
              answer(reply.status == 200 ? parse_json(reply.body) : Json());
            });
}

void ShardRouter::on_request(const HttpRequest& request, const Responder& responder) {
  const auto message = PeerRequest::from_json(parse_json(request.body));
  if (!message) return responder.send(400, R"({"error":"malformed"})");
  if (request.path == peer_paths::kSummary) {
    auto summary = ShardSummary::from_json(message->body);
    if (!summary) return responder.send(400, R"({"error":"malformed"})");
    Fleet* fleet = shards_.fleet();
    if (fleet == nullptr) return responder.send(421, R"({"error":"no fleet here"})");
    return responder.send(200, dump_json(fleet->on_summary(std::move(*summary)).to_json()));
  }
  ShardLeader* leader = shards_.find(message->shard);
  if (leader == nullptr) return responder.send(421, R"({"error":"not the owner"})");
  responder.send(200, dump_json(leader->on_peer_request(request.path, message->body)));
}

void ShardRouter::send_summaries() {
  env_.after(kSummaryIntervalSeconds, [this] { send_summaries(); });
  for (const auto& [shard, leader] : shards_.leaders()) {
    if (!leader->active()) continue;
    if (Fleet* fleet = shards_.fleet(); fleet != nullptr) {
      leader->apply(fleet->on_summary(leader->summary()));
      continue;
    }
    const std::string address = ownership_.shard_count() > 0 ? owner_address(kFleetShard) : "";
    if (!address.empty()) send_summary(address, shard, *leader);
  }
}

void ShardRouter::send_summary(const std::string& address, int shard, const ShardLeader& leader) {
  const PeerRequest message{kFleetShard, leader.summary().to_json()};
  env_.call({address, "POST", peer_paths::kSummary, dump_json(message.to_json()), kTimeoutSeconds},
            [this, shard, fencing_token = leader.fencing_token()](const HttpReply& reply) {
              if (reply.status != 200) return;
              // Another leader may own the shard by now, or no leader on this node.
              ShardLeader* found = shards_.find(shard);
              if (found == nullptr || found->fencing_token() != fencing_token) return;
              found->apply(FleetOrders::from_json(parse_json(reply.body)));
            });
}

}  // namespace mothslip
