#include "coordination/fleet/shard_summary.hpp"

namespace mothslip {

namespace {
Json to_list(const Resources& amounts) { return Json::array({amounts[0], amounts[1], amounts[2]}); }
Resources from_list(const Json& value) {
  return {value.at(0).get<double>(), value.at(1).get<double>(), value.at(2).get<double>()};
}
}  // namespace

Json ShardSummary::to_json() const {
  Json machine_list = Json::array();
  for (const MachineSummary& machine : machines) {
    Json rooms = Json::array();
    for (const FleetRoom& room : machine.rooms) {
      rooms.push_back({room.at_s, room.room[0], room.room[1], room.room[2], room.yields});
    }
    machine_list.push_back({machine.name, machine.machine_type, machine.zone, machine.address, machine.spot,
                            machine.schedulable, machine.faulty, machine.draining, machine.empty,
                            machine.silent_s, machine.idle_s, std::move(rooms)});
  }
  Json demand_list = Json::array();
  for (const DemandSummary& demand : demands) {
    demand_list.push_back({{"d", to_list(demand.demand)},
                           {"n", demand.count},
                           {"t", demand.team},
                           {"u", demand.urgency},
                           {"g", demand.estimated_s},
                           {"p", demand.image_gb},
                           {"l", demand.time_left_s},
                           {"w", demand.job_class},
                           {"s", demand.allows_spot},
                           {"f", demand.machine_types},
                           {"h", demand.zone},
                           {"a", demand.submitted},
                           {"z", demand.starving}});
    if (demand.gang) demand_list.back()["k"] = true;
  }
  Json teams = Json::array();
  for (const auto& [team, cores] : used_by_team) teams.push_back({team, cores});
  Json wanted = Json::array();
  for (const auto& [team, cores] : wanted_by_team) wanted.push_back({team, cores});
  Json out = {{"part", shard},
              {"baton", fencing_token},
              {"squares", squares},
              {"wanted", std::move(wanted)},
              {"teams", std::move(teams)},
              {"machines", std::move(machine_list)},
              {"demands", std::move(demand_list)}};
  if (!ordinary.empty()) out["ordinary"] = {ordinary.cores, ordinary.squares, to_list(ordinary.largest)};
  return out;
}

std::optional<ShardSummary> ShardSummary::from_json(const Json& value) {
  ShardSummary out;
  try {
    out.shard = value.at("part").get<int>();
    out.fencing_token = value.at("baton").get<std::uint64_t>();
    for (const Json& item : value.at("wanted"))
      out.wanted_by_team[item.at(0).get<int>()] = item.at(1).get<double>();
    out.squares = value.value("squares", 0.0);
    if (value.contains("ordinary")) {
      const Json& ordinary = value["ordinary"];
      out.ordinary = {ordinary.at(0).get<double>(), ordinary.at(1).get<double>(), from_list(ordinary.at(2))};
    }
    for (const Json& item : value.at("teams"))
      out.used_by_team[item.at(0).get<int>()] = item.at(1).get<double>();
    for (const Json& item : value.at("machines")) {
      MachineSummary machine;
      machine.name = item.at(0).get<std::string>();
      machine.machine_type = item.at(1).get<std::string>();
      machine.zone = item.at(2).get<std::string>();
      machine.address = item.at(3).get<std::string>();
      machine.spot = item.at(4).get<bool>();
      machine.schedulable = item.at(5).get<bool>();
      machine.faulty = item.at(6).get<bool>();
      machine.draining = item.at(7).get<bool>();
      machine.empty = item.at(8).get<bool>();
      machine.silent_s = item.at(9).get<double>();
      machine.idle_s = item.at(10).get<double>();
      for (const Json& room : item.at(11)) {
        machine.rooms.push_back(
            {room.at(0).get<double>(),
             {room.at(1).get<double>(), room.at(2).get<double>(), room.at(3).get<double>()},
             room.size() > 4 && room.at(4).get<bool>()});
      }
      out.machines.push_back(std::move(machine));
    }
    for (const Json& item : value.at("demands")) {
      DemandSummary demand;
      demand.demand = from_list(item.at("d"));
      demand.count = item.at("n").get<int>();
      demand.team = item.at("t").get<int>();
      demand.urgency = item.at("u").get<int>();
      demand.estimated_s = item.at("g").get<double>();
      demand.image_gb = item.at("p").get<double>();
      demand.time_left_s = item.at("l").get<double>();
      demand.job_class = item.at("w").get<std::string>();
      demand.allows_spot = item.at("s").get<bool>();
      demand.machine_types = item.at("f").get<std::vector<std::string>>();
      demand.zone = item.at("h").get<std::string>();
      demand.submitted = item.at("a").get<double>();
      demand.starving = item.value("z", false);
      demand.gang = item.value("k", false);
      out.demands.push_back(std::move(demand));
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return out;
}

Json FleetOrders::to_json() const {
  Json hints = Json::array();
  for (const WaitingHint& hint : waiting)
    hints.push_back({to_list(hint.demand), hint.urgency, hint.allows_spot, hint.starving, hint.startable});
  return {{"draining", draining},
          {"winding", cordoned},
          {"gone", removed},
          {"waiting", std::move(hints)},
          {"headroom", headroom_share}};
}

FleetOrders FleetOrders::from_json(const Json& value) {
  FleetOrders out;
  try {
    out.draining = value.at("draining").get<std::vector<std::string>>();
    out.cordoned = value.at("winding").get<std::vector<std::string>>();
    out.headroom_share = value.value("headroom", 0.0);
    out.removed = value.at("gone").get<std::vector<std::string>>();
    for (const Json& hint : value.at("waiting")) {
      out.waiting.push_back({from_list(hint.at(0)), hint.at(1).get<int>(), hint.at(2).get<bool>(),
                             hint.at(3).get<bool>(), hint.size() > 4 && hint.at(4).get<bool>()});
    }
  } catch (const Json::exception&) {
    return {};
  }
  return out;
}

}  // namespace mothslip
