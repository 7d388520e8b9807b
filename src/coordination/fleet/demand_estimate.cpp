#include "coordination/fleet/demand_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace mothslip {

namespace {
// Time constants of the averages: for use that rises, for use that falls, and for falling use of ordinary
// machines.
constexpr double kRiseSmoothingSeconds = 90.0;
constexpr double kFallSmoothingSeconds = 40.0;
constexpr double kOrdinaryFallSmoothingSeconds = 60.0;
constexpr double kMinOrdinaryCores = 0.5;  // a smaller average counts as no work
// Machines are rented for best-effort work only if it would wait for longer than this.
constexpr double kBestEffortStartTargetSeconds = 120.0;
constexpr double kDefaultStartTargetSeconds = 60.0;  // used unless a guarantee is shorter
constexpr double kHeadroomStartTargetSeconds = 0.5;  // headroom has to be free immediately
constexpr int kHeadroomRank = -1;                    // lower than the rank of all work
constexpr Resources kHeadroomUnit = {4, 8, 0};       // cores, GB of memory, accelerators
}  // namespace

bool allows_type(const DemandSummary& demand, const std::string& machine_type) {
  const auto& allowed = demand.machine_types;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), machine_type) != allowed.end();
}

Resources gang_unit(const DemandSummary& gang, const MachineTypes& types) {
  Resources whole = gang.demand;
  for (double& amount : whole) amount *= gang.count;
  for (const MachineType& type : types.all()) {
    const Resources capacity = {type.cores, type.memory_gb, type.accelerators};
    if (allows_type(gang, type.name) && fits(whole, capacity)) return whole;
  }
  return gang.demand;
}

DemandEstimate::DemandEstimate(const Settings& settings, const MachineTypes& types, NameTable& zones,
                               const ShardReports& reports)
    : settings_(settings),
      types_(types),
      zones_(zones),
      reports_(reports),
      default_start_within_s_(kDefaultStartTargetSeconds) {
  for (const Objective& objective : settings.objectives) {
    if (objective.kind == "guarantee") {
      default_start_within_s_ = std::min(default_start_within_s_, objective.within_s);
    }
    if (objective.kind != "wait" || objective.job_class.empty()) continue;
    auto [it, inserted] = start_within_s_by_class_.try_emplace(objective.job_class, objective.within_s);
    if (!inserted) it->second = std::min(it->second, objective.within_s);
  }
}

bool DemandEstimate::is_known_team(int team) const {
  return team >= 0 && team < static_cast<int>(settings_.teams.size());
}

double DemandEstimate::team_limit(int team) const {
  return settings_.teams[static_cast<std::size_t>(team)].cpus_max;
}

// Waiting tasks beyond a team's limit need no machines and are not counted.
double DemandEstimate::cores_wanted_within_limits() const {
  std::map<int, double> wanted;
  for (const auto& [shard, report] : reports_.all()) {
    for (const auto& [team, cores] : report.summary.wanted_by_team) wanted[team] += cores;
  }
  double sum = 0;
  for (const auto& [team, cores] : wanted) {
    if (is_known_team(team)) sum += std::min(cores, team_limit(team));
  }
  return sum;
}

void DemandEstimate::update(double step_s) {
  // A new leader starts with the present use as its average, because an average that rises from zero would be
  // too low.
  const bool first = !has_estimate_ && reports_.is_complete();
  if (first) has_estimate_ = true;
  const auto update_average = [first, step_s](double& average, double observed) {
    const double weight =
        first ? 1.0
              : std::min(1.0, step_s / (observed < average ? kFallSmoothingSeconds : kRiseSmoothingSeconds));
    average += (observed - average) * weight;
  };
  update_average(used_cores_, cores_wanted_within_limits());
  double squared_cores_sum = 0;
  for (const auto& [shard, report] : reports_.all()) squared_cores_sum += report.summary.squared_cores_sum;
  update_average(squared_cores_sum_, squared_cores_sum);
  update_ordinary_use(step_s);
}

// Follows a rise immediately and a fall slowly: ordinary machines take a long time to boot, and gangs cannot
// start anywhere else.
void DemandEstimate::update_ordinary_use(double step_s) {
  OrdinaryUse observed_use;
  for (const auto& [shard, report] : reports_.all()) {
    const OrdinaryUse& use = report.summary.ordinary_use;
    observed_use.cores += use.cores;
    observed_use.squared_cores_sum += use.squared_cores_sum;
    for (std::size_t r = 0; r < observed_use.largest_start_demand.size(); r++) {
      observed_use.largest_start_demand[r] =
          std::max(observed_use.largest_start_demand[r], use.largest_start_demand[r]);
    }
  }
  const auto update_average = [step_s](double& average, double observed) {
    average = std::max(
        observed, average + (observed - average) * std::min(1.0, step_s / kOrdinaryFallSmoothingSeconds));
  };
  update_average(ordinary_use_.cores, observed_use.cores);
  update_average(ordinary_use_.squared_cores_sum, observed_use.squared_cores_sum);
  // The largest demand is kept until almost none of this work is left.
  const bool is_reset = ordinary_use_.cores < kMinOrdinaryCores;
  for (std::size_t r = 0; r < observed_use.largest_start_demand.size(); r++) {
    const double previous_demand = is_reset ? 0 : ordinary_use_.largest_start_demand[r];
    ordinary_use_.largest_start_demand[r] = std::max(previous_demand, observed_use.largest_start_demand[r]);
  }
}

