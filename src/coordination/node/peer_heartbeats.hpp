// Heartbeats between controllers.
//
// A node that owns shards tells all others which, so that an owner which the state service cannot reach hears
// that it was deposed. The replies serve its own lease: each says for how long that node has heard nothing
// from the state service, and all of them together can show that nobody has replaced this node yet.
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
    StateMonitor* monitor = nullptr;  // may be null: nobody watches for lost state
    std::function<std::vector<OwnedShard>()> owned_shards;
  };
  explicit PeerHeartbeats(Context context) : ctx_(std::move(context)) {}

  // Sends heartbeats from now on, the first after one interval.
  void start();
  // Sends one now, besides those at intervals; nothing where this node owns no shard.
  void send();
  // Another node's heartbeat.
  void on_heartbeat(const HttpRequest& request, const Responder& responder);

 private:
  // One heartbeat to all members, and what their replies have shown so far.
  struct Round {
    double sent_at = 0;  // by the clock of this node
    std::size_t nodes_without_contact =
        0;  // which have heard nothing since before the end of this node's lease
  };
  void send_at_intervals();
  void on_reply(Round& round, const HttpReply& reply);

  Context ctx_;
};

}  // namespace mothslip
