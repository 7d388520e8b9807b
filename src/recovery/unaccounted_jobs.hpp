// The operators' interface to unaccounted jobs: the list of them, and decisions about them. Every controller
// serves it and relays decisions to the owner of the job's shard.
#pragma once

#include <string>

#include "coordination/node/node.hpp"
#include "coordination/state/state_client.hpp"
#include "recovery/messages.hpp"
#include "transport/http.hpp"

namespace mothslip::recovery {

class UnaccountedJobs {
 public:
  // `monitor` and `node` must outlive this object.
  UnaccountedJobs(Env& env, const Settings& settings, const Incarnation& incarnation, StateMonitor& monitor,
                  Node& node);

  // Answers with an UnaccountedList, or 503 if the state service cannot be read or has lost records.
  void list(const Responder& responder);
  // `body` is a Decision. Answers 202 once the owner of the job's shard has started to carry it out; the job
  // leaves the list when the result is durable. Answers 404 if the job is not unaccounted, 400 if the body is
  // malformed, and 503 if the owner is not known or cannot be reached.
  void resolve(const std::string& body, const Responder& responder);

 private:
  void relay(const Decision& decision, int shard, const Responder& responder);

  Env& env_;
  StateClient store_;
  Node& node_;
};

}  // namespace mothslip::recovery
