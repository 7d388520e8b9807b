#include "coordination/fleet/demand_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace mothslip {

namespace {
constexpr double kSmoothRise = 90.0;         // seconds over which use is averaged while it rises
constexpr double kSmoothFall = 40.0;         // seconds, while it falls
constexpr double kOrdinaryFall = 60.0;       // seconds, for work on ordinary machines
constexpr double kLeastOrdinaryCores = 0.5;  // less than that is no work at all
constexpr double kBestEffortStart =
    120.0;  // seconds: machines are rented for best-effort work that waits longer
constexpr double kDefaultGuaranteedStart = 60.0;  // seconds, when no guarantee asks for less
constexpr double kHeadroomStart = 0.5;            // seconds: headroom has to be free at once
constexpr int kHeadroomRank = -1;                 // after all work
constexpr Resources kHeadroomUnit = {4, 8, 0};
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
      guaranteed_start_within_s_(kDefaultGuaranteedStart) {
  for (const Objective& objective : settings.objectives) {
    if (objective.kind == "guarantee") {
      guaranteed_start_within_s_ = std::min(guaranteed_start_within_s_, objective.within_s);
    }
    if (objective.kind != "wait" || objective.job_class.empty()) continue;
    auto [it, fresh] = start_within_by_class_.try_emplace(objective.job_class, objective.within_s);
    if (!fresh) it->second = std::min(it->second, objective.within_s);
  }
}

bool DemandEstimate::known_team(int team) const {
  return team >= 0 && team < static_cast<int>(settings_.teams.size());
}

double DemandEstimate::team_limit(int team) const {
  return settings_.teams[static_cast<std::size_t>(team)].cpus_max;
}

// Beyond a team's limit its waiting tasks need no machines, however many there are.
double DemandEstimate::cores_wanted_within_limits() const {
  std::map<int, double> wanted;
  for (const auto& [shard, report] : reports_.all()) {
    for (const auto& [team, cores] : report.summary.wanted_by_team) wanted[team] += cores;
  }
  double sum = 0;
  for (const auto& [team, cores] : wanted) {
    if (known_team(team)) sum += std::min(cores, team_limit(team));
  }
  return sum;
}

void DemandEstimate::follow(double step_s) {
  // A new leader starts from what it finds, not from nothing.
  const bool first = !has_estimate_ && reports_.complete();
  if (first) has_estimate_ = true;
  const auto follow_value = [first, step_s](double& known, double fresh) {
    const double weight = first ? 1.0 : std::min(1.0, step_s / (fresh < known ? kSmoothFall : kSmoothRise));
    known += (fresh - known) * weight;
  };
  follow_value(used_cores_, cores_wanted_within_limits());
  double squares = 0;
  for (const auto& [shard, report] : reports_.all()) squares += report.summary.squares;
  follow_value(squares_, squares);
  follow_ordinary_use(step_s);
}

// Ordinary machines take long to boot, and gangs can start nowhere else: a rise is followed at once, a fall
// slowly.
void DemandEstimate::follow_ordinary_use(double step_s) {
  OrdinaryUse fresh_use;
  for (const auto& [shard, report] : reports_.all()) {
    const OrdinaryUse& use = report.summary.ordinary;
    fresh_use.cores += use.cores;
    fresh_use.squares += use.squares;
    for (std::size_t r = 0; r < fresh_use.largest.size(); r++) {
      fresh_use.largest[r] = std::max(fresh_use.largest[r], use.largest[r]);
    }
  }
  const auto follow_value = [step_s](double& known, double fresh) {
    known = std::max(fresh, known + (fresh - known) * std::min(1.0, step_s / kOrdinaryFall));
  };
  follow_value(ordinary_.cores, fresh_use.cores);
  follow_value(ordinary_.squares, fresh_use.squares);
  // What has to be free at once is remembered until hardly any such work is left.
  const bool forget = ordinary_.cores < kLeastOrdinaryCores;
  for (std::size_t r = 0; r < fresh_use.largest.size(); r++) {
    const double kept = forget ? 0 : ordinary_.largest[r];
    ordinary_.largest[r] = std::max(kept, fresh_use.largest[r]);
  }
}

double DemandEstimate::headroom_cores() const {
  const Tuning& tuning = settings_.tuning;
  return std::min(tuning.headroom * used_cores_, tuning.headroom_spread * std::sqrt(squares_));
}

bool DemandEstimate::has_ordinary_work() const { return ordinary_.cores >= kLeastOrdinaryCores; }

double DemandEstimate::ordinary_headroom_cores() const {
  const Tuning& tuning = settings_.tuning;
  return std::min(tuning.headroom * ordinary_.cores, tuning.headroom_spread * std::sqrt(ordinary_.squares));
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

bool DemandEstimate::within_limit(const DemandSummary& demand) const {
  if (!known_team(demand.team)) return false;
  double used = demand.demand[0];
  for (const auto& [shard, report] : reports_.all()) {
    const auto it = report.summary.used_by_team.find(demand.team);
    if (it != report.summary.used_by_team.end()) used += it->second;
  }
  return used <= team_limit(demand.team);
}

// The most urgent first, then the oldest.
std::vector<const DemandSummary*> DemandEstimate::in_order() const {
  std::vector<const DemandSummary*> out;
  for (const auto& [shard, report] : reports_.all()) {
    if (!reports_.is_recent(report)) continue;
    for (const DemandSummary& demand : report.summary.demands) out.push_back(&demand);
  }
  std::sort(out.begin(), out.end(), [](const DemandSummary* a, const DemandSummary* b) {
    return a->urgency != b->urgency ? a->urgency > b->urgency : a->submitted < b->submitted;
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
  std::map<int, double> claimed = used_by_team();  // then also what is asked for by demands before
  for (const DemandSummary* wanted : in_order()) {
    if (!known_team(wanted->team)) continue;
    int count = wanted->count;
    double& used = claimed[wanted->team];
    if (wanted->demand[0] > 0) {
      const double left = team_limit(wanted->team) - used;
      count = std::min(count, static_cast<int>(std::max(0.0, left) / wanted->demand[0]));
    }
    if (count <= 0) continue;
    used += count * wanted->demand[0];
    if (wanted->gang && count < wanted->count) continue;  // not all of it is within the team's limit
    out.push_back(to_fleet_demand(*wanted, count));
  }
  return out;
}

FleetDemand DemandEstimate::to_fleet_demand(const DemandSummary& wanted, int count) const {
  FleetDemand out;
  out.demand = wanted.demand;
  out.count = count;
  if (wanted.gang) {
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
  const auto it = start_within_by_class_.find(wanted.job_class);
  const double wish = it != start_within_by_class_.end() ? it->second : guaranteed_start_within_s_;
  return wanted.urgency == 0 ? std::max(wish, kBestEffortStart) : wish;
}

std::vector<FleetDemand> DemandEstimate::headroom_demands() const {
  std::vector<FleetDemand> out;
  FleetDemand spot;
  spot.demand = kHeadroomUnit;
  spot.count = static_cast<int>(std::ceil(headroom_cores() / kHeadroomUnit[0]));
  spot.rank = kHeadroomRank;
  spot.start_within_s = kHeadroomStart;
  spot.spot_only = true;
  out.push_back(spot);
  if (has_ordinary_work() && ordinary_.largest[0] > 0) {
    FleetDemand ordinary;
    ordinary.demand = ordinary_.largest;
    ordinary.count = static_cast<int>(std::ceil(ordinary_headroom_cores() / ordinary_.largest[0]));
    ordinary.rank = kHeadroomRank;
    ordinary.start_within_s = kHeadroomStart;
    ordinary.spot_allowed = false;
    out.push_back(ordinary);
  }
  return out;
}

}  // namespace mothslip
