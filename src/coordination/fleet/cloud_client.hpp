// Calls to the cloud's interface, behind a token bucket. Nothing is queued here: callers ask `ready` whether
// a call may be made now, and come back later when it may not.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/fleet/cloud_messages.hpp"
#include "protocol/messages.hpp"
#include "transport/env.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip {

struct CloudReply {
  int status = 0;  // 0: no response
  Json body;       // null when empty, discarded when it is not JSON
};
using CloudHandler = std::function<void(CloudReply)>;

class CloudClient {
 public:
  // `env` outlives the client, and the client outlives its calls.
  CloudClient(Env& env, const Settings& settings);
  // The part of the cloud's limit that this node may use, 0..1.
  void set_share(double share);
  // One more call may be made now, and `reserve` calls would be left after it.
  [[nodiscard]] bool can_call(double reserve = 0);
  // The calls. Each takes a token, whether or not there is one, and gets exactly one reply.
  // Lists the machine types.
  void list_machine_types(CloudHandler handler);
  // Rents machines, at most 50 in one call.
  void rent_machines(const RentalRequest& request, CloudHandler handler);
  // Returns machines, at most 100 in one call.
  void return_machines(const std::vector<std::string>& machine_names, CloudHandler handler);
  // Lists machines in order of their names, those after `from` (empty: from the first).
  void list_machines(const std::string& after_machine, CloudHandler handler);

 private:
  void send(const char* method, std::string path, std::string body, CloudHandler handler);

  Env& env_;
  std::string address_;
  double max_calls_per_second_;  // calls a second that the cloud takes from all nodes together
  TokenBucket call_tokens_;
};

}  // namespace mothslip
