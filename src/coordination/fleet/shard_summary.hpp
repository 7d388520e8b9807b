// What the leader of a shard tells the fleet's leader once a second, and what that answers. Between nodes
// both travel as JSON.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

// A machine that reports to the shard.
struct MachineSummary {
  std::string name;
  std::string machine_type;
  std::string zone;
  std::string address;
  bool spot = false;
  bool schedulable = true;  // may anything new be started there
  bool faulty = false;
  bool draining = false;
  bool empty = false;            // nothing placed, and that is durable
  double silent_s = 0;           // seconds since its last heartbeat
  double idle_s = 0;             // seconds since it last had a placement
  std::vector<FleetRoom> rooms;  // free now, and when placed tasks are expected to end
};

// Waiting tasks of one job.
struct DemandSummary {
  Resources demand{};  // of a task
  int count = 0;
  int team = 0;     // index
  int urgency = 0;  // see Urgency; 0: best-effort
  double estimated_s = 0;
  double image_gb = 0;
  double time_left_s = 1e9;  // until the deadline; huge: none
  std::string job_class;
  bool allows_spot = false;
  std::vector<std::string> machine_types;  // empty: any
  std::string zone;                        // empty: any
  double submitted_at = 0;                 // seconds since the epoch
  bool starving = false;                   // of its job nothing has begun for long
  bool is_gang = false;                    // the tasks start together: they are asked for as one
};

// Work that may only run on ordinary machines: what it takes, and what that varies by.
struct OrdinaryUse {
  double cores = 0;
  double squared_cores_sum = 0;      // of the cores of each open job
  Resources largest_start_demand{};  // that has to be free at once for one of the jobs to start

  [[nodiscard]] bool empty() const { return cores <= 0; }
};

// What a shard has and wants.
struct ShardSummary {
  int shard = 0;
  std::uint64_t fencing_token = 0;
  std::map<int, double> wanted_by_team;  // cores placed and waiting
  std::map<int, double> used_by_team;
  double squared_cores_sum =
      0;  // of the cores that each open job of this shard's own has placed or waiting, summed
  OrdinaryUse ordinary_use;
  std::vector<MachineSummary> machines;
  std::vector<DemandSummary> demands;

  [[nodiscard]] Json to_json() const;
  // nullopt when malformed.
  static std::optional<ShardSummary> from_json(const Json& value);
};

// Tasks that wait at other shards, so that a shard can keep large machines free for them.
struct WaitingHint {
  Resources demand{};
  int urgency = 0;
  bool allows_spot = false;
  bool starving = false;
  bool startable = false;        // goes before best-effort work, and lacks nothing but room
  double min_machine_cores = 0;  // of the smallest machine type that can hold it; for the shard to work out
};

// What a shard is to do with its machines, by their names.
struct FleetOrders {
  std::vector<std::string> draining;  // start nothing, and let what runs end or move
  std::vector<std::string> cordoned;  // start nothing that could go elsewhere
  std::vector<std::string> removed;   // the cloud confirmed it
  std::vector<WaitingHint> waiting;
  double headroom_share = 0;  // of the machines' cores, kept free of best-effort work

  [[nodiscard]] Json to_json() const;
  // Without any orders when malformed.
  static FleetOrders from_json(const Json& value);
};

}  // namespace mothslip
