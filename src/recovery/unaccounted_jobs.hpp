// The operators' view of jobs that could not be accounted for: the list, and decisions about them. Served by
// every controller; decisions are relayed to the owner of the job's shard.
#pragma once

#include <string>

#include "coordination/node/node.hpp"
#include "coordination/state/state_client.hpp"
#include "transport/http.hpp"

namespace mothslip::recovery {

// What an operator says about a job.
struct Decision {
  std::string ref;
  ShardLeader::HeldDecision what = ShardLeader::HeldDecision::kDone;
  bool relayed = false;  // by another controller
  [[nodiscard]] Json to_json() const;
  static std::optional<Decision> from_json(const Json& value);
};

class UnaccountedJobs {
 public:
  UnaccountedJobs(Env& env, const Settings& settings, const Incarnation& incarnation, Node& node);

  void list(const Responder& responder);
  // Answers 202 once the job's owner has begun to act on it; the job leaves the list when that is durable.
  // 404: it is not unaccounted.
  void resolve(const std::string& body, const Responder& responder);

 private:
  void relay(const Decision& decision, int shard, const Responder& responder);

  Env& env_;
  StateClient store_;
  Node& node_;
};

}  // namespace mothslip::recovery
