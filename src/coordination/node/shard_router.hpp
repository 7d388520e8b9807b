// Sends requests between the leaders of shards and from each leader to the fleet manager, on any node. A
// leader on this node is called directly, a leader on another node through the peer address of that node.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/node/local_shards.hpp"
#include "coordination/ownership/ownership.hpp"
#include "transport/http.hpp"

namespace mothslip {

class ShardRouter {
 public:
  // All references must outlive this object.
  ShardRouter(Env& env, const Settings& settings, const Ownership& ownership, const LocalShards& shards)
      : env_(env), settings_(settings), ownership_(ownership), shards_(shards) {}

  // Starts sending the summaries of this node's leaders to the fleet manager and applying its orders to the
  // leaders.
  void start();

  // Sends a request to the leader of the shard. `answer` is called exactly once, never from within this call.
  // Its argument is null if the leader cannot be reached.
  void call_leader(int shard, const std::string& path, const Json& body, std::function<void(Json)> answer);

  // Handles another node's request to a leader or the fleet manager on this node.
  void on_request(const HttpRequest& request, const Responder& responder);

 private:
  void send_summaries();
  void send_summary(const std::string& address, int shard, const ShardLeader& leader);
  [[nodiscard]] std::string owner_address(int shard) const;

  Env& env_;
  const Settings& settings_;
  const Ownership& ownership_;
  const LocalShards& shards_;
};

}  // namespace mothslip
