#include "coordination/fleet/machine_inventory.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace mothslip {

namespace {
constexpr double kListRetrySeconds = 3.0;  // after a failed request for a page
constexpr double kMinListIntervalSeconds = 2.0;
// Between two lists, the cloud's limit allows at least this many calls for other purposes.
constexpr double kCallsPerListInterval = 4.0;
constexpr double kMinCallsPerSecond = 0.1;  // lower bound of the cloud's limit in this calculation
}  // namespace

void mark_for_return(const std::string& machine_name, RentedMachine& machine, const std::string& reason) {
  if (machine.returning) return;
  machine.returning = true;
  spdlog::info("machine {} will be drained and returned to the cloud: {}", machine_name, reason);
}

MachineInventory::MachineInventory(Env& env, CloudClient& cloud, const Settings& settings,
                                   const MachineTypes& types, NameTable& zones)
    : env_(env), cloud_(cloud), settings_(settings), types_(types), zones_(zones) {}

void MachineInventory::poll_list_if_due() {
  if (is_listing_ || env_.now() < next_list_at_ || !cloud_.can_call()) return;
  listed_names_.clear();
  request_page("");
}

void MachineInventory::request_page(const std::string& after_machine) {
  is_listing_ = true;
  cloud_.list_machines(after_machine, callback_guard_([this](const CloudReply& reply) { on_page(reply); }));
}

void MachineInventory::on_page(const CloudReply& reply) {
  if (reply.status != 200 || !reply.body.is_object()) {
    is_listing_ = false;
    next_list_at_ = env_.now() + kListRetrySeconds;
    return;
  }
  const CloudListPage page = CloudListPage::from_json(reply.body);
  merge_page(page);
  if (page.has_more && !page.machines.empty()) {
    request_page(page.machines.back().name);
    return;
  }
  is_listing_ = false;
  const double interval_s = kCallsPerListInterval / std::max(kMinCallsPerSecond, settings_.cloud_rps);
  next_list_at_ = env_.now() + std::max(kMinListIntervalSeconds, interval_s);
  finish_list();
}

void MachineInventory::merge_page(const CloudListPage& page) {
  for (const CloudMachine& listed : page.machines) {
    const int type = types_.find(listed.machine_type);
    if (listed.name.empty() || type < 0) continue;
    listed_names_.insert(listed.name);
    auto [it, inserted] = machines_.try_emplace(listed.name);
    RentedMachine& machine = it->second;
    if (inserted) {
      machine.type = type;
      machine.zone = zones_.intern(listed.zone);
      machine.spot = listed.spot;
      machine.rented_at = env_.now() - listed.age_s;
    }
    machine.failed = listed.failed;
  }
}

void MachineInventory::finish_list() {
  has_full_list_ = true;
  for (auto& [name, machine] : machines_) {
    if (listed_names_.count(name) > 0) {
      machine.missing_lists = 0;
    } else {
      machine.missing_lists++;
    }
  }
}

void MachineInventory::add_rented(const std::string& machine_name, int type, int zone, bool spot,
                                  double rented_at) {
  auto [it, inserted] = machines_.try_emplace(machine_name);
  if (!inserted) return;
  it->second.type = type;
  it->second.zone = zone;
  it->second.spot = spot;
  it->second.rented_at = rented_at;
}

void MachineInventory::add_reporting(const ShardSummary& summary) {
  for (const MachineSummary& reported : summary.machines) {
    const int type = types_.find(reported.machine_type);
    if (type < 0) continue;
    auto [it, inserted] = machines_.try_emplace(reported.name);
    if (!inserted) continue;
    it->second.type = type;
    it->second.zone = zones_.intern(reported.zone);
    it->second.spot = reported.spot;
    it->second.rented_at = env_.now();
  }
}

}  // namespace mothslip
