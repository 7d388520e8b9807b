// What the collaborators of a shard's leader share of the outside world: clock, state service, settings,
// other shards, and the node that the leader runs on.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/node/job_status.hpp"
#include "coordination/state/state_client.hpp"
#include "protocol/messages.hpp"
#include "protocol/names.hpp"
#include "transport/env.hpp"

namespace mothslip {

struct ShardContext {
  Env* env = nullptr;
  StateClient* state = nullptr;
  const Settings* settings = nullptr;
  const MachineTypes* types = nullptr;
  NameTable* zones = nullptr;
  int shard_count = 1;
  // Nobody else can own this shard now (Ownership::exclusive).
  std::function<bool()> exclusive_owner;
  // The leases of the shard's workers may be renewed (Ownership::may_renew_worker_leases).
  std::function<bool()> may_renew;
  // The revision at which the shard got the owner that is known of, or lost its last one.
  std::function<std::uint64_t(int shard)> owner_since;
  // Asks the leader of another shard; a null answer when it cannot be reached.
  std::function<void(int shard, const std::string& path, const Json& body, std::function<void(Json)>)> ask;
  // Gives the shard up and loads it anew under a new fencing token.
  std::function<void(std::string why)> restart_shard;
  // The state service contradicts what it has answered before.
  std::function<void(const std::string& what)> contradicted;
  // A worker has seen a higher fencing token.
  std::function<void(std::uint64_t fencing_token)> deposed;
  // A job's terminal state is durable, and users may be told.
  std::function<void(const std::string& ref, const JobStatus& status)> ended;

  // Set by the leader.
  int shard = 0;
  std::uint64_t fencing_token = 0;

  // No worker's lease outlasts this time after the report that renewed it, in seconds of this node's clock.
  [[nodiscard]] double worker_lease_bound_s() const {
    constexpr double kDrift = 0.002;       // of two clocks, relative
    constexpr double kLeaseMarginS = 1.0;  // steps of the worker's clock, and messages
    return settings->lease_s * (1 + kDrift) + kLeaseMarginS;
  }
  // A machine's room counts while its last report is no older, in seconds. (An idle one's reports are held.)
  [[nodiscard]] double report_freshness_s() const { return 2 * settings->report_s + 2; }
  // The shard that is asked after this one: all others in turn.
  [[nodiscard]] int next_shard(int after) const {
    const int next = (after + 1) % shard_count;
    return next == shard ? (next + 1) % shard_count : next;
  }
};

}  // namespace mothslip
