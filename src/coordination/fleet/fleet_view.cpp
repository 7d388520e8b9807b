#include "coordination/fleet/fleet_view.hpp"

#include <algorithm>

namespace mothslip {

namespace {
// A machine that has not booted within boot_s times this factor is not planned for.
constexpr double kBootOverdueFactor = 1.7;
// Lower bound of the expected remaining boot time of a machine that is not up.
constexpr double kMinRemainingBootSeconds = 2.0;
// The machines of a rental request are planned for until it has been without an answer for this long.
constexpr double kUnansweredRequestUsableSeconds = 10.0;
}  // namespace

double FleetView::total_cores() const {
  double out = 0;
  for (const FleetMachine& machine : machines) {
    out += types[static_cast<std::size_t>(machine.type)].capacity[0];
  }
  return out;
}

double FleetView::price_per_core(const FleetMachine& machine) const {
  const FleetType& type = types[static_cast<std::size_t>(machine.type)];
  return (machine.spot ? type.spot_price : type.hourly_price) / std::max(1.0, type.capacity[0]);
}

FleetView FleetViewBuilder::build() const {
  FleetView view;
  add_types(view);
  add_machines(view);
  add_requested(view);
  return view;
}

void FleetViewBuilder::add_types(FleetView& view) const {
  const std::vector<MachineType>& all = sources_.types.all();
  for (std::size_t t = 0; t < all.size(); t++) {
    const MachineType& type = all[t];
    FleetType out;
    out.capacity = {type.cores, type.memory_gb, type.accelerators};
    out.hourly_price = type.hourly_price;
    out.spot_price = type.spot_price;
    out.boot_s = type.boot_s;
    out.fetch_gb_per_s = type.fetch_gb_per_s;
    add_markets(view, static_cast<int>(t), type);
    view.types.push_back(std::move(out));
  }
}

void FleetViewBuilder::add_markets(FleetView& view, int type, const MachineType& machine_type) const {
  for (const std::string& zone_name : machine_type.zones) {
    const int zone = sources_.zones.intern(zone_name);
    for (const bool spot : {true, false}) {
      FleetMarket market;
      market.type = type;
      market.zone = zone;
      market.spot = spot;
      market.refused = sources_.rentals.is_refused(type, zone, spot);
      view.markets.push_back(market);
    }
  }
}

void FleetViewBuilder::add_machines(FleetView& view) const {
  for (const auto& [name, rented] : sources_.inventory.machines()) {
    if (rented.returned) continue;
    FleetMachine out = to_fleet_machine(name, rented, view.types[static_cast<std::size_t>(rented.type)]);
    for (FleetMarket& market : view.markets) {
      if (market.type == out.type && market.zone == out.zone && market.spot == out.spot)
        market.rented_machines++;
    }
    view.machines.push_back(std::move(out));
    view.machine_names.push_back(name);
  }
}

FleetMachine FleetViewBuilder::to_fleet_machine(const std::string& name, const RentedMachine& rented,
                                                const FleetType& type) const {
  FleetMachine out;
  out.type = rented.type;
  out.zone = rented.zone;
  out.spot = rented.spot;
  const MachineSummary* reported = sources_.reports.machine(name);
  if (reported != nullptr) {
    out.usable = reported->schedulable && !rented.returning;
    out.rooms = reported->rooms;
    return out;
  }
  const double age_s = sources_.env.now() - rented.rented_at;
  out.usable = !rented.returning && !rented.failed && age_s < kBootOverdueFactor * type.boot_s;
  out.rooms.push_back({std::max(kMinRemainingBootSeconds, type.boot_s - age_s), type.capacity});
  return out;
}

// Adds the machines of open rental requests as booting. Otherwise, each plan would request them again, once
// per second until the cloud answers.
void FleetViewBuilder::add_requested(FleetView& view) const {
  sources_.rentals.for_each_open_request([this, &view](const RentalLedger::OpenRequest& open) {
    FleetMachine out;
    out.type = sources_.types.find(open.request.machine_type);
    if (out.type < 0) return;
    out.zone = sources_.zones.intern(open.request.zone);
    out.spot = open.request.spot;
    out.usable = sources_.env.now() - open.requested_at < kUnansweredRequestUsableSeconds;
    const FleetType& type = view.types[static_cast<std::size_t>(out.type)];
    out.rooms.push_back({type.boot_s, type.capacity});
    for (int i = 0; i < open.request.machine_count; i++) view.machines.push_back(out);
  });
}

}  // namespace mothslip
