// Requests between the leaders of shards, and from each leader to the fleet manager, whichever nodes they are
// on. A leader on this node is called directly, one on another node through that node's peer address.
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
  // All references must outlive the router.
  ShardRouter(Env& env, const Settings& settings, const Ownership& ownership, const LocalShards& shards)
      : env_(env), settings_(settings), ownership_(ownership), shards_(shards) {}

  // From now on the leaders of this node send their summaries to the fleet manager, and apply what it orders.
  void start();

  // Asks the leader of the shard. `answer` is called exactly once, never from within this call; with null
  // where the leader cannot be reached.
  void call_leader(int shard, const std::string& path, const Json& body, std::function<void(Json)> answer);

  // Another node's request to a leader or the fleet manager of this one.
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
