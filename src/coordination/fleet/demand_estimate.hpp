// Estimates the demand and its variation from the shards' summaries, smoothed over time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/fleet/shard_reports.hpp"
#include "protocol/names.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

// Returns true if the tasks may run on machines of this type.
bool allows_type(const DemandSummary& demand, const std::string& machine_type);

// Returns the unit in which a gang requests room: the demand of the whole gang if an allowed machine type can
// hold it, otherwise the demand of one task.
Resources gang_unit(const DemandSummary& gang, const MachineTypes& types);

class DemandEstimate {
 public:
  // All references must outlive this object.
  DemandEstimate(const Settings& settings, const MachineTypes& types, NameTable& zones,
                 const ShardReports& reports);

  // Updates the averages from the present summaries. `step_s` is the time since the last update.
  void update(double step_s);

  // Returns the recent use: the smoothed number of cores placed and waiting within the teams' limits.
  [[nodiscard]] double used_cores() const { return used_cores_; }
  // Returns the number of cores to keep free for variations of the use. Jobs arrive independently of each
  // other, so the use varies by about the square root of the sum of the squares of their cores. With many
  // jobs this is a much smaller fraction of the use than with a few.
  [[nodiscard]] double headroom_cores() const;

  // Returns true if there is work that may run on ordinary machines only.
  [[nodiscard]] bool has_ordinary_work() const;
  [[nodiscard]] const OrdinaryUse& ordinary_use() const { return ordinary_use_; }
  // Returns the number of cores of ordinary machines to keep free for variations of that work.
  [[nodiscard]] double ordinary_headroom_cores() const;

  // Returns the cores of the waiting tasks, without best-effort work.
  [[nodiscard]] double waiting_cores() const;
  // Returns true if one more task of the demand would be within its team's limit.
  [[nodiscard]] bool is_within_team_limit(const DemandSummary& demand) const;
  // Returns the waiting tasks as input of plan_fleet: the most urgent first, then the oldest, for each team
  // up to its limit.
  [[nodiscard]] std::vector<FleetDemand> demands() const;
  // Returns the room to keep free as demands of the lowest rank: on spot machines, and on ordinary machines
  // for work that may run on ordinary machines only.
  [[nodiscard]] std::vector<FleetDemand> headroom_demands() const;

 private:
  [[nodiscard]] bool is_known_team(int team) const;
  [[nodiscard]] double team_limit(int team) const;
  [[nodiscard]] double cores_wanted_within_limits() const;
  [[nodiscard]] std::vector<const DemandSummary*> demands_by_priority() const;
  [[nodiscard]] std::map<int, double> used_by_team() const;
  void update_ordinary_use(double step_s);
  // Converts `count` tasks of the demand, which are within the team's limit.
  [[nodiscard]] FleetDemand to_fleet_demand(const DemandSummary& wanted, int count) const;
  [[nodiscard]] double start_within_s(const DemandSummary& wanted) const;

  const Settings& settings_;
  const MachineTypes& types_;
  NameTable& zones_;
  const ShardReports& reports_;
  std::map<std::string, double> start_within_s_by_class_;  // by job class, from the objectives
  double default_start_within_s_;  // for other classes: the shortest of the guarantees
  bool has_estimate_ = false;      // true once all shards have reported
  double used_cores_ = 0;          // smoothed
  double squared_cores_sum_ = 0;   // smoothed, for the jobs that may run on spot machines
  OrdinaryUse ordinary_use_;       // smoothed
};

}  // namespace mothslip
