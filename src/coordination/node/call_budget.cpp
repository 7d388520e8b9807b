#include "coordination/node/call_budget.hpp"

#include <algorithm>

#include "coordination/node/local_shards.hpp"

namespace mothslip {

namespace {
// Fractions of the limits, from 0 to 1.
constexpr double kStateUserFraction = 0.3;    // of the state service's limit, split evenly among the nodes
constexpr double kCloudFleetFraction = 0.8;   // of the cloud's limit, for the node that manages the fleet
constexpr double kCloudOthersFraction = 0.2;  // of the cloud's limit, split evenly among the nodes
}  // namespace

void CallBudget::update() {
  const double node_count = static_cast<double>(settings_.members.size() + 1);
  const bool are_shards_known = ownership_.shard_count() > 0;
  const int shard_count = std::max(1, ownership_.shard_count());
  const double owned_fraction = static_cast<double>(ownership_.held_count()) / shard_count;
  // Until the number of shards is known, no node owns a shard, and all nodes need calls to start up.
  state_.set_share(are_shards_known
                       ? kStateUserFraction / node_count + (1 - kStateUserFraction) * owned_fraction
                       : 1 / node_count);
  const bool manages_fleet = are_shards_known && ownership_.owns(kFleetShard);
  cloud_.set_share(manages_fleet ? kCloudFleetFraction : kCloudOthersFraction / node_count);
}

}  // namespace mothslip
