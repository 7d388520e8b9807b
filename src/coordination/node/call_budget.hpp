// Divides the rate limits of the state service and the cloud among the nodes.
//
// The limits apply to all nodes together. One fraction is split evenly, for the requests that every node
// makes for its users. The rest is allotted to nodes by the shards that they own.
#pragma once

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/ownership/ownership.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

class CallBudget {
 public:
  // All references must outlive this object.
  CallBudget(const Settings& settings, const Ownership& ownership, StateClient& state, CloudClient& cloud)
      : settings_(settings), ownership_(ownership), state_(state), cloud_(cloud) {}

  // Sets the shares of both clients according to the shards that this node owns. Must be called whenever
  // these change.
  void update();

 private:
  const Settings& settings_;
  const Ownership& ownership_;
  StateClient& state_;
  CloudClient& cloud_;
};

}  // namespace mothslip
