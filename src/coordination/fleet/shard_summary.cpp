#include "coordination/fleet/shard_summary.hpp"

#include <utility>

namespace mothslip {

namespace {

Json to_list(const Resources& amounts) { return Json::array({amounts[0], amounts[1], amounts[2]}); }

Resources parse_resources(const Json& value) {
  return {value.at(0).get<double>(), value.at(1).get<double>(), value.at(2).get<double>()};
}

Json to_list(const FleetRoom& room) {
  return {room.available_in_s, room.room[0], room.room[1], room.room[2], room.is_preemptible};
}

FleetRoom parse_room(const Json& value) {
  FleetRoom out;
  out.available_in_s = value.at(0).get<double>();
  out.room = {value.at(1).get<double>(), value.at(2).get<double>(), value.at(3).get<double>()};
  out.is_preemptible = value.size() > 4 && value.at(4).get<bool>();
  return out;
}

// Machines are written as lists, which are shorter than objects: a shard may have hundreds of machines, and
// all of them are sent once per second.
Json to_list(const MachineSummary& machine) {
  Json rooms = Json::array();
  for (const FleetRoom& room : machine.rooms) rooms.push_back(to_list(room));
  return {machine.name,  machine.machine_type, machine.zone,   machine.address,
          machine.spot,  machine.schedulable,  machine.faulty, machine.draining,
          machine.empty, machine.silent_s,     machine.idle_s, std::move(rooms)};
}

MachineSummary parse_machine(const Json& value) {
  MachineSummary out;
  out.name = value.at(0).get<std::string>();
  out.machine_type = value.at(1).get<std::string>();
  out.zone = value.at(2).get<std::string>();
  out.address = value.at(3).get<std::string>();
  out.spot = value.at(4).get<bool>();
  out.schedulable = value.at(5).get<bool>();
  out.faulty = value.at(6).get<bool>();
  out.draining = value.at(7).get<bool>();
  out.empty = value.at(8).get<bool>();
  out.silent_s = value.at(9).get<double>();
  out.idle_s = value.at(10).get<double>();
  for (const Json& room : value.at(11)) out.rooms.push_back(parse_room(room));
  return out;
}

Json to_object(const DemandSummary& demand) {
  Json out = {{"d", to_list(demand.demand)}, {"n", demand.count},       {"t", demand.team},
              {"u", demand.urgency},         {"g", demand.estimated_s}, {"p", demand.image_gb},
              {"l", demand.time_left_s},     {"w", demand.job_class},   {"s", demand.allows_spot},
              {"f", demand.machine_types},   {"h", demand.zone},        {"a", demand.submitted_at},
              {"z", demand.starving}};
  if (demand.is_gang) out["k"] = true;
  return out;
}

DemandSummary parse_demand(const Json& value) {
  DemandSummary out;
  out.demand = parse_resources(value.at("d"));
  out.count = value.at("n").get<int>();
  out.team = value.at("t").get<int>();
  out.urgency = value.at("u").get<int>();
  out.estimated_s = value.at("g").get<double>();
  out.image_gb = value.at("p").get<double>();
  out.time_left_s = value.at("l").get<double>();
  out.job_class = value.at("w").get<std::string>();
  out.allows_spot = value.at("s").get<bool>();
  out.machine_types = value.at("f").get<std::vector<std::string>>();
  out.zone = value.at("h").get<std::string>();
  out.submitted_at = value.at("a").get<double>();
  out.starving = value.value("z", false);
  out.is_gang = value.value("k", false);
  return out;
}

Json to_list(const std::map<int, double>& cores_by_team) {
  Json out = Json::array();
  for (const auto& [team, cores] : cores_by_team) out.push_back({team, cores});
  return out;
}

std::map<int, double> parse_cores_by_team(const Json& value) {
  std::map<int, double> out;
  for (const Json& item : value) out[item.at(0).get<int>()] = item.at(1).get<double>();
  return out;
}

Json to_list(const WaitingHint& hint) {
  return {to_list(hint.demand), hint.urgency, hint.allows_spot, hint.starving, hint.startable};
}

WaitingHint parse_hint(const Json& value) {
  WaitingHint out;
  out.demand = parse_resources(value.at(0));
  out.urgency = value.at(1).get<int>();
  out.allows_spot = value.at(2).get<bool>();
  out.starving = value.at(3).get<bool>();
  out.startable = value.size() > 4 && value.at(4).get<bool>();
  return out;
}

}  // namespace

Json ShardSummary::to_json() const {
  Json machine_list = Json::array();
  for (const MachineSummary& machine : machines) machine_list.push_back(to_list(machine));
  Json demand_list = Json::array();
  for (const DemandSummary& each : demands) demand_list.push_back(to_object(each));
  Json out = {{"part", shard},
              {"baton", fencing_token},
              {"squares", squared_cores_sum},
              {"wanted", to_list(wanted_by_team)},
              {"teams", to_list(used_by_team)},
              {"machines", std::move(machine_list)},
              {"demands", std::move(demand_list)}};
  if (!ordinary_use.empty())
    out["ordinary"] = {ordinary_use.cores, ordinary_use.squared_cores_sum,
                       to_list(ordinary_use.largest_start_demand)};
  return out;
}

std::optional<ShardSummary> ShardSummary::from_json(const Json& value) {
  ShardSummary out;
  try {
    out.shard = value.at("part").get<int>();
    out.fencing_token = value.at("baton").get<std::uint64_t>();
    out.wanted_by_team = parse_cores_by_team(value.at("wanted"));
    out.squared_cores_sum = value.value("squares", 0.0);
    if (value.contains("ordinary")) {
      const Json& use = value["ordinary"];
      out.ordinary_use = {use.at(0).get<double>(), use.at(1).get<double>(), parse_resources(use.at(2))};
    }
    out.used_by_team = parse_cores_by_team(value.at("teams"));
    for (const Json& item : value.at("machines")) out.machines.push_back(parse_machine(item));
    for (const Json& item : value.at("demands")) out.demands.push_back(parse_demand(item));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return out;
}

Json FleetOrders::to_json() const {
  Json hints = Json::array();
  for (const WaitingHint& hint : waiting) hints.push_back(to_list(hint));
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
    for (const Json& hint : value.at("waiting")) out.waiting.push_back(parse_hint(hint));
  } catch (const Json::exception&) {
    return {};
  }
  return out;
}

}  // namespace mothslip
