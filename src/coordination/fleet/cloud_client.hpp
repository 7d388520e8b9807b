// Calls the cloud's API, limited by a token bucket. Calls are not queued: callers check `can_call` and retry
// later if it returns false.
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
  Json body;       // null if empty, discarded if it is not JSON
};
using CloudHandler = std::function<void(CloudReply)>;

class CloudClient {
 public:
  // `env` must outlive the client, and the client must outlive its calls.
  CloudClient(Env& env, const Settings& settings);
  // Sets the fraction of the cloud's limit that this node may use, 0..1.
  void set_share(double share);
  // Returns true if a call may be made now that leaves tokens for `reserve` more calls.
  [[nodiscard]] bool can_call(double reserve = 0);
  // Each of the following calls takes a token, even if there is none, and calls its handler exactly once.
  // Lists the machine types.
  void list_machine_types(CloudHandler handler);
  // Rents machines, at most 50 in one call.
  void rent_machines(const RentalRequest& request, CloudHandler handler);
  // Returns machines, at most 100 in one call.
  void return_machines(const std::vector<std::string>& machine_names, CloudHandler handler);
  // Lists machines sorted by name, starting after `after_machine`. If that is empty, starts with the first.
  void list_machines(const std::string& after_machine, CloudHandler handler);

 private:
  void send(const char* method, std::string path, std::string body, CloudHandler handler);

  Env& env_;
  std::string address_;
  double max_calls_per_second_;  // the cloud's limit for all nodes together
  TokenBucket call_tokens_;
};

}  // namespace mothslip
