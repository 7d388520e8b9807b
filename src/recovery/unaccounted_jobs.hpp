// The operators' view of jobs that could not be accounted for: the list, and decisions about them. Served by
// every controller; decisions are relayed to the owner of the job's shard.
#pragma once

#include <string>

#include "coordination/node/node.hpp"
#include "coordination/state/state_client.hpp"
#include "recovery/messages.hpp"
#include "transport/http.hpp"

namespace mothslip::recovery {

class UnaccountedJobs {
 public:
  UnaccountedJobs(Env& env, const Settings& settings, const Incarnation& incarnation, Node& node);

  // Answers with an UnaccountedList; 503 where the state service cannot be read.
  void list(const Responder& responder);
  // `body`: a Decision. Answers 202 once the job's owner has begun to act on it; the job leaves the list when
  // that is durable. 404: it is not unaccounted. 400: malformed. 503: its owner is not known, or not reached.
  void resolve(const std::string& body, const Responder& responder);

 private:
  void relay(const Decision& decision, int shard, const Responder& responder);

  Env& env_;
  StateClient store_;
  Node& node_;
};

}  // namespace mothslip::recovery
