// The cloud behind a token bucket. Calls that would have to wait are dropped by the caller's own pacing:
// `ready` says whether one may be made now.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "transport/env.hpp"
#include "transport/token_bucket.hpp"

namespace mothslip {

struct CloudReply {
  int status = 0;  // 0: no response
  Json body;
};
using CloudHandler = std::function<void(CloudReply)>;

struct RentalRequest {
  std::string name;
  std::string machine_type;
  std::string zone;
  bool spot = false;
  int how_many = 0;
};

class CloudClient {
 public:
  CloudClient(Env& env, const Settings& settings);
  void set_share(double share);
  [[nodiscard]] bool ready(double reserve = 0);
  void machine_types(CloudHandler handler);
  void rent(const RentalRequest& request, CloudHandler handler);
  void give_back(const std::vector<std::string>& machine_names, CloudHandler handler);
  void list(const std::string& from, CloudHandler handler);

 private:
  void send(const char* method, std::string path, std::string body, CloudHandler handler);
  Env& env_;
  std::string address_;
  double rps_;
  TokenBucket calls_;
};

}  // namespace mothslip
