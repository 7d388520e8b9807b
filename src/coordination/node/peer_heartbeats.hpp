// Heartbeats between controllers.
//
// A node that owns shards reports them to all other nodes, so that an owner that the state service cannot
// reach learns that it was deposed. The replies support the lease of the sender: each reports how long that
// node has received no answer from the state service, and all of them together can show that no other node
// has replaced the sender yet.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "coordination/node/peer_messages.hpp"
#include "coordination/node/report_relay.hpp"
#include "coordination/ownership/ownership.hpp"
#include "coordination/state/state_client.hpp"
#include "transport/http.hpp"

namespace mothslip {

class PeerHeartbeats {
 public:
  struct Context {
    Env* env = nullptr;
    const Settings* settings = nullptr;
    const StateClient* state = nullptr;
    Ownership* ownership = nullptr;
    ReportRelay* relay = nullptr;
    StateMonitor* monitor = nullptr;  // null if this node does not monitor for lost state
    std::function<std::vector<OwnedShard>()> owned_shards;
  };
  explicit PeerHeartbeats(Context context) : ctx_(std::move(context)) {}

  // Starts sending heartbeats, the first after one interval.
  void start();
  // Sends a heartbeat now, in addition to those at intervals, unless this node owns no shard.
  void send();
  // Handles the heartbeat of another node.
  void on_heartbeat(const HttpRequest& request, const Responder& responder);

 private:
  // One heartbeat to all members, and what their replies have shown so far.
  struct Round {
    double sent_at = 0;  // by this node's clock
    // Members that have received no answer from the state service since the end of this node's lease.
    std::size_t nodes_without_contact = 0;
  };
  void send_at_intervals();
  void on_reply(Round& round, const HttpReply& reply);

  Context ctx_;
};

}  // namespace mothslip
