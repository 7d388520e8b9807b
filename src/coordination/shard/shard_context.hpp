// The environment that all parts of a shard's leader share: the clock, the state service, the settings, the
// other shards and the node on which the leader runs.
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
  // Whether no other node can own this shard now (Ownership::owns_exclusively).
  std::function<bool()> owns_exclusively;
  // Whether the leases of the workers of this shard may be renewed
  // (Ownership::may_renew_worker_leases).
  std::function<bool()> may_renew_worker_leases;
  // Returns the revision of the last ownership change of a shard that this node has observed: when its
  // current owner claimed it, or when its last owner lost it.
  std::function<std::uint64_t(int shard)> owner_change_revision;
  // Sends a request to the leader of another shard. The answer is null if the leader cannot be reached.
  std::function<void(int shard, const std::string& path, const Json& body, std::function<void(Json)>)>
      call_leader;
  // Gives up the shard and loads it again under a new fencing token.
  std::function<void(std::string why)> restart_shard;
  // Called when an answer of the state service contradicts an earlier one.
  std::function<void(const std::string& what)> on_state_contradiction;
  // Called when a worker reports a higher fencing token than this leader's.
  std::function<void(std::uint64_t fencing_token)> on_deposed;
  // Called when a job's terminal state is durable and users may be informed of it.
  std::function<void(const std::string& ref, const JobStatus& status)> on_job_ended;

  // The following are set by the leader.
  int shard = 0;
  std::uint64_t fencing_token = 0;

  // The longest time that a worker's lease can last after the report that renewed it, measured by this node's
  // clock.
  [[nodiscard]] double worker_lease_bound_s() const {
    // Relative drift between the clocks of this node and of a worker. Larger than kMaxClockDriftFraction.
    constexpr double kMaxWorkerClockDriftFraction = 0.002;
    constexpr double kLeaseMarginSeconds = 1.0;  // covers the worker's clock steps and message delays
    return settings->lease_s * (1 + kMaxWorkerClockDriftFraction) + kLeaseMarginSeconds;
  }
  // A machine's room is used only while its last report is at most this old. The bound allows for the reports
  // of idle machines, which are held before they are answered.
  [[nodiscard]] double max_report_age_s() const { return 2 * settings->report_s + 2; }
  // Returns the shard to ask after `previous_shard`, so that all other shards are asked in turn.
  [[nodiscard]] int next_shard(int previous_shard) const {
    const int next = (previous_shard + 1) % shard_count;
    return next == shard ? (next + 1) % shard_count : next;
  }
};

}  // namespace mothslip
