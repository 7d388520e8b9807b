#include "coordination/fleet/machine_inventory.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kRetryListSeconds = 3.0;     // after a call for a page that failed
constexpr double kLeastListInterval = 2.0;    // seconds between two lists
constexpr double kCallsBetweenLists = 4.0;    // that the cloud's limit allows meanwhile, for other purposes
constexpr double kLeastCallsPerSecond = 0.1;  // taken for the cloud's limit when it is less
}  // namespace

void start_return(const std::string& machine_name, RentedMachine& machine, const std::string& reason) {
  if (machine.returning) return;
  machine.returning = true;
  spdlog::info("{} to be returned: {}", machine_name, reason);
}

MachineInventory::MachineInventory(Env& env, CloudClient& cloud, const Settings& settings,
                                   const MachineTypes& types, NameTable& zones)
    : env_(env), cloud_(cloud), settings_(settings), types_(types), zones_(zones) {}

void MachineInventory::poll_list_if_due() {
  if (listing_ || env_.now() < next_list_at_ || !cloud_.ready()) return;
  listed_.clear();
  request_page("");
}

void MachineInventory::request_page(const std::string& after_machine) {
  listing_ = true;
  cloud_.list(after_machine, callbacks_([this](const CloudReply& reply) { on_page(reply); }));
}

void MachineInventory::on_page(const CloudReply& reply) {
  if (reply.status != 200 || !reply.body.is_object()) {
    listing_ = false;
    next_list_at_ = env_.now() + kRetryListSeconds;
    return;
  }
  const CloudListPage page = CloudListPage::from_json(reply.body);
  take_page(page);
  if (page.more && !page.machines.empty()) {
    request_page(page.machines.back().name);
    return;
  }
  listing_ = false;
  const double interval = kCallsBetweenLists / std::max(kLeastCallsPerSecond, settings_.cloud_rps);
  next_list_at_ = env_.now() + std::max(kLeastListInterval, interval);
  end_list();
}

void MachineInventory::take_page(const CloudListPage& page) {
  for (const CloudMachine& listed : page.machines) {
    const int type = types_.find(listed.machine_type);
    if (listed.name.empty() || type < 0) continue;
    listed_.insert(listed.name);
    auto [it, fresh] = machines_.try_emplace(listed.name);
    RentedMachine& machine = it->second;
    if (fresh) {
      machine.type = type;
      machine.zone = zones_.intern(listed.zone);
      machine.spot = listed.spot;
      machine.rented_at = env_.now() - listed.age_s;
    }
    machine.failed = listed.failed;
  }
}

void MachineInventory::end_list() {
  list_complete_ = true;
  for (auto& [name, machine] : machines_) {
    if (listed_.count(name) > 0) {
      machine.missing = 0;
    } else {
      machine.missing++;
    }
  }
}

void MachineInventory::add_rented(const std::string& machine_name, int type, int zone, bool spot,
                                  double rented_at) {
  auto [it, fresh] = machines_.try_emplace(machine_name);
  if (!fresh) return;
  it->second.type = type;
  it->second.zone = zone;
  it->second.spot = spot;
  it->second.rented_at = rented_at;
}

void MachineInventory::add_reporting(const ShardSummary& summary) {
  for (const MachineSummary& reported : summary.machines) {
    const int type = types_.find(reported.machine_type);
    if (type < 0) continue;
    auto [it, fresh] = machines_.try_emplace(reported.name);
    if (!fresh) continue;
    it->second.type = type;
    it->second.zone = zones_.intern(reported.zone);
    it->second.spot = reported.spot;
    it->second.rented_at = env_.now();
  }
}

}  // namespace mothslip