double DemandEstimate::headroom_cores() const {
  const Tuning& tuning = settings_.tuning;
  return std::min(tuning.headroom * used_cores_, tuning.headroom_spread * std::sqrt(squared_cores_sum_));
}

bool DemandEstimate::has_ordinary_work() const { return ordinary_use_.cores >= kMinOrdinaryCores; }

double DemandEstimate::ordinary_headroom_cores() const {
  const Tuning& tuning = settings_.tuning;
  return std::min(tuning.headroom * ordinary_use_.cores,
                  tuning.headroom_spread * std::sqrt(ordinary_use_.squared_cores_sum));
}

double DemandEstimate::waiting_cores() const {
  double waiting = 0;
  for (const auto& [shard, report] : reports_.all()) {
    for (const DemandSummary& demand : report.summary.demands) {
      waiting += demand.urgency > 0 ? demand.count * demand.demand[0] : 0;
    }
  }
  return waiting;
}

bool DemandEstimate::is_within_team_limit(const DemandSummary& demand) const {
  if (!is_known_team(demand.team)) return false;
  double used = demand.demand[0];
  for (const auto& [shard, report] : reports_.all()) {
    const auto it = report.summary.used_by_team.find(demand.team);
    if (it != report.summary.used_by_team.end()) used += it->second;
  }
  return used <= team_limit(demand.team);
}

// Returns the demands of all shards, the most urgent first, then the oldest.
std::vector<const DemandSummary*> DemandEstimate::demands_by_priority() const {
  std::vector<const DemandSummary*> out;
  for (const auto& [shard, report] : reports_.all()) {
    if (!reports_.is_recent(report)) continue;
    for (const DemandSummary& demand : report.summary.demands) out.push_back(&demand);
  }
  std::sort(out.begin(), out.end(), [](const DemandSummary* a, const DemandSummary* b) {
    return a->urgency != b->urgency ? a->urgency > b->urgency : a->submitted_at < b->submitted_at;
  });
  return out;
}

std::map<int, double> DemandEstimate::used_by_team() const {
  std::map<int, double> out;
  for (const auto& [shard, report] : reports_.all()) {
    if (!reports_.is_recent(report)) continue;
    for (const auto& [team, cores] : report.summary.used_by_team) out[team] += cores;
  }
  return out;
}

std::vector<FleetDemand> DemandEstimate::demands() const {
  std::vector<FleetDemand> out;
  std::map<int, double> claimed = used_by_team();  // plus the demands handled so far
  for (const DemandSummary* wanted : demands_by_priority()) {
    if (!is_known_team(wanted->team)) continue;
    int count = wanted->count;
    double& used = claimed[wanted->team];
    if (wanted->demand[0] > 0) {
      const double left = team_limit(wanted->team) - used;
      count = std::min(count, static_cast<int>(std::max(0.0, left) / wanted->demand[0]));
    }
    if (count <= 0) continue;
    used += count * wanted->demand[0];
    if (wanted->is_gang && count < wanted->count) continue;  // the whole gang would exceed the team's limit
    out.push_back(to_fleet_demand(*wanted, count));
  }
  return out;
}

FleetDemand DemandEstimate::to_fleet_demand(const DemandSummary& wanted, int count) const {
  FleetDemand out;
  out.demand = wanted.demand;
  out.count = count;
  if (wanted.is_gang) {
    out.demand = gang_unit(wanted, types_);
    if (out.demand != wanted.demand) out.count = 1;
  }
  out.rank = wanted.urgency;
  out.estimated_s = wanted.estimated_s;
  out.image_gb = wanted.image_gb;
  out.time_left_s = wanted.time_left_s;
  out.start_within_s = start_within_s(wanted);
  out.spot_allowed = wanted.allows_spot;
  if (wanted.urgency == 0) out.spot_only = wanted.allows_spot;
  if (!wanted.machine_types.empty()) {
    out.allowed_types.assign(types_.all().size(), 0);
    for (const std::string& machine_type : wanted.machine_types) {
      const int type = types_.find(machine_type);
      if (type >= 0) out.allowed_types[static_cast<std::size_t>(type)] = 1;
    }
  }
  if (!wanted.zone.empty()) out.zone = zones_.intern(wanted.zone);
  return out;
}

double DemandEstimate::start_within_s(const DemandSummary& wanted) const {
  const auto it = start_within_s_by_class_.find(wanted.job_class);
  const double target_s = it != start_within_s_by_class_.end() ? it->second : default_start_within_s_;
  return wanted.urgency == 0 ? std::max(target_s, kBestEffortStartTargetSeconds) : target_s;
}

std::vector<FleetDemand> DemandEstimate::headroom_demands() const {
  std::vector<FleetDemand> out;
  FleetDemand spot;
  spot.demand = kHeadroomUnit;
  spot.count = static_cast<int>(std::ceil(headroom_cores() / kHeadroomUnit[0]));
  spot.rank = kHeadroomRank;
  spot.start_within_s = kHeadroomStartTargetSeconds;
  spot.spot_only = true;
  out.push_back(spot);
  if (has_ordinary_work() && ordinary_use_.largest_start_demand[0] > 0) {
    FleetDemand ordinary;
    ordinary.demand = ordinary_use_.largest_start_demand;
    ordinary.count =
        static_cast<int>(std::ceil(ordinary_headroom_cores() / ordinary_use_.largest_start_demand[0]));
    ordinary.rank = kHeadroomRank;
    ordinary.start_within_s = kHeadroomStartTargetSeconds;
    ordinary.spot_allowed = false;
    out.push_back(ordinary);
  }
  return out;
}

}  // namespace mothslip
