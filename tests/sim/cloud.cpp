#include "sim/cloud.hpp"

#include <algorithm>
#include <memory>
#include <sstream>

#include "sim/query.hpp"
#include "sim/world.hpp"

namespace mothslip::sim {

namespace {
// The protocol's limits for the machines in one call.
constexpr int kMaxRentedPerCall = 50;
constexpr std::size_t kMaxReturnedPerCall = 100;
constexpr std::size_t kMaxListedPerCall = 500;
}  // namespace

Cloud::Cloud(World& world)
    : world_(world), call_limiter_(world.options.cloud_rps, 2 * world.options.cloud_rps, 0) {}

void Cloud::handle(const std::string& target, const std::string& body, const Reply& reply) {
  if (outage) return reply(503, {{"error", "trouble"}});
  if (world_.options.enforces_rate_limits) {
    if (!call_limiter_.can_take(1, 0, world_.now)) return reply(429, Json::object());
    call_limiter_.take(1, world_.now);
  }
  const std::string path = target.substr(0, target.find('?'));
  const Json request = body.empty() ? Json::object() : parse_json(body);
  if (path == "/machine_types") return list_machine_types(reply);
  if (path == "/hosts/return") return return_machines(request, reply);
  if (path == "/hosts" && !body.empty()) return rent_machines(request, reply);
  if (path == "/hosts") return list_machines(target, reply);
  reply(404, Json::object());
}

void Cloud::list_machine_types(const Reply& reply) const {
  Json types = parse_json(R"({"flavours":[
    {"name":"c4","cores":4,"accelerators":0,"memory_gb":16,"local_gb":20,"pull_gb_per_s":1,"hourly":0.4,
     "spot_price":0.1,"boot_s":10},
    {"name":"c16","cores":16,"accelerators":0,"memory_gb":64,"local_gb":20,"pull_gb_per_s":1,"hourly":1.2,
     "spot_price":0.3,"boot_s":10}]})");
  for (Json& type : types["flavours"]) type["halls"] = world_.options.zones;
  reply(200, types);
}

void Cloud::return_machines(const Json& request, const Reply& reply) {
  if (request["hosts"].size() > kMaxReturnedPerCall)
    world_.report_violation("more than 100 machines returned in one call");
  for (const Json& machine_name : request["hosts"]) {
    const auto worker = world_.workers.find(machine_name);
    if (worker != world_.workers.end()) worker->second->dead = true;
    const auto row = rows_.find(machine_name);
    if (row != rows_.end()) row->second.returned_at = std::min(row->second.returned_at, world_.now);
  }
  reply(200, Json::object());
}

int Cloud::available_machines(const Json& request) const {
  const auto taken = std::count_if(rows_.begin(), rows_.end(), [&](const auto& named_row) {
    const Row& row = named_row.second;
    const bool is_same_market = row.item["flavour"] == request["flavour"] &&
                                row.item["hall"] == request["hall"] &&
                                row.item["loaner"] == request["loaner"];
    return is_same_market && row.returned_at > world_.now;
  });
  return world_.options.market_machines - static_cast<int>(taken);
}

std::string Cloud::create_machine(const Json& request) {
  std::ostringstream ref;
  ref << "host-" << std::string(6 - std::to_string(next_machine_number_).size(), '0') << next_machine_number_;
  const std::string address = "10.1." + std::to_string(next_machine_number_ / 250) + "." +
                              std::to_string(next_machine_number_ % 250) + ":9000";
  next_machine_number_++;
  machines_rented++;
  auto worker =
      std::make_unique<Worker>(world_, ref.str(), address, request["flavour"], request["hall"],
                               request["loaner"], world_.uniform(kSlowestClockRate, kFastestClockRate));
  Worker* raw = worker.get();
  world_.workers.emplace(ref.str(), std::move(worker));
  world_.workers_by_address[address] = raw;
  rows_[ref.str()] = {{{"ref", ref.str()},
                       {"address", address},
                       {"flavour", request["flavour"]},
                       {"hall", request["hall"]},
                       {"loaner", request["loaner"]},
                       {"phase", "running"}},
                      world_.now};
  if (world_.uniform(0, 1) >= boot_failure_share) world_.in(world_.uniform(3, 15), [raw] { raw->boot(); });
  return ref.str();
}

void Cloud::rent_machines(const Json& request, const Reply& reply) {
  const std::string rental = request["rental"];
  if (rentals_.count(rental) > 0) return reply(200, rentals_[rental]);
  const int wanted = request["how_many"].get<int>();
  if (wanted > kMaxRentedPerCall) world_.report_violation("more than 50 machines rented in one call");
  const int count = std::min(wanted, available_machines(request));
  if (count <= 0) return reply(503, {{"error", "no capacity"}});
  Json machine_names = Json::array();
  for (int i = 0; i < count; i++) machine_names.push_back(create_machine(request));
  rentals_[rental] = {{"hosts", machine_names}};
  reply(200, rentals_[rental]);
}

void Cloud::list_machines(const std::string& target, const Reply& reply) {
  const double as_of = world_.now - world_.uniform(0, 6);  // the list is up to 6 s old
  const std::string from = query_parameter(target, "from");
  const std::size_t most = std::stoul(query_parameter(target, "most"));
  if (most > kMaxListedPerCall) return reply(400, {{"error", "too many at once"}});
  bool more = false;
  Json machines = Json::array();
  for (const auto& [ref, row] : rows_) {
    if (ref <= from || row.created_at > as_of || row.returned_at <= as_of) continue;
    if (machines.size() == most) {
      more = true;
      break;
    }
    Json item = row.item;
    item["age_s"] = as_of - row.created_at;
    machines.push_back(item);
  }
  reply(200, {{"hosts", machines}, {"more", more}});
}

}  // namespace mothslip::sim
