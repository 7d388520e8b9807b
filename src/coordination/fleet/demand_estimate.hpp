// What work is there and how it varies: from the shards' summaries, smoothed over time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/fleet/shard_reports.hpp"
#include "protocol/names.hpp"
#include "scheduling/sizing.hpp"

namespace mothslip {

// Whether the demand may run on machines of this type.
bool allows_type(const DemandSummary& demand, const std::string& machine_type);

// What a gang takes on one machine, if there is a type that holds all of it; else what each task takes.
Resources gang_unit(const DemandSummary& gang, const MachineTypes& types);

class DemandEstimate {
 public:
  // The arguments outlive this object.
  DemandEstimate(const Settings& settings, const MachineTypes& types, NameTable& zones,
                 const ShardReports& reports);

  // Follows what the summaries say, `step_s` seconds after the last step.
  void update(double step_s);

  // Recent use: cores placed and waiting within the teams' limits, smoothed.
  [[nodiscard]] double used_cores() const { return used_cores_; }
  // Cores to be kept free for what use varies by. Jobs come independently of each other: what is in use
  // varies by about the root of the sum of their squares. With many jobs that is far less, of what is in use,
  // than with a few.
  [[nodiscard]] double headroom_cores() const;

  // There is work that may run on ordinary machines only.
  [[nodiscard]] bool has_ordinary_work() const;
  [[nodiscard]] const OrdinaryUse& ordinary_use() const { return ordinary_use_; }
  // Cores of ordinary machines to be kept free for what that work varies by.
  [[nodiscard]] double ordinary_headroom_cores() const;

  // Cores that wait, but for best-effort work.
  [[nodiscard]] double waiting_cores() const;
  // One more task of it would be within its team's limit.
  [[nodiscard]] bool is_within_team_limit(const DemandSummary& demand) const;
  // What waits, as sizing takes it: the most urgent first, then the oldest, each team up to its limit.
  [[nodiscard]] std::vector<FleetDemand> demands() const;
  // Room to be kept free, as demands of the lowest rank: on spot machines, and on ordinary ones for work that
  // may run on those only.
  [[nodiscard]] std::vector<FleetDemand> headroom_demands() const;

 private:
  [[nodiscard]] bool is_known_team(int team) const;
  [[nodiscard]] double team_limit(int team) const;
  [[nodiscard]] double cores_wanted_within_limits() const;
  [[nodiscard]] std::vector<const DemandSummary*> demands_by_priority() const;
  [[nodiscard]] std::map<int, double> used_by_team() const;
  void update_ordinary_use(double step_s);
  // `count` of the demand's tasks, within the team's limit.
  [[nodiscard]] FleetDemand to_fleet_demand(const DemandSummary& wanted, int count) const;
  [[nodiscard]] double start_within_s(const DemandSummary& wanted) const;

  const Settings& settings_;
  const MachineTypes& types_;
  NameTable& zones_;
  const ShardReports& reports_;
  std::map<std::string, double> start_within_s_by_class_;  // seconds, by job class, from the objectives
  double default_start_within_s_;                          // any job: the least that guarantees say
  bool has_estimate_ = false;                              // since all shards reported
  double used_cores_ = 0;                                  // smoothed
  double squared_cores_sum_ = 0;                           // of the open jobs' cores, smoothed
  OrdinaryUse ordinary_use_;                               // smoothed
};

}  // namespace mothslip
