// How much of the limits of the state service and the cloud this node may use.
//
// The limits count for all nodes together. One share is split evenly, for what every node does for its users;
// the rest goes with the shards that a node owns.
#pragma once

#include "coordination/fleet/cloud_client.hpp"
#include "coordination/ownership/ownership.hpp"
#include "coordination/state/state_client.hpp"

namespace mothslip {

class CallBudget {
 public:
  // All references must outlive the budget.
  CallBudget(const Settings& settings, const Ownership& ownership, StateClient& state, CloudClient& cloud)
      : settings_(settings), ownership_(ownership), state_(state), cloud_(cloud) {}

  // Sets the shares of both clients by the shards that are owned now. To be called whenever these change.
  void update();

 private:
  const Settings& settings_;
  const Ownership& ownership_;
  StateClient& state_;
  CloudClient& cloud_;
};

}  // namespace mothslip
