#include "coordination/fleet/scale_out.hpp"

#include <algorithm>
#include <utility>

#include "scheduling/gang.hpp"

namespace mothslip {

namespace {
// The fleet leader waits no longer than this for the first summaries of the shards.
constexpr double kShardReportTimeoutSeconds = 20.0;
// Machines are rented for a gang once it has waited for this long.
constexpr double kGangRentalAfterSeconds = 2.0;
// After this interval, the names and thereby the shards of the previously rented machines are known.
constexpr double kGangRentalIntervalSeconds = 2.5;
constexpr int kMaxMachinesPerGangRental = 8;

Resources capacity_of(const MachineType& type) { return {type.cores, type.memory_gb, type.accelerators}; }
}  // namespace

ScaleOut::ScaleOut(const ScaleOutSources& sources, RentalLedger& rentals)
    : sources_(sources), rentals_(rentals) {}

// Returns true after a timeout even if a shard has not reported: one silent shard must not prevent rentals
// for the others.
bool ScaleOut::knows_all_machines() const {
  if (!sources_.inventory.has_full_list()) return false;
  return sources_.reports.is_complete() || sources_.env.now() - started_at_ > kShardReportTimeoutSeconds;
}

void ScaleOut::rent(const FleetPlan& plan) {
  if (!knows_all_machines()) return;
  std::vector<FleetPlan::NewMachines> new_machines = plan.new_machines;
  const double now = sources_.env.now();
  if (now >= next_gang_rental_at_) {
    next_gang_rental_at_ = now + kGangRentalIntervalSeconds;
    const DemandSummary* gang = oldest_large_gang();
    const auto gang_machines = gang != nullptr ? machines_for(*gang) : std::nullopt;
    if (gang_machines) new_machines.push_back(*gang_machines);
  }
  rentals_.rent(new_machines);
}

// Returns the oldest large gang that has waited for kGangRentalAfterSeconds and is within its team's limit,
// or null if there is none.
const DemandSummary* ScaleOut::oldest_large_gang() const {
  const DemandSummary* oldest = nullptr;
  for (const auto& [shard, report] : sources_.reports.all()) {
    if (!sources_.reports.is_recent(report)) continue;
    for (const DemandSummary& demand : report.summary.demands) {
      if (!is_large_gang(demand)) continue;
      const double waited_s = sources_.env.wall_time() - demand.submitted_at;
      if (waited_s < kGangRentalAfterSeconds || !sources_.demand.is_within_team_limit(demand)) continue;
      if (oldest == nullptr || demand.submitted_at < oldest->submitted_at) oldest = &demand;
    }
  }
  return oldest;
}

// Returns true if no single machine can hold the gang.
bool ScaleOut::is_large_gang(const DemandSummary& demand) const {
  return demand.is_gang && demand.count >= 2 && gang_unit(demand, sources_.types) == demand.demand;
}

// A gang that no single machine can hold needs several machines of one shard and usually of one zone. The
// shard of a machine is known only once it has been rented. If no shard has enough machines, more are rented
// in the zone where the fewest are missing, until one shard has enough. Surplus machines are returned when
// they are idle.
std::optional<FleetPlan::NewMachines> ScaleOut::machines_for(const DemandSummary& gang) const {
  std::optional<GangOffer> best;
  const std::vector<MachineType>& types = sources_.types.all();
  for (std::size_t t = 0; t < types.size(); t++) {
    if (slots(capacity_of(types[t]), gang.demand) == 0) continue;
    for (const std::string& zone_name : types[t].zones) {
      const int zone = sources_.zones.intern(zone_name);
      const int missing = missing_slots(gang, zone);
      if (missing <= 0) return std::nullopt;
      for (const bool spot : {true, false}) {
        const auto offer = offer_for(gang, static_cast<int>(t), zone, spot, missing);
        if (offer && (!best || offer->is_better_than(*best))) best = offer;
      }
    }
  }
  return best ? std::optional(best->machines) : std::nullopt;
}

std::optional<ScaleOut::GangOffer> ScaleOut::offer_for(const DemandSummary& gang, int type, int zone,
                                                       bool spot, int missing) const {
  if (rentals_.is_refused(type, zone, spot) || !allows(gang, type, zone, spot)) return std::nullopt;
  const MachineType& machine_type = sources_.types.at(type);
  const int slots_per_machine = slots(capacity_of(machine_type), gang.demand);
  const int count = (missing + slots_per_machine - 1) / slots_per_machine;
  GangOffer out;
  out.machines = {type, zone, spot, std::min(count, kMaxMachinesPerGangRental)};
  out.missing = missing;
  out.hourly_price = (spot ? machine_type.spot_price : machine_type.hourly_price) * count;
  return out;
}

// Returns the number of tasks of the gang that the shard with the most room in the zone cannot hold.
int ScaleOut::missing_slots(const DemandSummary& gang, int zone) const {
  const std::vector<int> by_shard = slots_by_shard(gang, zone);
  return gang.count - *std::max_element(by_shard.begin(), by_shard.end());
}

// Returns the number of tasks of the gang that each shard's machines in this zone could hold if they were
// empty. A shard owns the machines whose names hash to it. Booting machines are included.
std::vector<int> ScaleOut::slots_by_shard(const DemandSummary& gang, int zone) const {
  const int shard_count = sources_.reports.shard_count();
  std::vector<int> out(static_cast<std::size_t>(shard_count));
  for (const auto& [name, rented] : sources_.inventory.machines()) {
    if (rented.returned || rented.returning || rented.failed || rented.zone != zone) continue;
    if (!allows(gang, rented.type, zone, rented.spot)) continue;
    const MachineSummary* reported = sources_.reports.machine(name);
    if (reported != nullptr && !reported->schedulable) continue;
    out[static_cast<std::size_t>(shard_of(name, shard_count))] +=
        slots(capacity_of(sources_.types.at(rented.type)), gang.demand);
  }
  return out;
}

bool ScaleOut::allows(const DemandSummary& gang, int type, int zone, bool spot) const {
  if (spot && !gang.allows_spot) return false;
  if (!gang.zone.empty() && sources_.zones.intern(gang.zone) != zone) return false;
  return allows_type(gang, sources_.types.at(type).name);
}

}  // namespace mothslip
