// The summary that the leader of each shard sends to the fleet's leader once per second, and the orders that
// the fleet's leader returns. Nodes exchange both as JSON.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

// A machine whose worker reports to the shard.
struct MachineSummary {
  std::string name;
  std::string machine_type;
  std::string zone;
  std::string address;
  bool spot = false;
  bool schedulable = true;  // new tasks may be started on it
  bool faulty = false;
  bool draining = false;
  bool empty = false;            // no task is placed on it, and the end of each task is recorded
  double silent_s = 0;           // time since its last heartbeat
  double idle_s = 0;             // time since it last had a placement
  std::vector<FleetRoom> rooms;  // room that is free now or when placed tasks are expected to end
};

// The waiting tasks of one job.
struct DemandSummary {
  Resources demand{};  // demand of one task
  int count = 0;
  int team = 0;     // index of the team
  int urgency = 0;  // value of Urgency; 0: best-effort
  double estimated_s = 0;
  double image_gb = 0;
  double time_left_s = 1e9;  // time until the deadline; 1e9: no deadline
  std::string job_class;
  bool allows_spot = false;
  std::vector<std::string> machine_types;  // allowed types; empty: any type
  std::string zone;                        // required zone; empty: any zone
  double submitted_at = 0;                 // seconds since the epoch
  bool starving = false;                   // no task of the job has started for a long time
  bool is_gang = false;  // the tasks start together and need their machines at the same time
};

// The use of ordinary machines by work that may not run on spot machines.
struct OrdinaryUse {
  double cores = 0;
  double squared_cores_sum = 0;      // sum over the open jobs of the square of their cores
  Resources largest_start_demand{};  // the most of each resource that one of the jobs needs at once to start

  [[nodiscard]] bool empty() const { return cores <= 0; }
};

// The machines of a shard and the demand of its jobs.
struct ShardSummary {
  int shard = 0;
  std::uint64_t fencing_token = 0;
  std::map<int, double> wanted_by_team;  // cores of placed and waiting tasks
  std::map<int, double> used_by_team;
  // The sum, over the open jobs that belong to this shard, of the square of their cores, placed and waiting.
  double squared_cores_sum = 0;
  OrdinaryUse ordinary_use;
  std::vector<MachineSummary> machines;
  std::vector<DemandSummary> demands;

  [[nodiscard]] Json to_json() const;
  // Returns nullopt if the value is malformed.
  static std::optional<ShardSummary> from_json(const Json& value);
};

// Tasks that wait at another shard. The receiving shard can keep large machines free for them.
struct WaitingHint {
  Resources demand{};
  int urgency = 0;
  bool allows_spot = false;
  bool starving = false;
  bool startable = false;  // has precedence over best-effort work and lacks only room
  // The cores of the smallest machine type that can hold one task. It is not sent: the receiving shard
  // computes it.
  double min_machine_cores = 0;
};

// The orders of the fleet's leader to a shard. They refer to machines by name.
struct FleetOrders {
  std::vector<std::string> draining;  // start no tasks; let running tasks end or move them
  std::vector<std::string> cordoned;  // start no tasks that another machine could run
  std::vector<std::string> removed;   // the cloud has confirmed their return
  std::vector<WaitingHint> waiting;
  double headroom_share = 0;  // fraction of the machines' cores to keep free of best-effort work

  [[nodiscard]] Json to_json() const;
  // Returns empty orders if the value is malformed.
  static FleetOrders from_json(const Json& value);
};

}  // namespace mothslip
